package runner

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// A minion that leaves takes its list of ends along. If its agent stops before an owner
// has stored them, which may take seconds around a takeover, a task that has succeeded is
// started again.
var _ = Describe("a planned stop of an agent with ends that are not stored", func() {
	var r *Runner
	BeforeEach(func() {
		r = newRunner(&blockingWorker{})
		r.endsStored = make(chan struct{}, 1)
		r.ends = []work.End{{N: 1, How: work.Done}, {N: 2, How: work.Done}}
	})
	It("waits until the owner has stored them", func() {
		began := r.Clock.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.recordStored(2)
		})
		r.awaitStored()
		Expect(r.Clock.Now() - began).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<", time.Second)))
	})
	It("waits for those that did not fit into the worker's list", func() {
		r.moreEnds = true
		began := r.Clock.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.recordStored(2)
			r.ends, r.moreEnds = []work.End{{N: 3, How: work.Done}}, false
		})
		time.AfterFunc(300*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.recordStored(3)
		})
		r.awaitStored()
		Expect(r.Clock.Now() - began).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<", time.Second)))
	})
	It("does not wait without any", func() {
		r.ends = nil
		began := r.Clock.Now()
		r.awaitStored()
		Expect(r.Clock.Now() - began).To(BeNumerically("<", 100*time.Millisecond))
	})
	It("is not held up for longer than a planned stop may take", func() {
		began := r.Clock.Now()
		r.awaitStored()
		Expect(r.Clock.Now() - began).To(BeNumerically("~", endsTimeout, 500*time.Millisecond))
	})
})

// The worker's farewell may overtake the lease request that would have listed its last
// ends. The owner would take these runs for lost and start their tasks again.
var _ = Describe("a worker that deregisters", func() {
	It("is asked for its last ends before the owner learns that it is gone", func() {
		r := newLeavingRunner()
		last := work.End{N: 3, Run: work.Run{Task: otherJob + ".0.0.1", Num: 1}, How: work.Done}
		r.Runtime.Hold = func(_ context.Context, q plat.LeaseRequest) (plat.LeaseReply, error) {
			Expect(q.Life).To(Equal(r.worker.Life))
			Expect(q.Until).To(BeZero(), "the lease is not renewed")
			Expect(r.workerEnded).To(BeFalse())
			return plat.LeaseReply{Ends: []work.End{last}}, nil
		}
		r.Deregistered(r.worker.ID)
		Expect(r.ends).To(Equal([]work.End{last}))
		expectAtWork(r)
		r.leaseRequestFailed(plat.LeaseRequest{Life: r.worker.Life}, plat.ErrNotFound)
		expectGone(r)
	})
	It("is asked again if it has more ends than one list holds", func() {
		r := newLeavingRunner()
		var reported []int64
		r.Runtime.Hold = func(_ context.Context, q plat.LeaseRequest) (plat.LeaseReply, error) {
			next := work.End{N: q.Seen + 1, How: work.Done}
			reported = append(reported, next.N)
			time.AfterFunc(20*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.recordStored(next.N)
			})
			return plat.LeaseReply{Ends: []work.End{next}, MoreEnds: next.N < 4}, nil
		}
		r.Deregistered(r.worker.ID)
		expectAtWork(r)
		Expect(reported).To(Equal([]int64{1, 2, 3, 4}))
	})
	It("does not count as ended while it does not answer", func() {
		r := newLeavingRunner()
		r.Runtime.Hold = func(ctx context.Context, _ plat.LeaseRequest) (plat.LeaseReply, error) {
			<-ctx.Done()
			return plat.LeaseReply{}, ctx.Err()
		}
		left := r.lease.maxRemaining(r.Clock.Now())
		began := r.Clock.Now()
		r.Deregistered(r.worker.ID)
		took := r.Clock.Now() - began
		Expect(took).To(BeNumerically("<", time.Second), "the worker waits for the answer")
		rep := expectAtWork(r)
		Expect(rep.Left).To(And(
			BeNumerically("<=", (left-took*98/100).Milliseconds()+1), BeNumerically(">=", (left-(r.Clock.Now()-began)).Milliseconds()),
		), "the lease is not renewed")
	})
	It("is gone if another incarnation answers at its address", func() {
		r := newLeavingRunner()
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{}, fmt.Errorf("hold: %w", plat.ErrNotFound)
		}
		r.Deregistered(r.worker.ID)
		expectGone(r)
	})
	It("is gone once its lease has expired, not when it only refuses connections", func() {
		r := newLeavingRunner()
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{}, plat.ErrRefused
		}
		r.Deregistered(r.worker.ID)
		expectAtWork(r)
		r.lease.maxUntil = r.lease.minWorkerClock(r.Clock.Now())
		r.leaseRequestFailed(plat.LeaseRequest{Life: r.worker.Life}, plat.ErrRefused)
		expectGone(r)
	})
	It("has a short lease while it drains", func() {
		r := newLeavingRunner()
		drains := r.worker
		drains.Leaving = true
		r.Heartbeat(drains, 3)
		now := r.Clock.Now()
		Expect(r.lease.renewUntil(now) - r.lease.minWorkerClock(now)).To(Equal(drainingLease))
	})
	It("gets no renewal from a reply to an earlier report", func() {
		request, _ := newDeregisteredRunner().nextLeaseRequest()
		Expect(request.Until).To(BeZero())
	})
	It("does not end the next incarnation, whose first heartbeat it crosses", func() {
		r := newLeavingRunner()
		next := r.worker
		next.Born++
		r.Runtime.Hold = func(_ context.Context, q plat.LeaseRequest) (plat.LeaseReply, error) {
			if q.Life != next.Life {
				r.Heartbeat(next, 1)
			}
			return plat.LeaseReply{Born: next.Born}, nil
		}
		r.Deregistered(r.worker.ID)
		Expect(r.worker.Life).To(Equal(next.Life))
		rep, _ := r.buildReport()
		Expect(rep.Gone || rep.Cut).To(BeFalse())
	})
	It("goes on after a farewell that was an earlier incarnation's", func() {
		r := newLeavingRunner()
		r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
			return plat.LeaseReply{Running: []work.Running{{}}}, nil
		}
		r.Deregistered(r.worker.ID)
		expectAtWork(r)
		r.Heartbeat(r.worker, 7)
		rep, _ := r.buildReport()
		Expect(rep.Cut || rep.Gone).To(BeFalse())
		r.handleReply(rep, work.Reply{Term: 1, Renew: true}, "owner", r.Clock.Now())
		request, _ := r.nextLeaseRequest()
		Expect(request.Until).NotTo(BeZero())
	})
})

