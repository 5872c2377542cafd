package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// A timed job whose occurrences overlap on one core: an old one that can't be in
// time any more, and one that is due now.
var _ = Describe("occurrences of timed jobs", func() {
	const every = 30 * time.Second
	// begin hands a job in whose second occurrence has just become due.
	begin := func(core int64) *site {
		s := newSite(siteQueues, core)
		s.play(1200 * time.Millisecond)
		s.step(sched.Submit{Job: work.Job{
			ID: "timed", Queue: "short", Service: "s", Spec: "x", At: s.now.Milliseconds(),
			Times: 2, First: (s.unix() - every).Milliseconds(), Every: every.Milliseconds(),
			Steps: []work.Step{{Count: 1, Size: latencyTask(1, 1).Size, Estimate: 1000}},
		}})
		s.play(siteTick)
		return s
	}
	// running lists the occurrences of which a task runs.
	running := func(s *site) []int {
		var out []int
		for r := range s.workers[0].runs {
			p, _ := work.ParseTaskName(r.Task)
			out = append(out, p.K)
		}
		return out
	}
	finish := func(s *site) {
		for r := range s.workers[0].runs {
			s.end(s.workers[0], r, work.Done)
		}
		s.play(siteTick)
	}

	It("go before those that can't be in time any more", func() {
		s := begin(1)
		Expect(running(s)).To(ConsistOf(1))
		finish(s)
		Expect(running(s)).To(ConsistOf(0), "the late one is done after all")
		finish(s)
		Expect(s.core.State("timed")).To(Equal("completed"))
	})
	It("overlap where there is room", func() {
		Expect(running(begin(2))).To(ConsistOf(0, 1))
	})
})
