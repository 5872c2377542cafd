package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/work"
)

// A worker lists a part of its ends at a time, and goes on to the next part once the owner
// has stored the first. A run whose end is not listed yet was taken for vanished, and its
// task started again although it had succeeded.
var _ = Describe("runs whose ends do not fit into a worker's list", func() {
	const tasks = 12
	var s *testCell
	endAll := func(how work.EndReason) {
		for _, w := range s.workers {
			for r := range w.runs {
				s.endRun(w, r, how)
			}
		}
	}
	// highestRun returns the highest run number that was placed.
	highestRun := func() int64 {
		var out int64
		for _, d := range s.decisions {
			if d.Kind == "place" {
				out = max(out, d.Run)
			}
		}
		return out
	}
	BeforeEach(func() {
		s = newTestCell(testQueues, 64, 64)
		s.workers[0].endsPerReport = 5
		s.workers[1].Leaving, s.workers[1].Remaining = true, 60_000
		s.advance(time.Second)
		step := shortStep(tasks, false)
		step.Saves = true
		s.submit("j", "short", step)
		s.advance(time.Second)
		Expect(s.workers[0].runs).To(HaveLen(tasks))
	})
	It("are not started again while the store is down", func() {
		s.setStoreDown(true)
		endAll(work.Done)
		s.advance(5 * time.Second)
		s.setStoreDown(false)
		s.advance(2 * time.Second)
		Expect(s.core.State("j")).To(Equal("completed"))
		Expect(highestRun()).To(Equal(int64(1)))
	})
	It("are not started again by a new owner", func() {
		endAll(work.Done)
		s.replaceOwner(work.Job{ID: "j", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{shortStep(tasks, false)}})
		s.setStoreDown(true)
		s.advance(5 * time.Second)
		s.setStoreDown(false)
		s.advance(2 * time.Second)
		Expect(s.core.State("j")).To(Equal("completed"))
		Expect(highestRun()).To(Equal(int64(1)))
	})
	It("are not started again if a stop came too late", func() {
		s.setStoreDown(true)
		endAll(work.Done)
		s.workers[0].Leaving, s.workers[0].Remaining = true, 100
		s.workers[1].Leaving = false
		s.advance(3 * time.Second)
		Expect(s.countMoves("leaving")).To(BeNumerically(">", 0))
		s.setStoreDown(false)
		s.advance(2 * time.Second)
		Expect(s.core.State("j")).To(Equal("completed"))
		Expect(highestRun()).To(Equal(int64(1)))
	})
	It("are started again if they are gone without an end", func() {
		clear(s.workers[0].runs)
		s.advance(1500 * time.Millisecond)
		Expect(s.workers[0].runs).To(HaveLen(tasks))
		Expect(highestRun()).To(Equal(int64(2)))
	})
})