// newLeavingRunner returns a runner that can make reports and has renewed its worker's lease.
func newLeavingRunner() *Runner {
	r := newRunner(&blockingWorker{})
	r.endsStored, r.reportNow = make(chan struct{}, 1), make(chan struct{}, 1)
	r.workerAnnounced = make(chan struct{}, 1)
	server, err := rpcs.Listen("127.0.0.1:0", map[string]any{work.AgentService: &Peer{runner: r}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	r.server = server
	request, ok := r.nextLeaseRequest()
	Expect(ok).To(BeTrue())
	Expect(request.Until).NotTo(BeZero())
	return r
}

// newDeregisteredRunner returns a runner whose worker has said farewell and does not answer.
// The owner has replied only to a report from before that.
func newDeregisteredRunner() *Runner {
	r := newLeavingRunner()
	r.Runtime.Hold = func(context.Context, plat.LeaseRequest) (plat.LeaseReply, error) {
		return plat.LeaseReply{}, plat.ErrUnavailable
	}
	earlier, _ := r.buildReport()
	r.Deregistered(r.worker.ID)
	r.handleReply(earlier, work.Reply{Term: 1, Renew: true}, "owner", r.Clock.Now())
	return r
}

// expectAtWork checks that the owner still counts the worker's runs as at work, and returns
// the report that it gets.
func expectAtWork(r *Runner) work.Report {
	GinkgoHelper()
	rep, ok := r.buildReport()
	Expect(ok).To(BeTrue())
	Expect(rep.Gone).To(BeFalse())
	Expect(rep.Cut).To(BeTrue())
	Expect(rep.Left).To(BeNumerically(">", 0))
	return rep
}

// expectGone checks that the owner learns that the worker has ended.
func expectGone(r *Runner) {
	GinkgoHelper()
	rep, ok := r.buildReport()
	Expect(ok).To(BeTrue())
	Expect(rep.Gone).To(BeTrue())
}
