package runner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
)

// The owner starts the tasks of a worker elsewhere once the worker does not answer and the
// time that its agent reports as left of the lease is over.
var _ = Describe("What is left of a lease", func() {
	limits := sched.Limits{}.WithDefaults()
	renewable := func() *lease {
		l := &lease{limits: limits}
		l.syncClock(0, time.Hour)
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
		restarted.syncClock(200*time.Millisecond, time.Hour+200*time.Millisecond)
		expectCovers(restarted, 200*time.Millisecond, end)
		expectCovers(restarted, 2*time.Second, end)
	})
})
