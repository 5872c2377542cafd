package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// A start meant for the incarnation before is carried out by the next one and its run ends
// before that one's first list reaches the owner.
var _ = Describe("A run that ended on the next incarnation of its worker", func() {
	restart := func(s *testCell, how work.EndReason) *testWorker {
		s.submit("job", "short", shortStep(1, false))
		s.step(sched.Tick{})
		w := s.workers[0]
		if len(w.runs) == 0 {
			w = s.workers[1]
		}
		Expect(w.runs).To(HaveLen(1))
		w.Born++
		for r := range w.runs {
			s.endRun(w, r, how)
		}
		return w
	}
	starts := func(s *testCell) int {
		n := 0
		for _, d := range s.decisions {
			if d.Kind == "place" {
				n++
			}
		}
		return n
	}
	It("does not run again after its end done was acknowledged", func() {
		s := newTestCell(testQueues, 16, 16)
		w := restart(s, work.Done)
		Expect(starts(s)).To(Equal(1))
		s.advance(700 * time.Millisecond)
		Expect(w.ends).To(BeEmpty(), "the owner has acknowledged the end")
		Expect(starts(s)).To(Equal(1))
	})
	It("counts as an attempt", func() {
		s := newTestCell(testQueues, 16, 16)
		w := restart(s, work.Failed)
		for range 2 {
			s.advance(700 * time.Millisecond)
			for _, x := range s.workers {
				for r := range x.runs {
					s.endRun(x, r, work.Failed)
				}
			}
		}
		s.advance(700 * time.Millisecond)
		Expect(w.ends).To(BeEmpty())
		Expect(starts(s)).To(Equal(3), "the queue allows three attempts")
	})
})
