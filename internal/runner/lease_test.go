package runner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// The owner starts the tasks of a worker elsewhere once the worker does not answer and the
// time that its agent reports as left of the lease is over.
var _ = Describe("What is left of a lease", func() {
	limits := sched.Limits{}.WithDefaults()
	renewable := func() *lease {
		l := &lease{limits: limits}
		l.syncClock(0, 0, time.Hour)
		l.ownerReplied(0, true, false)
		return l
	}
	expectCovers := func(l *lease, now, end time.Duration) {
		GinkgoHelper()
		Expect(now + l.maxRemaining(now)).To(BeNumerically(">=", end))
	}

	It("covers the renewals of an earlier process until the first renewal of this one", func() {
		earlier := renewable()
		end := earlier.renewUntil(0) - time.Hour
		restarted := &lease{limits: limits}
		expectCovers(restarted, 100*time.Millisecond, end)
		restarted.syncClock(200*time.Millisecond, 200*time.Millisecond, time.Hour+200*time.Millisecond)
		expectCovers(restarted, 200*time.Millisecond, end)
		expectCovers(restarted, 2*time.Second, end)
	})
	It("covers the lease after the worker's clock stood still", func() {
		l := renewable()
		const pause, stoodStill = 4 * time.Second, 3 * time.Second
		l.renewUntil(0)
		l.syncClock(pause, pause, time.Hour+pause-stoodStill)
		expectCovers(l, pause, pause+l.limits.Lease-(pause-stoodStill))
		l.ownerReplied(pause, true, false)
		l.renewUntil(pause)
		expectCovers(l, pause, pause+l.limits.Lease)
	})
	It("covers what an order for an earlier incarnation of the same ID may have requested", func() {
		const longestGranted = 10 * time.Second
		r := newRunner(&blockingWorker{})
		next := r.worker
		next.Born++
		r.reset(next)
		r.lease.syncClock(0, 0, time.Second)
		expectCovers(&r.lease, 0, longestGranted)
		next.ID = "other"
		r.reset(next)
		r.lease.syncClock(0, 0, time.Second)
		Expect(r.lease.maxRemaining(0)).To(Equal(r.Limits.Lease))
	})
	It("is not prolonged by a reply that was delayed", func() {
		l := renewable()
		l.renewUntil(0)
		before := l.maxRemaining(2 * time.Second)
		l.syncClock(500*time.Millisecond, 2*time.Second, time.Hour+500*time.Millisecond)
		Expect(l.maxRemaining(2 * time.Second)).To(Equal(before))
	})
})

// A worker that starts again under its ID has a clock that begins anew, and takes a lease
// up to a time of the clock before for as long as leases may last: 10 s instead of 5 s. It
// forgets ends of its own up to a number of the incarnation before.
var _ = Describe("The lease of a worker that has started again under its ID", func() {
	It("is not renewed by the clock of the incarnation before, and no end is acknowledged", func() {
		r := newRunner(&blockingWorker{})
		r.reportNow = make(chan struct{}, 1)
		r.storedEnd = 57
		request, ok := r.nextLeaseRequest()
		Expect(ok).To(BeTrue())
		Expect(request.Until).NotTo(BeZero())
		r.handleLeaseReply(r.ctx, request, plat.LeaseReply{Born: r.worker.Born + 1, Clock: time.Millisecond}, r.Clock.Now())
		request, ok = r.nextLeaseRequest()
		if !ok {
			return // nothing is requested before the worker has announced itself
		}
		Expect(request.Until).To(BeZero())
		Expect(request.Seen).To(BeZero())
	})
})

var _ = Describe("After a lease request that failed", func() {
	// A worker that has started again under its ID would start a run for the time of a clock
	// that is not its own, also long after the owner has released it.
	It("no run is started before the worker has answered", func() {
		m := &blockingWorker{}
		r := newRunner(m)
		run := runOf(otherJob, 0)
		r.leaseRequestFailed(plat.LeaseRequest{Life: r.worker.Life}, plat.ErrUnavailable)
		Expect(startCodes(r.handleOrder(newOrder(r, []work.Run{run}, nil)))).To(Equal([]string{otherJob + " late"}))
		Expect(m.startCalled(run)).To(BeFalse())
		r.lease.workerAnswered()
		Expect(startCodes(r.handleOrder(newOrder(r, []work.Run{run}, nil)))).To(Equal([]string{otherJob + " started"}))
	})
})
