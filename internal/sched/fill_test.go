package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/work"
)

// The worker below has 16 cores and a serving task whose stress is 0.3 below its
// limit. A task that fills is expected to add 0.0875.
var _ = Describe("tasks that fill beside a serving task", func() {
	const (
		idle  = 10     // ms, the tail at no stress
		load  = 0.5    // the stress of the serving task alone
		adds  = 0.0875 // the stress of a task that fills
		share = 2      // cores of a task that fills
	)
	queues := append([]work.Queue{{Name: "tight", Service: "s", Attempts: 3, Stretch: 1, Priority: 2}}, siteQueues...)
	// play lets time pass while each run is read as usual.
	play := func(s *site, d time.Duration) {
		for end := s.now + d; s.now < end; {
			for _, w := range s.workers {
				tail := idle / (1 - load - adds*float64(len(w.runs)-1))
				for r, x := range w.runs {
					x.figure = share * cores
					if p, _ := work.ParseTaskName(r.Task); p.Job == "web" {
						x.figure = int64(tail)
					}
				}
			}
			s.play(siteTick)
		}
	}
	begin := func(queue string, d time.Duration) *site {
		s := newSite(queues, 16)
		s.submit("web", "serve", latencyTask(1, 4))
		play(s, time.Second)
		step := filling(share)
		step.Count = 3
		s.submit("plan", queue, step)
		play(s, d)
		return s
	}

	It("leave much room while their job has time to spare", func() {
		Expect(begin("fill", 500*time.Millisecond).on("plan")).To(Equal([]int{1}))
	})
	It("leave less room once it has little", func() {
		Expect(begin("fill", 2*time.Second).on("plan")).To(Equal([]int{3}))
	})
	It("leave some room once it will be late", func() {
		Expect(begin("tight", 3*time.Second).on("plan")).To(Equal([]int{2}))
	})
	It("leave little room to spare in a crowd", func() {
		s := begin("fill", siteTick)
		for i := range 12 {
			s.submit(string(rune('a'+i)), "fill", filling(8))
		}
		play(s, 1300*time.Millisecond)
		Expect(s.on("plan")).To(Equal([]int{3}))
	})
})
