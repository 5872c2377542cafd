package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

var _ = Describe("a task that can't wait", func() {
	queues := append([]work.Queue{{Name: "batch", Service: "s", Attempts: 3, Stretch: 4, Target: 1000, Priority: 2}}, siteQueues...)
	batch := func(count int, saves bool) work.Step {
		return work.Step{Count: count, Size: vect.Size{Cores: 4 * cores, Memory: 10}, Estimate: 60_000, Saves: saves}
	}
	// full has two workers of 16 cores full of batch tasks that have worked for a
	// while.
	full := func(saves bool, d time.Duration) *site {
		s := newSite(queues, 16, 16)
		s.submit("batch", "batch", batch(8, saves))
		for range int(d / siteTick) {
			for _, w := range s.workers {
				for _, r := range w.runs {
					r.percent = (r.percent + 1) % 100
				}
			}
			s.play(siteTick)
		}
		return s
	}

	It("gets the room of work that can, which goes on from its checkpoint", func() {
		s := full(true, 3*time.Second)
		s.submit("urgent", "short", short(2, false))
		s.play(time.Second)
		Expect(s.on("urgent")).To(ContainElement(BeNumerically(">", 0)))
		Expect(s.moves("preempted")).To(Equal(2))
		Expect(s.core.State("batch")).To(Equal("running"))
	})
	It("takes no more than it is worth", func() {
		s := full(false, 20*time.Second)
		s.submit("urgent", "short", short(2, false))
		s.play(2 * time.Second)
		Expect(s.moves("preempted")).To(BeZero(), "each run would lose 80 core-seconds for 3.2")
		Expect(s.on("urgent")).To(Equal([]int{0, 0}))
	})
	It("never takes room of the same priority", func() {
		s := newSite(queues, 16, 16)
		s.submit("serve", "serve", latencyTask(8, 4))
		s.play(5 * time.Second)
		s.submit("urgent", "short", short(2, false))
		s.play(2 * time.Second)
		Expect(s.moves("preempted")).To(BeZero())
	})
	It("waits for room that comes up anyway", func() {
		s := full(true, 3*time.Second)
		s.submit("urgent", "short", short(1, false))
		s.play(200 * time.Millisecond)
		Expect(s.moves("preempted")).To(BeZero())
		for r := range s.workers[0].runs {
			s.end(s.workers[0], r, work.Done)
			break
		}
		s.play(time.Second)
		Expect(s.moves("preempted")).To(BeZero())
		Expect(s.on("urgent")).To(Equal([]int{1, 0}))
	})
})
