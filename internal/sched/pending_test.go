package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// A job whose tasks were placed on workers that were cut off was taken for one that had begun:
// it was missing in the count of pending jobs, and its state was "running", for as long as no
// task of it ran.
var _ = Describe("a job of which no task has started", func() {
	var s *testCell
	var job work.Job
	submit := func(count int) {
		job = work.Job{ID: "j", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{{Count: count, Size: latencyStep(1, 1).Size, Estimate: 60_000}}, At: s.now.Milliseconds()}
		s.step(sched.Submit{Job: job})
	}
	expectPending := func() {
		GinkgoHelper()
		Expect(s.core.Pending()).To(Equal(map[string]int{"short": 1}))
		Expect(s.core.State("j")).To(Equal("queued"))
		Expect(s.core.CheckIndexes()).To(Succeed())
	}
	expectRunning := func() {
		GinkgoHelper()
		Expect(s.core.Pending()).To(BeEmpty())
		Expect(s.core.State("j")).To(Equal("running"))
		Expect(s.core.CheckIndexes()).To(Succeed())
	}
	BeforeEach(func() { s = newTestCell(testQueues, 4, 4) })

	It("is pending while its orders are lost, for the next owner too", func() {
		s.ordersLost = true
		submit(2)
		s.advance(3 * time.Second)
		Expect(s.orders).NotTo(BeEmpty())
		expectPending()
		s.replaceOwner(job)
		expectPending()
		s.advance(3 * time.Second)
		expectPending()
		s.ordersLost = false
		s.advance(3 * time.Second)
		expectRunning()
	})
	It("is pending while its orders are lost and its progress is on pages", func() {
		s = newLimitedCell(sched.Limits{TasksPerRow: 1}, testQueues, 4, 4)
		s.ordersLost = true
		submit(3)
		s.advance(3 * time.Second)
		expectPending()
		s.replaceOwner(job)
		expectPending()
		s.ordersLost = false
		s.advance(3 * time.Second)
		expectRunning()
		s.replaceOwner(job)
		expectRunning()
	})
	It("is pending when its placement was taken back, because the worker refused the start", func() {
		s.startsRefused = work.NoCapacity
		submit(1)
		s.advance(time.Second)
		Expect(s.orders).NotTo(BeEmpty())
		expectPending()
	})
	It("stops to be pending with the outcome of an order", func() {
		submit(2)
		expectRunning()
	})
	It("stops to be pending with a list of runs, if the outcome is lost", func() {
		s.resultsLost = true
		submit(2)
		expectPending()
		s.advance(tickInterval)
		expectRunning()
	})
	It("stops to be pending with an end, if nothing else showed the start", func() {
		s.resultsLost = true
		submit(1)
		for _, w := range s.workers {
			for r := range w.runs {
				s.endRun(w, r, work.Failed)
			}
		}
		s.ordersLost = true
		s.advance(tickInterval)
		expectRunning()
	})
	It("stops to be pending with a run of a placement that was given up", func() {
		s.resultsLost = true
		submit(1)
		runs := s.workers[0].runs
		s.workers[0].runs, s.ordersLost = nil, true
		s.replaceOwner()
		s.step(sched.Submit{Job: job})
		expectPending()
		s.workers[0].runs = runs
		s.sendReport(s.workers[0])
		expectRunning()
	})
	It("is shown as running only once that is stored", func() {
		s.resultsLost = true
		submit(1)
		s.setStoreDown(true)
		s.advance(time.Second)
		Expect(s.core.Pending()).To(BeEmpty())
		Expect(s.core.State("j")).To(Equal("queued"))
		s.setStoreDown(false)
		expectRunning()
	})
	It("is not pending for the next owner once it has started, although its worker is silent", func() {
		submit(1)
		expectRunning()
		s.workers, s.ordersLost = nil, true
		s.replaceOwner(job)
		expectRunning()
		s.advance(3 * time.Second)
		expectRunning()
	})
	It("has the same state for entries that read its rows", func() {
		submit(1)
		st, err := work.DecodeState(s.stateRows["j"])
		Expect(err).NotTo(HaveOccurred())
		Expect(sched.JobState(st, false)).To(Equal("running"))
		s = newTestCell(testQueues, 4)
		s.ordersLost = true
		submit(1)
		st, err = work.DecodeState(s.stateRows["j"])
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Tasks).To(HaveLen(1))
		Expect(sched.JobState(st, false)).To(Equal("queued"))
	})
	It("has started if an earlier version stored a task that has run", func() {
		for _, t := range []work.TaskState{{Run: 1, Done: true}, {Run: 1, Fails: 1}, {Run: 1, Saved: "checkpoint"}} {
			Expect(sched.JobState(work.State{Tasks: []work.TaskState{t}}, false)).To(Equal("running"))
		}
	})
})
