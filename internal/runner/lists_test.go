package runner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// A list of runs is the largest part of a report, and at hundreds of starts a second most
// lists tell the owner what it knows already.
var _ = Describe("Lists of runs in reports", func() {
	var r *Runner
	known := work.Run{Task: otherJob + ".0.0.1", Num: 1}
	stray := work.Run{Task: otherJob + ".0.0.9", Num: 1}
	BeforeEach(func() {
		r = newRunner(&blockingWorker{})
		server, err := rpcs.Listen("127.0.0.1:0", map[string]any{work.AgentService: &Peer{runner: r}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		r.server, r.reportNow, r.endsStored = server, make(chan struct{}, 1), make(chan struct{}, 1)
		r.starts[known] = &startOrder{done: make(chan struct{}), code: work.Started}
		r.recordOwner(r.term, "owner")
	})
	It("say nothing of missing runs if a part of them could not be read", func() {
		r.handleLeaseReply(r.ctx, plat.LeaseRequest{Life: r.worker.Life}, plat.LeaseReply{Partial: true}, r.Clock.Now())
		rep, ok := r.buildReport()
		Expect(ok).To(BeTrue())
		Expect(rep.Listed).To(BeTrue())
		Expect(rep.MoreEnds).To(BeTrue())
	})
	// list hands in a list of the worker, and reports whether a report is due at once.
	list := func(ends []work.End, runs ...work.Run) bool {
		reply := plat.LeaseReply{Ends: ends}
		for _, x := range runs {
			reply.Running = append(reply.Running, work.Running{Run: x})
		}
		r.handleLeaseReply(r.ctx, plat.LeaseRequest{Life: r.worker.Life}, reply, r.Clock.Now())
		select {
		case <-r.reportNow:
			return true
		default:
			return false
		}
	}
	// report sends a report that the owner answers, and returns whether it had a list.
	report := func() bool {
		rep, ok := r.buildReport()
		Expect(ok).To(BeTrue())
		Expect(r.handleReply(rep, work.Reply{Term: r.term, Renew: true}, "owner", r.Clock.Now())).To(BeTrue())
		return rep.Listed
	}

	It("come with the first report to an owner, and then at most every listInterval", func() {
		list(nil)
		Expect(report()).To(BeTrue())
		Expect(list(nil, known)).To(BeFalse(), "the results of the order tell of the start")
		Expect(report()).To(BeFalse())
		time.Sleep(listInterval)
		Expect(report()).To(BeTrue())
		r.recordOwner(r.term+1, "other")
		rep, _ := r.buildReport()
		Expect(rep.Listed).To(BeTrue(), "a new owner knows none")
	})
	It("come at once with a run that this process did not start", func() {
		list(nil)
		report()
		Expect(list(nil, stray)).To(BeTrue())
		Expect(report()).To(BeTrue())
	})
	It("come at once if a run is gone without an end", func() {
		list(nil, known)
		report()
		Expect(list(nil)).To(BeTrue())
		Expect(report()).To(BeTrue())
	})
	It("say that a run without an end may have ended if the worker has more ends", func() {
		list(nil, known)
		report()
		reply := plat.LeaseReply{Ends: []work.End{{N: 1, Run: stray, How: work.Done}}, MoreEnds: true}
		r.handleLeaseReply(r.ctx, plat.LeaseRequest{Life: r.worker.Life}, reply, r.Clock.Now())
		time.Sleep(listInterval)
		rep, _ := r.buildReport()
		Expect(rep.Listed).To(BeTrue())
		Expect(rep.MoreEnds).To(BeTrue())
		list(nil)
		time.Sleep(listInterval)
		rep, _ = r.buildReport()
		Expect(rep.MoreEnds).To(BeFalse())
	})
	It("do not come with an end", func() {
		list(nil, known)
		report()
		Expect(list([]work.End{{N: 1, Run: known, How: work.Done}})).To(BeTrue())
		rep, _ := r.buildReport()
		Expect(rep.Ends).To(HaveLen(1))
		Expect(rep.Listed).To(BeFalse())
	})
	It("are sent again if the owner was too busy for them", func() {
		list(nil)
		rep, _ := r.buildReport()
		Expect(rep.Listed).To(BeTrue())
		Expect(r.handleReply(rep, work.Reply{Busy: true}, "owner", r.Clock.Now())).To(BeTrue())
		Expect(report()).To(BeTrue())
	})
})
