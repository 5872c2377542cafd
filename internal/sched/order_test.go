package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Two occurrences of a timed job overlap: an old one that cannot finish in time any
// more, and one that has just become due.
var _ = Describe("overlapping occurrences of a timed job", func() {
	const interval = 30 * time.Second
	// submitOverlapping submits a job whose second occurrence has just become due to
	// a cell with one worker of coreCount cores.
	submitOverlapping := func(coreCount int64) *testCell {
		s := newTestCell(testQueues, coreCount)
		s.advance(1200 * time.Millisecond)
		s.step(sched.Submit{Job: work.Job{
			ID: "timed", Queue: "short", Service: "s", Spec: "x", At: s.now.Milliseconds(),
			Times: 2, First: (s.wallClock() - interval).Milliseconds(), Every: interval.Milliseconds(),
			Steps: []work.Step{{Count: 1, Size: latencyStep(1, 1).Size, Estimate: 1000}},
		}})
		s.advance(tickInterval)
		return s
	}
	// running lists the numbers of the occurrences that have a running task.
	running := func(s *testCell) []int {
		var out []int
		for r := range s.workers[0].runs {
			p, _ := work.ParseTaskName(r.Task)
			out = append(out, p.K)
		}
		return out
	}
	// finishRunning lets all runs end successfully.
	finishRunning := func(s *testCell) {
		for r := range s.workers[0].runs {
			s.endRun(s.workers[0], r, work.Done)
		}
		s.advance(tickInterval)
	}

	It("starts the occurrence that can finish in time first", func() {
		s := submitOverlapping(1)
		Expect(running(s)).To(ConsistOf(1))
		finishRunning(s)
		Expect(running(s)).To(ConsistOf(0), "the late occurrence still runs")
		finishRunning(s)
		Expect(s.core.State("timed")).To(Equal("completed"))
	})
	It("starts both if there is free capacity", func() {
		Expect(running(submitOverlapping(2))).To(ConsistOf(0, 1))
	})
})
