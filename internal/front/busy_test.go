package front

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// While the owner is seconds behind, further jobs would only wait. The caller has to learn
// that at once, with a time to return, and a rejected job must never run; one that was
// accepted before stays accepted.
var _ = Describe("a job for an owner that is behind", func() {
	var store *rows.Store
	var f *Front
	job := work.Job{ID: "00000000000000a1", Queue: "q", Service: "s", Steps: []work.Step{{Count: 1}}}
	behind := func(lag, ago time.Duration) {
		f.pendingJobs, f.pendingAt, f.ownerBehind = map[string]int{}, f.Clock.Now()-ago, lag
	}
	BeforeEach(func() {
		store = &rows.Store{}
		f = newFront(store)
		f.leader = &leader.Leader{Clock: f.Clock}
	})
	accepted := func() bool {
		row, err := f.read(context.Background(), sched.JobKey(job.ID))
		Expect(err).NotTo(HaveOccurred())
		return row.Version != 0 && !isRejected(row)
	}

	It("is rejected with a time to return that follows from the lag", func() {
		behind(3*time.Second, 0)
		Expect(f.Submit(context.Background(), job)).To(Equal(Outcome{Status: Rejected, Reason: "busy", After: 6 * time.Second}))
		Expect(accepted()).To(BeFalse())
		behind(time.Minute, 0)
		Expect(f.Submit(context.Background(), job).After).To(Equal(maxBusyRetryAfter))
	})
	// Entries asked an owner that was behind about jobs that they were about to reject.
	It("is rejected without asking the owner, with overload control too", func() {
		f.Limits.Overload = true
		behind(3*time.Second, 0)
		Expect(f.admit(context.Background(), job)).To(Equal(work.Admission{}))
		Expect(f.Submit(context.Background(), job)).To(Equal(Outcome{Status: Rejected, Reason: "busy", After: 6 * time.Second}))
	})
	It("is accepted while the lag is short, or was told long ago", func() {
		behind(time.Second, 0)
		Expect(f.Submit(context.Background(), job).Status).To(Equal(Stored))
		behind(time.Minute, pendingMaxAge+time.Second)
		Expect(f.Submit(context.Background(), job).Status).To(Equal(Stored))
	})
	It("stays accepted if it was accepted before", func() {
		Expect(f.Submit(context.Background(), job).Status).To(Equal(Stored))
		behind(time.Minute, 0)
		Expect(f.Submit(context.Background(), job).Status).To(Equal(Stored))
		Expect(accepted()).To(BeTrue())
	})
})
