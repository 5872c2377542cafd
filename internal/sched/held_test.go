package sched_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Nothing told an operator why a task waited while workers were idle.
var _ = Describe("a task that waits although a worker has the capacity", func() {
	advised := work.Queue{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true, Decide: 20, Each: 1}
	queues := append([]work.Queue{advised}, testQueues...)
	// expectHeld expects a reason, in the log once and in the census.
	expectHeld := func(s *testCell, reason string) {
		GinkgoHelper()
		logged := 0
		for _, d := range s.decisions {
			if d.Kind == "held" {
				Expect(d.Reason).To(Equal(reason))
				Expect(d.Took).To(BeNumerically(">=", time.Second))
				logged++
			}
		}
		Expect(logged).To(Equal(1))
		Expect(slices.Collect(maps.Keys(s.core.Census().Held))).To(Equal([]string{reason}))
	}

	It("waits for an answer of the advisor", func() {
		s := newTestCell(queues, 16)
		s.submit("job", "advised", latencyStep(1, 4))
		s.advance(3 * time.Second)
		expectHeld(s, "advice")
	})
	It("is refused by the advisor", func() {
		s := newTestCell(queues, 16)
		s.submit("job", "advised", latencyStep(1, 4))
		s.step(sched.Advice{Question: s.adviceRequests[0].Question, Valid: time.Second})
		s.advance(3 * time.Second)
		expectHeld(s, "refused")
	})
	It("needs a label that no worker has", func() {
		s := newTestCell(queues, 16)
		step := latencyStep(1, 4)
		step.Needs = "missing"
		s.submit("job", "serve", step)
		s.advance(3 * time.Second)
		expectHeld(s, "label")
	})
	It("has to be apart from others of its step", func() {
		s := newTestCell(queues, 16)
		step := latencyStep(2, 4)
		step.Apart = 1
		s.submit("job", "serve", step)
		s.advance(3 * time.Second)
		expectHeld(s, "spread")
	})
	It("waits for workers that are not suspect", func() {
		single := []work.Queue{{Name: "plans", Service: "s", Attempts: 1, Stretch: 2, Target: 500}}
		s := newTestCell(single, 16)
		for _, job := range []string{"poison0", "poison1"} {
			s.submit(job, "plans", shortStep(1, false))
			s.advance(tickInterval)
			for r := range s.workers[0].runs {
				s.endRun(s.workers[0], r, work.Failed)
			}
			s.advance(tickInterval)
		}
		s.submit("sound", "plans", shortStep(1, false))
		s.advance(1400 * time.Millisecond)
		expectHeld(s, "suspect")
	})
	It("isn't held if no worker has the capacity", func() {
		s := newTestCell(queues, 16)
		s.submit("web", "serve", latencyStep(5, 4))
		s.advance(3 * time.Second)
		Expect(s.core.Census().Held).To(BeNil())
		for _, d := range s.decisions {
			Expect(d.Kind).NotTo(Equal("held"))
		}
	})
})
