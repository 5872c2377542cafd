package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// When the wall clocks of more than half of the machines jumped at once, the owner's
// estimate of the time of day jumped with them, and an occurrence of a timed job
// started 21 s before its time (seed 830853615132 of a simulated day with timed
// jobs). A jump must not move the estimate unless it lasts for more than a minute.
var _ = Describe("the start of a timed occurrence", func() {
	// submitTimed submits a job with one occurrence that is to start after delay.
	submitTimed := func(s *testCell, delay time.Duration) {
		s.step(sched.Submit{Job: work.Job{
			ID: "timed", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{shortStep(1, false)},
			At: s.now.Milliseconds(), Times: 1, First: (s.wallClock() + delay).Milliseconds(),
		}})
	}
	started := func(s *testCell) bool { return s.core.State("timed") == "running" }
	// jumpClocks sets the clock offset of the first n workers.
	jumpClocks := func(s *testCell, n int, offset time.Duration) {
		for _, w := range s.workers[:n] {
			s.clockOffset[w] = offset
		}
	}

	It("is on time", func() {
		s := newTestCell(testQueues, 16, 16, 16, 16)
		s.advance(2 * time.Second)
		submitTimed(s, 3*time.Second)
		s.advance(2900 * time.Millisecond)
		Expect(started(s)).To(BeFalse())
		s.advance(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		It("is on time after most clocks have jumped by "+by.String(), func() {
			s := newTestCell(testQueues, 16, 16, 16, 16)
			s.advance(2 * time.Second)
			submitTimed(s, 8*time.Second)
			jumpClocks(s, 3, by)
			s.advance(7900 * time.Millisecond)
			Expect(started(s)).To(BeFalse())
			s.advance(300 * time.Millisecond)
			Expect(started(s)).To(BeTrue())
		})
	}
	It("is on time if a new owner takes over after most clocks have jumped", func() {
		s := newTestCell(testQueues, 16, 16, 16, 16)
		s.advance(6 * time.Second)
		s.submit("other", "short", shortStep(1, false))
		s.advance(time.Second)
		Expect(s.learnedRows).NotTo(BeEmpty())
		jumpClocks(s, 3, 20*time.Second)
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Learned: s.learnedRows}, s.config)
		submitTimed(s, 5*time.Second)
		s.advance(4900 * time.Millisecond)
		Expect(started(s)).To(BeFalse())
		s.advance(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
	It("follows a clock jump that lasts for more than a minute", func() {
		s := newTestCell(testQueues, 16, 16, 16, 16)
		s.advance(2 * time.Second)
		jumpClocks(s, 4, 20*time.Second)
		s.advance(70 * time.Second)
		submitTimed(s, 20*time.Second)
		s.advance(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
})
