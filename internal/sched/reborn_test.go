package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Orders name a worker's incarnation by its ID only. A worker that has started again under
// its ID may have carried out starts that were meant for the incarnation before.
var _ = Describe("The runs of a worker that starts again", func() {
	// newCell returns a cell with a long-running task on the first of two workers, and a
	// function that starts that worker again.
	newCell := func() (*testCell, func(id string)) {
		s := newTestCell(testQueues, 16, 16)
		s.stopDuration = 300 * time.Millisecond
		s.submit("job", "serve", latencyStep(1, 4))
		s.advance(time.Second)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
		return s, func(id string) {
			s.workers[0].ID = id
			s.workers[0].Born++
		}
	}
	neverTwice := func(s *testCell, d time.Duration) {
		GinkgoHelper()
		for until := s.now + d; s.now < until; s.advance(tickInterval) {
			n := s.tasksPerWorker("job")
			Expect(n[0]+n[1]).To(BeNumerically("<=", 1), "at %v: %v", s.now, n)
		}
	}

	It("are stopped on the new incarnation of its ID before their tasks are placed again", func() {
		s, restart := newCell()
		restart("w0")
		neverTwice(s, 3*time.Second)
		Expect(s.core.Census().Ready).To(Equal(2))
		n := s.tasksPerWorker("job")
		Expect(n[0] + n[1]).To(Equal(1))
	})
	It("keep their room there until then", func() {
		s, restart := newCell()
		s.stopDuration = time.Hour
		restart("w0")
		s.submit("large", "serve", latencyStep(2, 14))
		s.advance(2 * time.Second)
		Expect(s.tasksPerWorker("large")).To(Equal([]int{0, 1}))
	})
	It("are stopped also by an owner that has taken over", func() {
		job := work.Job{ID: "job", Queue: "serve", Service: "s", Spec: "x", Steps: []work.Step{latencyStep(1, 4)}}
		s, restart := newCell()
		restart("w0")
		s.replaceOwner(job)
		neverTwice(s, 3*time.Second)
	})
	It("are over if the ID is new, which the orders for the one before do not name", func() {
		s, restart := newCell()
		s.workers[0].runs = map[work.Run]*testRun{}
		restart("w7")
		s.advance(tickInterval)
		n := s.tasksPerWorker("job")
		Expect(n[0] + n[1]).To(Equal(1))
	})
	It("are not over before it has answered its agent", func() {
		s, restart := newCell()
		lost := s.workers[0]
		restart("w7")
		for range 5 {
			announced := s.newReport(lost)
			announced.Listed, announced.Running = false, nil
			s.step(sched.Report{Report: announced})
			s.step(sched.Tick{})
			s.now += tickInterval
		}
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
	It("leaves it in use although its time of day was set back before it started", func() {
		s := newTestCell(testQueues, 16)
		w := s.workers[0]
		w.Born = 1000
		s.advance(time.Second)
		last := s.newReport(w)
		last.Gone = true
		s.step(sched.Report{Report: last})
		w.ID, w.Born = "w7", 900
		s.advance(5 * time.Second)
		Expect(s.core.Census().Ready).To(Equal(1))
	})
	// The first report of the new incarnation that a new owner gets has been sent after its
	// farewell: the owner knows no lease of it yet.
	It("are not over if its lease is not renewed any more", func() {
		job := work.Job{ID: "job", Queue: "serve", Service: "s", Spec: "x", Steps: []work.Step{latencyStep(1, 4)}}
		s, restart := newCell()
		restart("w0")
		s.replaceOwner(job)
		leaving := s.newReport(s.workers[0])
		leaving.Worker.Leaving, leaving.Cut, leaving.Left = true, true, 4000
		s.step(sched.Report{Token: 1, Report: leaving})
		s.sendReport(s.workers[1])
		s.step(sched.Tick{})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
	// The earlier incarnation had answered that it started or cancelled the run before. That
	// says nothing of the present one, where a call without an answer may still start it.
	It("are stopped there also if the one before had answered that they do not start again", func() {
		s := newTestCell(testQueues, 16, 16)
		s.startsRepeated = true
		s.submit("job", "serve", latencyStep(1, 4))
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
		s.startsRepeated = false
		s.now += tickInterval
		w := s.workers[0]
		late := w.runs
		w.runs = map[work.Run]*testRun{}
		w.Born++
		w.Leaving = true // its task can only be placed on the other worker
		s.sendReport(w)
		w.runs = late // the late call arrives
		s.sendReport(s.workers[1])
		s.step(sched.Tick{})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
})
