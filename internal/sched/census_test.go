package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("what an owner believes", func() {
	It("is counted", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("web", "serve", latencyTask(3, 8))
		s.submit("wide", "short", work.Step{Count: 4, Size: latencyTask(1, 8).Size, Estimate: 500})
		s.play(time.Second)
		Expect(s.core.Census()).To(Equal(sched.Census{
			Ready: 2, Size: 32 * cores, Reserved: 32 * cores, Placed: 4, Waiting: 3, Jobs: 2,
		}))
	})
	It("tells workers by what ails them", func() {
		s := newSite(siteQueues, 16, 16, 16, 16)
		s.workers[0].Leaving = true
		s.play(siteTick)
		cut := s.compose(s.workers[1])
		cut.Cut, cut.Left = true, 1000
		s.step(sched.Report{Report: cut})
		c := s.core.Census()
		Expect([]int{c.Ready, c.Leaving, c.Cut, c.Suspect, c.Silent}).To(Equal([]int{2, 1, 1, 0, 0}))
		s.now += 2 * time.Second
		s.report(s.workers[2])
		c = s.core.Census()
		Expect([]int{c.Ready, c.Leaving, c.Cut, c.Suspect, c.Silent}).To(Equal([]int{1, 1, 1, 0, 1}))
	})
})
