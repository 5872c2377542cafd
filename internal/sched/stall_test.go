package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// shortStep returns a step of batch tasks of 4 cores with an estimated run time of
// 0.8 s.
func shortStep(count int, copies bool) work.Step {
	return work.Step{Count: count, Size: vect.Size{Cores: 4 * cores, Memory: 10}, Estimate: 800, Copies: copies}
}

var _ = Describe("a run without progress", func() {
	// advanceWithProgress advances the time by d; in each tick the runs on w progress
	// by the given percentage points.
	advanceWithProgress := func(s *testCell, w *testWorker, percent int, d time.Duration) {
		for range int(d / tickInterval) {
			for _, r := range w.runs {
				r.percent += percent
			}
			s.advance(tickInterval)
		}
	}

	It("is stopped and its task moved, without a failed attempt", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(4, false))
		s.advance(500 * time.Millisecond)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{4, 0}))
		s.advance(1500 * time.Millisecond)
		Expect(s.countMoves("stalled")).To(Equal(4))
		Expect(s.tasksPerWorker("job")).To(Equal([]int{0, 4}))
		for range 20 {
			advanceWithProgress(s, s.workers[1], 5, 2*tickInterval)
		}
		Expect(s.countMoves("stalled")).To(Equal(4), "runs that make progress stay")
	})
	It("is not stopped while it makes slow progress", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(4, false))
		s.advance(300 * time.Millisecond)
		advanceWithProgress(s, s.workers[0], 1, 6*time.Second)
		Expect(s.countMoves("stalled")).To(BeZero())
		Expect(s.tasksPerWorker("job")).To(Equal([]int{4, 0}))
	})
	It("is given more time with each stall of its task", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(1, false))
		s.advance(45 * time.Second)
		Expect(s.countMoves("stalled")).To(BeNumerically("<=", 6), "without a backoff, a run that progresses by one percent every 6 s would never end")
		Expect(s.countMoves("stalled")).To(BeNumerically(">=", 4))
	})
	It("gets a speculative copy if the step allows it, and the first of the two to end completes the task", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(1, true))
		s.advance(300 * time.Millisecond)
		advanceWithProgress(s, s.workers[0], 1, 2*time.Second)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 1}))
		for r := range s.workers[1].runs {
			s.endRun(s.workers[1], r, work.Done)
		}
		s.advance(time.Second)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{0, 0}))
		Expect(s.core.State("job")).To(Equal("completed"))
	})
	It("gets no speculative copy if the step does not allow it", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(1, false))
		s.advance(300 * time.Millisecond)
		advanceWithProgress(s, s.workers[0], 1, 3*time.Second)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
})
