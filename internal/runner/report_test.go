package runner

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// The owner sends a challenge if it cannot tell whether the agent's process is the
// current one. Such a reply must not extend the time for which the lease is renewed.
var _ = Describe("Reply with a challenge", func() {
	It("has its challenge repeated in the next report at once and does not count as owner contact", func() {
		r := newRunner(&blockingWorker{})
		server, err := rpcs.Listen("127.0.0.1:0", map[string]any{work.AgentService: &Peer{runner: r}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		r.server, r.reportNow = server, make(chan struct{}, 1)
		ackedAt := r.lease.ackedReportAt
		rep, ok := r.buildReport()
		Expect(ok).To(BeTrue())
		Expect(rep.Word.Echo).To(BeZero())
		Expect(r.handleReply(rep, work.Reply{Term: 1, Challenge: 7}, "owner", r.Clock.Now())).To(BeTrue())
		Expect(r.reportNow).To(Receive())
		Expect(r.lease.ackedReportAt).To(Equal(ackedAt))
		rep, _ = r.buildReport()
		Expect(rep.Word.Echo).To(Equal(uint64(7)))
	})
})

// Guards against passing on what an owner acknowledged that had been replaced: it takes ends
// of runs that it does not know for stored. The worker would forget ends that nobody has read.
var _ = Describe("Ends that an earlier owner acknowledged", func() {
	It("are not acknowledged under the next owner's term", func() {
		r := newRunner(&blockingWorker{})
		r.recordStored(7)
		r.recordOwner(r.term, "owner")
		request, _ := r.nextLeaseRequest()
		Expect(request.Seen).To(Equal(int64(7)))
		r.recordOwner(r.term+1, "other")
		request, _ = r.nextLeaseRequest()
		Expect(request.Seen).To(BeZero())
	})
})
