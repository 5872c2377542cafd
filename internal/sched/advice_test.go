package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("a queue whose advisor names the workers", func() {
	const valid = 3 * time.Second
	queues := append([]work.Queue{{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true}}, siteQueues...)
	// allow is the advisor's answer to the newest question.
	allow := func(s *site, workers ...string) {
		GinkgoHelper()
		Expect(s.asks).NotTo(BeEmpty())
		q := s.asks[len(s.asks)-1]
		a := sched.Advice{Step: q.Step, Tickets: map[string]string{}, Valid: valid, Asked: q.Workers}
		for _, w := range workers {
			a.Tickets[w] = "ticket-" + w
		}
		s.step(a)
	}

	It("starts nothing before the advisor has answered, and then where it may", func() {
		s := newSite(queues, 16, 16, 16)
		s.submit("plan", "advised", work.Step{Count: 4, Size: latencyTask(1, 1).Size, Estimate: 500})
		s.play(siteTick)
		Expect(s.on("plan")).To(Equal([]int{0, 0, 0}))
		Expect(s.asks).To(HaveLen(1))
		Expect(s.asks[0].Workers).To(ConsistOf("w0", "w1", "w2"))
		allow(s, "w1")
		Expect(s.on("plan")).To(Equal([]int{0, 4, 0}))
		s.play(2 * time.Second)
		Expect(s.asks).To(HaveLen(1), "nothing waits")
	})
	It("is asked for again once the answer has lapsed", func() {
		s := newSite(queues, 1, 1)
		s.submit("plan", "advised", work.Step{Count: 2, Size: latencyTask(1, 1).Size, Estimate: 500})
		s.play(siteTick)
		allow(s, "w1")
		s.play(valid + time.Second)
		Expect(len(s.asks)).To(BeNumerically(">", 1))
		Expect(s.asks[len(s.asks)-1].Workers).To(ConsistOf("w1"), "w0 was refused for good")
	})
	// Found by reading: a pass over the workers with news asked about these alone, and
	// the answer replaced the tickets for the others.
	It("keeps its tickets when a worker comes", func() {
		s := newSite(queues, 2)
		s.submit("plan", "advised", work.Step{Count: 3, Size: latencyTask(1, 1).Size, Estimate: 500})
		s.play(siteTick)
		allow(s, "w0")
		s.play(time.Second)
		Expect(s.on("plan")).To(Equal([]int{2}))
		before := len(s.asks)
		s.workers = append(s.workers, newSite(queues, 1, 1).workers[1])
		s.report(s.workers[1])
		Expect(s.asks).To(HaveLen(before))
	})
	// Found by reading: only waiting tasks were held to the advisor's word, so a
	// lasting task could be stopped for a worker that would not have taken it.
	It("moves a lasting task only to a worker that it names", func() {
		s := newSite(queues, 16, 16)
		s.submit("web", "advised", latencyTask(1, 4))
		s.play(siteTick)
		allow(s, "w0", "w1")
		Expect(s.on("web")).To(Equal([]int{1, 0}))
		s.play(valid)
		before := len(s.asks)
		s.workers[0].Leaving, s.workers[0].Remaining = true, 4000
		s.play(siteTick)
		Expect(s.on("web")).To(Equal([]int{1, 0}), "the ticket for w1 has lapsed")
		Expect(s.asks).To(HaveLen(before + 1))
		allow(s, "w1")
		s.play(2 * siteTick)
		Expect(s.on("web")).To(Equal([]int{0, 1}))
	})
})
