package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("a queue with an advisor", func() {
	const validity = 3 * time.Second
	queues := append([]work.Queue{{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true}}, testQueues...)
	// answerAdvice answers the newest request to the advisor with tickets for the
	// given workers.
	answerAdvice := func(s *testCell, workers ...string) {
		GinkgoHelper()
		Expect(s.adviceRequests).NotTo(BeEmpty())
		request := s.adviceRequests[len(s.adviceRequests)-1]
		advice := sched.Advice{Question: request.Question, Tickets: map[string]string{}, Valid: validity}
		for _, w := range workers {
			advice.Tickets[w] = "ticket-" + w
		}
		s.step(advice)
	}
	// allowAll advances the time; the advisor allows all workers.
	allowAll := func(s *testCell, d time.Duration) {
		GinkgoHelper()
		answered := 0
		for until := s.now + d; s.now < until; s.advance(tickInterval) {
			for answered < len(s.adviceRequests) {
				answered++
				answerAdvice(s, s.adviceRequests[answered-1].Workers...)
			}
		}
	}

	It("starts tasks only after the advisor has answered, and only on the workers that it allows", func() {
		s := newTestCell(queues, 16, 16, 16)
		s.submit("plan", "advised", work.Step{Count: 4, Size: latencyStep(1, 1).Size, Estimate: 500})
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("plan")).To(Equal([]int{0, 0, 0}))
		Expect(s.adviceRequests).To(HaveLen(1))
		Expect(s.adviceRequests[0].Workers).To(ConsistOf("w0", "w1", "w2"))
		answerAdvice(s, "w1")
		Expect(s.tasksPerWorker("plan")).To(Equal([]int{0, 4, 0}))
		s.advance(2 * time.Second)
		Expect(s.adviceRequests).To(HaveLen(1), "no task waits")
	})
	// A question whose answer can't be used kept the advisor from answering others, and the
	// next one, after the interval between two questions, came too late.
	It("asks when its answer can be used", func() {
		single := append([]work.Queue{{Name: "single", Service: "s", Attempts: 1, Stretch: 2, Target: 500, Advised: true}}, queues...)
		s := newTestCell(single, 4)
		for _, job := range []string{"poison0", "poison1"} {
			s.submit(job, "single", shortStep(1, false))
			s.advance(tickInterval)
			answerAdvice(s, "w0")
			s.advance(tickInterval)
			for r := range s.workers[0].runs {
				s.endRun(s.workers[0], r, work.Failed)
			}
			s.advance(tickInterval)
		}
		Expect(s.core.Census().Suspect).To(Equal(1))
		asked, since := len(s.adviceRequests), s.now
		s.submit("sound", "single", shortStep(1, false))
		for len(s.adviceRequests) == asked && s.now < since+2*time.Second {
			s.advance(tickInterval)
		}
		Expect(s.now-since).To(BeNumerically(">", time.Second), "its last attempt waits for a worker that is not suspect")
		Expect(s.adviceRequests).To(HaveLen(asked + 1))
		answerAdvice(s, "w0")
		s.advance(tickInterval)
		Expect(s.workers[0].runs).To(HaveLen(1))
	})
	It("asks again when the advice has expired, but not about rejected workers", func() {
		s := newTestCell(queues, 1, 1)
		s.submit("plan", "advised", work.Step{Count: 2, Size: latencyStep(1, 1).Size, Estimate: 500})
		s.advance(tickInterval)
		answerAdvice(s, "w1")
		s.advance(validity + time.Second)
		Expect(len(s.adviceRequests)).To(BeNumerically(">", 1))
		Expect(s.adviceRequests[len(s.adviceRequests)-1].Workers).To(ConsistOf("w1"), "the advisor rejected w0, which is never asked about again")
	})
	// A scheduling pass over only the changed workers asked the advisor about these
	// alone, and the answer replaced the tickets of all other workers.
	It("keeps its tickets when a worker joins", func() {
		s := newTestCell(queues, 2)
		s.submit("plan", "advised", work.Step{Count: 3, Size: latencyStep(1, 1).Size, Estimate: 500})
		s.advance(tickInterval)
		answerAdvice(s, "w0")
		s.advance(time.Second)
		Expect(s.tasksPerWorker("plan")).To(Equal([]int{2}))
		s.workers = append(s.workers, newTestCell(queues, 1, 1).workers[1])
		s.sendReport(s.workers[1])
		Expect(s.adviceRequests[len(s.adviceRequests)-1].Workers).To(Equal([]string{"w1"}), "a task waits, and w0 is full")
		answerAdvice(s)
		asked := len(s.adviceRequests)
		for r := range s.workers[0].runs {
			s.endRun(s.workers[0], r, work.Done)
		}
		s.sendReport(s.workers[0])
		Expect(s.tasksPerWorker("plan")).To(Equal([]int{1, 0}), "by the ticket for w0")
		Expect(s.adviceRequests).To(HaveLen(asked))
	})
	// The advisor was asked about the first 30 workers again and again, while these were full.
	It("asks about further workers if those that the advisor allows are full", func() {
		sizes := make([]int64, 33)
		for i := range sizes {
			sizes[i] = 8
		}
		s := newTestCell(queues, sizes...)
		full := latencyStep(30, 5)
		full.Apart = 1
		s.submit("web", "serve", full)
		s.advance(tickInterval)
		taken := s.tasksPerWorker("web")
		s.submit("plan", "advised", latencyStep(3, 5))
		allowAll(s, 3*time.Second)
		for i, n := range s.tasksPerWorker("plan") {
			Expect(n).To(Equal(1-taken[i]), "worker %d", i)
		}
		Expect(len(s.adviceRequests)).To(BeNumerically("<=", 2))
	})
	// While a step's first 30 workers have room, the tickets of the others come to be needed.
	It("asks about further workers once the others are full", func() {
		sizes := make([]int64, 40)
		for i := range sizes {
			sizes[i] = 4
		}
		s := newTestCell(queues, sizes...)
		s.submit("plan", "advised", latencyStep(40, 4))
		allowAll(s, 3*time.Second)
		Expect(s.tasksPerWorker("plan")).To(HaveEach(1))
	})
	// The advice was applied only to waiting tasks, so a long-running task on a
	// draining worker could be stopped to be moved to a worker that the advisor does
	// not allow.
	It("moves a long-running task only to a worker that the advisor allows", func() {
		s := newTestCell(queues, 16, 16)
		s.submit("web", "advised", latencyStep(1, 4))
		s.advance(tickInterval)
		answerAdvice(s, "w0", "w1")
		Expect(s.tasksPerWorker("web")).To(Equal([]int{1, 0}))
		s.advance(validity)
		before := len(s.adviceRequests)
		s.workers[0].Leaving, s.workers[0].Remaining = true, 4000
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("web")).To(Equal([]int{1, 0}), "the ticket for w1 has expired")
		Expect(s.adviceRequests).To(HaveLen(before + 1))
		answerAdvice(s, "w1")
		s.advance(2 * tickInterval)
		Expect(s.tasksPerWorker("web")).To(Equal([]int{0, 1}))
	})
})
