package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

func short(count int, copies bool) work.Step {
	return work.Step{Count: count, Size: vect.Size{Cores: 4 * cores, Memory: 10}, Estimate: 800, Copies: copies}
}

var _ = Describe("a run that makes no headway", func() {
	// advance lets the runs on a worker progress by a percent in each tick.
	advance := func(s *site, w *bench, by int, d time.Duration) {
		for range int(d / siteTick) {
			for _, r := range w.runs {
				r.percent += by
			}
			s.play(siteTick)
		}
	}

	It("is given up and starts elsewhere, without the loss of an attempt", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(4, false))
		s.play(500 * time.Millisecond)
		Expect(s.on("job")).To(Equal([]int{4, 0}))
		s.play(1500 * time.Millisecond)
		Expect(s.moves("stalled")).To(Equal(4))
		Expect(s.on("job")).To(Equal([]int{0, 4}))
		for range 20 {
			advance(s, s.workers[1], 5, 2*siteTick)
		}
		Expect(s.moves("stalled")).To(Equal(4), "runs that make headway stay")
	})
	It("is left alone while it is slow but moves", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(4, false))
		s.play(300 * time.Millisecond)
		advance(s, s.workers[0], 1, 6*time.Second)
		Expect(s.moves("stalled")).To(BeZero())
		Expect(s.on("job")).To(Equal([]int{4, 0}))
	})
	It("is given ever more time if it stands still wherever it is tried", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(1, false))
		s.play(45 * time.Second)
		Expect(s.moves("stalled")).To(BeNumerically("<=", 6), "a run that shows a percent each 6 s would never end")
		Expect(s.moves("stalled")).To(BeNumerically(">=", 4))
	})
	It("gets a copy where the step allows one, and the first end counts", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(1, true))
		s.play(300 * time.Millisecond)
		advance(s, s.workers[0], 1, 2*time.Second)
		Expect(s.on("job")).To(Equal([]int{1, 1}))
		for r := range s.workers[1].runs {
			s.end(s.workers[1], r, work.Done)
		}
		s.play(time.Second)
		Expect(s.on("job")).To(Equal([]int{0, 0}))
		Expect(s.core.State("job")).To(Equal("completed"))
	})
	It("gets no copy otherwise", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("job", "short", short(1, false))
		s.play(300 * time.Millisecond)
		advance(s, s.workers[0], 1, 3*time.Second)
		Expect(s.on("job")).To(Equal([]int{1, 0}))
	})
})
