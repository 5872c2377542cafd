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

// The queue of an accepted job may be missing in the configuration: it was removed, for a
// while or for good, or the owner has not seen the version that added it. The jobs then had
// the attempts, the priority and the advisor of a queue of which nothing is set.
var _ = Describe("a job whose queue is not in the configuration", func() {
	urgent := work.Queue{Name: "urgent", Service: "s", Attempts: 4, Stretch: 2, Target: 500}
	other := work.Queue{Name: "other", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Priority: 5}
	advised := work.Queue{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true, Decide: 20, Each: 1, Valid: 3000}
	version := uint64(1)
	configure := func(s *testCell, queues ...work.Queue) {
		version++
		s.config = &work.Config{Version: version, Queues: queues}
		s.step(sched.Configure{Config: s.config})
	}
	newJob := func(id string, q work.Queue, step work.Step) work.Job {
		return work.Job{ID: id, Queue: q.Name, Service: q.Service, Terms: q.Terms(), Spec: "x", Steps: []work.Step{step}}
	}
	submit := func(s *testCell, j work.Job) {
		s.version++
		j.At = s.now.Milliseconds()
		s.step(sched.Submit{Version: s.version, Job: j})
	}
	// failRun fails the next run of the cell's only task.
	failRun := func(s *testCell) {
		GinkgoHelper()
		w := s.workers[0]
		for range 40 {
			if s.advance(tickInterval); len(w.runs) > 0 {
				break
			}
		}
		Expect(w.runs).To(HaveLen(1))
		s.endRun(w, slices.Collect(maps.Keys(w.runs))[0], work.Failed)
		s.advance(2 * tickInterval)
	}
	// expectFailedAfter expects the job to fail with the n-th failure from now and not before.
	expectFailedAfter := func(s *testCell, n int) {
		GinkgoHelper()
		for range n - 1 {
			failRun(s)
			Expect(s.core.State("job")).To(Equal("running"))
		}
		failRun(s)
		Expect(s.core.State("job")).To(Equal("failed"))
	}

	It("has the attempts that it was accepted with", func() {
		for _, attempts := range []int{2, 4} {
			q := urgent
			q.Attempts = attempts
			s := newTestCell([]work.Queue{q, other}, 16)
			submit(s, newJob("job", q, shortStep(1, false)))
			configure(s, other)
			expectFailedAfter(s, attempts)
		}
	})
	It("has them at an owner that has never seen the queue", func() {
		s := newTestCell([]work.Queue{urgent, other}, 16)
		j := newJob("job", urgent, shortStep(1, false))
		submit(s, j)
		failRun(s)
		configure(s, other)
		s.replaceOwner(j)
		s.advance(time.Second)
		expectFailedAfter(s, urgent.Attempts-1)
	})
	It("has them if the queue comes back with others", func() {
		s := newTestCell([]work.Queue{urgent, other}, 16)
		submit(s, newJob("job", urgent, shortStep(1, false)))
		configure(s, other)
		changed := urgent
		changed.Attempts = 2
		configure(s, changed, other)
		expectFailedAfter(s, urgent.Attempts)
	})
	It("keeps its priority", func() {
		s := newTestCell([]work.Queue{urgent, other}, 4)
		submit(s, newJob("low", other, shortStep(1, false)))
		s.advance(tickInterval)
		configure(s, urgent)
		submit(s, newJob("high", urgent, shortStep(1, false)))
		s.advance(time.Second)
		Expect(s.countMoves("preempted")).To(Equal(1), "of a job whose queue was removed")
		Expect(s.tasksPerWorker("high")).To(Equal([]int{1}))

		s = newTestCell([]work.Queue{urgent, other}, 4)
		submit(s, newJob("low", other, shortStep(1, false)))
		s.advance(tickInterval)
		configure(s, other)
		submit(s, newJob("high", urgent, shortStep(1, false)))
		s.advance(time.Second)
		Expect(s.countMoves("preempted")).To(Equal(1), "for a job whose queue was removed")
	})
	It("is not started without the advisor", func() {
		s := newTestCell([]work.Queue{other}, 16)
		submit(s, newJob("job", advised, shortStep(1, false)))
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{0}))
		Expect(s.adviceRequests).To(HaveLen(1))
		s.step(sched.Advice{Question: s.adviceRequests[0].Question, Tickets: map[string]string{"w0": "t"}, Valid: 3 * time.Second})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1}))
	})
	It("goes by the configuration again once that has the queue", func() {
		s := newTestCell([]work.Queue{other}, 16)
		submit(s, newJob("job", advised, shortStep(1, false)))
		free := advised
		free.Advised = false
		configure(s, free, other)
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1}))
	})
})
