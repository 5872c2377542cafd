package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// If the answer to an order is lost, tells only of an earlier order, or comes after the worker's next report, the list of
// runs in that report is what shows the start. The log did not tell of such a start: by it,
// the run had been on its way for the whole of its life.
var _ = Describe("the log of starts", func() {
	started := func(s *testCell) map[string]int {
		out := map[string]int{}
		for _, d := range s.decisions {
			if d.Kind == "started" {
				out[d.Task]++
			}
		}
		return out
	}
	everyTaskOnce := Equal(map[string]int{"j.0.0.0": 1, "j.0.0.1": 1})

	It("tells of each once, whatever shows it first", func() {
		for name, prepare := range map[string]func(s *testCell){
			"no fault":        func(*testCell) {},
			"results lost":    func(s *testCell) { s.resultsLost = true },
			"starts repeated": func(s *testCell) { s.startsRepeated = true },
		} {
			s := newTestCell(testQueues, 4)
			prepare(s)
			s.submit("j", "serve", latencyStep(2, 1))
			s.advance(2 * time.Second)
			Expect(started(s)).To(everyTaskOnce, name)
			s.resultsLost, s.startsRepeated = false, false
			s.advance(2 * time.Second)
			Expect(started(s)).To(everyTaskOnce, name)
		}
	})
	It("does not tell of the starts of an earlier owner", func() {
		s := newTestCell(testQueues, 4)
		job := work.Job{ID: "j", Queue: "serve", Service: "s", Spec: "x", Steps: []work.Step{latencyStep(2, 1)}}
		s.step(sched.Submit{Job: job})
		s.advance(time.Second)
		s.replaceOwner(job)
		s.decisions = nil
		s.advance(2 * time.Second)
		Expect(started(s)).To(BeEmpty())
		Expect(s.tasksPerWorker("j")).To(Equal([]int{2}))
	})
})
