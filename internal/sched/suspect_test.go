package sched_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("a worker on which runs fail", func() {
	const (
		attempts = 2
		// patience is how long a task may wait while workers have the capacity for it.
		patience = 3 * time.Second
	)
	queues := append([]work.Queue{{Name: "plans", Service: "s", Attempts: attempts, Stretch: 2, Target: 500}}, testQueues...)
	// failRuns fails the runs of a job on a worker, and those of the whole job if the worker
	// is nil. It returns how many there were.
	failRuns := func(s *testCell, job string, only *testWorker) int {
		n := 0
		for _, w := range s.workers {
			for r := range w.runs {
				if strings.HasPrefix(r.Task, job+".") && (only == nil || only == w) {
					s.endRun(w, r, work.Failed)
					n++
				}
			}
		}
		return n
	}
	failUntilFailed := func(s *testCell, job string) {
		GinkgoHelper()
		for range 40 {
			failRuns(s, job, nil)
			s.advance(tickInterval)
		}
		Expect(s.core.State(job)).To(Equal("failed"))
	}
	suspects := func(s *testCell) int { return s.core.Census().Suspect }
	running := func(s *testCell, job string) int {
		n := 0
		for _, x := range s.tasksPerWorker(job) {
			n += x
		}
		return n
	}
	// expectStart expects a run of a job within a time, between whose ticks it calls meanwhile.
	expectStart := func(s *testCell, job string, within time.Duration, meanwhile func()) {
		GinkgoHelper()
		for range int(within / tickInterval) {
			s.advance(tickInterval)
			if running(s, job) > 0 {
				break
			}
			meanwhile()
		}
		Expect(running(s, job)).To(Equal(1))
	}
	// expectNextAttempt fails the first run of a job's only task and expects the second one.
	expectNextAttempt := func(s *testCell, job string) {
		GinkgoHelper()
		Expect(failRuns(s, job, nil)).To(Equal(1), "the first run")
		s.advance(patience)
		Expect(running(s, job)).To(Equal(1), "the second run")
	}

	// After a job that failed wherever it ran, all workers counted as suspect until a
	// success, and a task with one attempt left was never given to any of them.
	It("isn't suspect if the job fails on other workers as well", func() {
		s := newTestCell(queues, 8, 8, 8)
		s.submit("poison", "plans", shortStep(4, false))
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("poison")).To(Equal([]int{2, 2, 0}))
		failUntilFailed(s, "poison")
		Expect(suspects(s)).To(BeZero())
		s.submit("sound", "plans", shortStep(1, false))
		s.advance(tickInterval)
		expectNextAttempt(s, "sound")
	})
	// With one attempt allowed, two such jobs made all workers suspect, and no task of the
	// queue was started any more.
	It("takes a last attempt if all workers are suspect", func() {
		single := []work.Queue{{Name: "plans", Service: "s", Attempts: 1, Stretch: 2, Target: 500}}
		s := newTestCell(single, 4)
		for _, job := range []string{"poison0", "poison1"} {
			s.submit(job, "plans", shortStep(1, false))
			s.advance(tickInterval)
			failRuns(s, job, nil)
			s.advance(tickInterval)
		}
		Expect(suspects(s)).To(Equal(1))
		s.submit("sound", "plans", shortStep(1, false))
		expectStart(s, "sound", patience, func() {})
	})
	It("is suspect if the job succeeds elsewhere, until a run succeeds on it", func() {
		s := newTestCell(queues, 8, 8, 8)
		s.advance(time.Second)
		s.submit("job", "short", shortStep(8, false))
		s.advance(tickInterval)
		for r := range s.workers[1].runs {
			s.endRun(s.workers[1], r, work.Done)
		}
		s.advance(tickInterval)
		Expect(failRuns(s, "job", s.workers[0])).To(Equal(2))
		s.advance(2 * tickInterval)
		Expect(suspects(s)).To(Equal(1))
		Expect(s.workers[0].runs).To(HaveLen(1), "a test run")
		for r := range s.workers[0].runs {
			s.endRun(s.workers[0], r, work.Done)
		}
		s.advance(tickInterval)
		Expect(suspects(s)).To(BeZero())
	})
	It("isn't suspect for ever if it gets nothing to run", func() {
		s := newTestCell(queues, 8, 8)
		s.submit("job", "short", shortStep(2, false))
		s.advance(tickInterval)
		Expect(failRuns(s, "job", nil)).To(Equal(2))
		s.advance(tickInterval)
		Expect(suspects(s)).To(Equal(1))
		s.step(sched.Cancel{ID: "job"})
		s.advance(11 * time.Second)
		Expect(suspects(s)).To(BeZero())
	})
	// Each suspect worker got one test run a second, and those of one failing job could keep
	// all other jobs waiting.
	It("isn't left to the test runs of one job", func() {
		patient := []work.Queue{
			{Name: "urgent", Service: "s", Attempts: 10, Stretch: 2, Target: 500},
			{Name: "low", Service: "s", Attempts: 10, Stretch: 2, Target: 500, Priority: 5},
		}
		s := newTestCell(patient, 16)
		s.advance(time.Second)
		s.submit("poison", "urgent", shortStep(20, false))
		s.advance(tickInterval)
		failRuns(s, "poison", nil)
		s.advance(tickInterval)
		Expect(suspects(s)).To(Equal(1))
		s.submit("sound", "low", shortStep(1, false))
		expectStart(s, "sound", patience, func() { failRuns(s, "poison", nil) })
	})
	// A task that its worker had stalled was kept off the only worker with its label for 3 s
	// more, whatever else was there.
	It("gets a stalled task back if no other worker can take it", func() {
		s := newTestCell(queues, 8, 8)
		s.workers[0].Labels = []string{"only", "r0"}
		step := shortStep(1, false)
		step.Needs = "only"
		s.submit("job", "short", step)
		s.advance(1800 * time.Millisecond)
		Expect(s.countMoves("stalled")).To(Equal(1))
		expectStart(s, "job", patience-500*time.Millisecond, func() {})
	})
})
