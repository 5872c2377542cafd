package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

var _ = Describe("preemption for a task of a higher priority", func() {
	queues := append([]work.Queue{{Name: "batch", Service: "s", Attempts: 3, Stretch: 4, Target: 1000, Priority: 2}}, testQueues...)
	// batchStep returns a step of tasks of 4 cores and an estimated run time of 60 s.
	batchStep := func(count int, checkpoints bool) work.Step {
		return work.Step{Count: count, Size: vect.Size{Cores: 4 * cores, Memory: 10}, Estimate: 60_000, Saves: checkpoints}
	}
	// newBatchCell returns a cell with two workers of 16 cores whose capacity is fully
	// used by batch tasks of a lower priority. The tasks have run for duration d.
	newBatchCell := func(checkpoints bool, d time.Duration) *testCell {
		s := newTestCell(queues, 16, 16)
		s.submit("batch", "batch", batchStep(8, checkpoints))
		for range int(d / tickInterval) {
			for _, w := range s.workers {
				for _, r := range w.runs {
					r.percent = (r.percent + 1) % 100
				}
			}
			s.advance(tickInterval)
		}
		return s
	}

	It("stops runs of a lower priority that resume from a checkpoint", func() {
		s := newBatchCell(true, 3*time.Second)
		s.submit("urgent", "short", shortStep(2, false))
		s.advance(time.Second)
		Expect(s.tasksPerWorker("urgent")).To(ContainElement(BeNumerically(">", 0)))
		Expect(s.countMoves("preempted")).To(Equal(2))
		Expect(s.core.State("batch")).To(Equal("running"))
	})
	It("stops no run that would lose far more work than the waiting task needs", func() {
		s := newBatchCell(false, 20*time.Second)
		s.submit("urgent", "short", shortStep(2, false))
		s.advance(2 * time.Second)
		Expect(s.countMoves("preempted")).To(BeZero(), "each victim would lose 80 core-seconds for a task of 3.2")
		Expect(s.tasksPerWorker("urgent")).To(Equal([]int{0, 0}))
	})
	It("stops no run of the same priority", func() {
		s := newTestCell(queues, 16, 16)
		s.submit("serve", "serve", latencyStep(8, 4))
		s.advance(5 * time.Second)
		s.submit("urgent", "short", shortStep(2, false))
		s.advance(2 * time.Second)
		Expect(s.countMoves("preempted")).To(BeZero())
	})
	It("stops nothing if capacity becomes free by itself soon", func() {
		s := newBatchCell(true, 3*time.Second)
		s.submit("urgent", "short", shortStep(1, false))
		s.advance(200 * time.Millisecond)
		Expect(s.countMoves("preempted")).To(BeZero())
		for r := range s.workers[0].runs {
			s.endRun(s.workers[0], r, work.Done)
			break
		}
		s.advance(time.Second)
		Expect(s.countMoves("preempted")).To(BeZero())
		Expect(s.tasksPerWorker("urgent")).To(Equal([]int{1, 0}))
	})
})
