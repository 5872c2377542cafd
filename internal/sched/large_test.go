package sched_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// The progress of a job was one row. That of a large job outgrew what the store takes, the
// store refused the transaction with all progress of the other jobs in it, and nothing was
// started any more.
var _ = Describe("the progress of a large job", func() {
	const id = "00000000000000a1"
	// smallTask is a step of tasks that take little of a worker.
	smallTask := func(count int) work.Step {
		return work.Step{Count: count, Size: vect.Size{Cores: 5, Memory: 1}, Estimate: 100_000, Saves: true}
	}
	// starts counts the starts of each task.
	starts := func(s *testCell) map[string]int {
		out := map[string]int{}
		for _, d := range s.decisions {
			if d.Kind == "place" {
				out[d.Task]++
			}
		}
		return out
	}
	// endRuns ends up to n runs of each worker. The others make progress.
	endRuns := func(s *testCell, n int, checkpoint string) {
		for _, w := range s.workers {
			runs := make([]work.Run, 0, len(w.runs))
			for r, x := range w.runs {
				x.percent++
				runs = append(runs, r)
			}
			slices.SortFunc(runs, func(a, b work.Run) int { return strings.Compare(a.Task, b.Task) })
			for _, r := range runs[:min(n, len(runs))] {
				s.endRun(w, r, work.Done)
				w.ends[len(w.ends)-1].Saved = checkpoint
			}
		}
	}
	// play runs a job, with a new owner every now and then, and checks that each task was
	// started once.
	play := func(limits sched.Limits, checkpoint string, job work.Job) *testCell {
		s := newLimitedCell(limits, testQueues, 64, 64, 64, 64)
		job.Queue, job.Service, job.Spec = "short", "s", "x"
		s.step(sched.Submit{Job: job, Version: 1})
		s.advance(time.Second)
		tasks := 0
		for _, st := range job.Steps {
			tasks += st.Count
		}
		tasks *= job.Occurrences()
		for round := 0; s.core.State(id) != "completed" && round < 60; round++ {
			endRuns(s, 1+tasks/80, checkpoint)
			s.advance(200 * time.Millisecond)
			if round%5 == 4 {
				s.replaceOwner(job)
				s.advance(300 * time.Millisecond)
			}
		}
		Expect(s.core.State(id)).To(Equal("completed"))
		Expect(starts(s)).To(HaveLen(tasks))
		for task, n := range starts(s) {
			Expect(n).To(Equal(1), task)
		}
		return s
	}

	for _, count := range []int{100, 2000, 10_000} {
		It(fmt.Sprintf("is stored within the limits: %d tasks", count), func() {
			play(sched.Limits{}, "00000bb87a21d94b", work.Job{ID: id, Steps: []work.Step{smallTask(count)}})
		})
	}
	It("is stored within the limits: many steps", func() {
		j := work.Job{ID: id}
		for range 300 {
			j.Steps = append(j.Steps, smallTask(7))
		}
		play(sched.Limits{}, "", j)
	})
	It("is stored within the limits: many occurrences", func() {
		s := newTestCell(testQueues, 4)
		first := s.wallClock().Milliseconds()
		play(sched.Limits{}, "", work.Job{ID: id, Times: 100, First: first, Every: 5, Steps: []work.Step{smallTask(20), smallTask(3)}})
	})
	It("is stored within the limits: a slow link", func() {
		play(sched.Limits{SlowLink: true}, "", work.Job{ID: id, Steps: []work.Step{smallTask(3000)}})
	})
	It("is stored within the limits: a store that takes little in a row", func() {
		play(sched.Limits{RowBytes: 4096}, "00000bb87a21d94b", work.Job{ID: id, Steps: []work.Step{smallTask(1000)}})
	})
	It("is stored within the limits: long names of checkpoints", func() {
		play(sched.Limits{}, strings.Repeat("c", 2000), work.Job{ID: id, Steps: []work.Step{smallTask(1000)}})
		play(sched.Limits{}, strings.Repeat("c", 100_000), work.Job{ID: id, Steps: []work.Step{smallTask(200)}})
	})
	It("is deleted with the job", func() {
		s := play(sched.Limits{}, "", work.Job{ID: id, Steps: []work.Step{smallTask(1000)}})
		Expect(s.stateRows).To(HaveLen(1), "the pages of a job that is over are not needed")
		s.advance(160 * time.Second)
		Expect(s.stateRows).To(BeEmpty())
	})
	It("is deleted with a job that was cancelled", func() {
		s := newTestCell(testQueues, 64)
		s.submit(id, "short", smallTask(1000))
		s.advance(time.Second)
		s.step(sched.Cancel{ID: id})
		s.advance(time.Second)
		Expect(len(s.stateRows)).To(BeNumerically(">", 1))
		s.advance(160 * time.Second)
		Expect(s.stateRows).To(BeEmpty())
	})
	It("costs as much for each task as that of a small one", func() {
		perTask := func(count int) float64 {
			s := newTestCell(testQueues, 64)
			s.submit(id, "short", smallTask(count))
			s.advance(time.Second)
			Expect(s.workers[0].runs).To(HaveLen(count))
			before := s.storedBytes
			for range 20 {
				endRuns(s, 1, "")
				s.advance(tickInterval)
			}
			return float64(s.storedBytes-before) / 20
		}
		Expect(perTask(10_000)).To(BeNumerically("<", 2*perTask(128)))
	})
	It("does not hold up the other jobs", func() {
		s := newTestCell(testQueues, 64, 64)
		s.setStoreDown(true)
		s.submit(id, "short", smallTask(10_000))
		s.submit("00000000000000a2", "short", smallTask(1))
		s.advance(time.Second)
		// The first transaction began with what the large job needed first.
		for commits := 0; s.core.State("00000000000000a2") != "running"; commits++ {
			Expect(commits).To(BeNumerically("<", 4))
			waiting := s.waitingCommits
			s.waitingCommits = nil
			for _, f := range waiting {
				s.commit(f)
			}
			s.storeDown = true
		}
	})
	It("is read from the single row of earlier versions", func() {
		job := work.Job{ID: id, Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{smallTask(500)}}
		old := work.State{}
		for i := range 300 {
			old.Tasks = append(old.Tasks, work.TaskState{Index: i, Run: 1, Done: true})
		}
		data, err := work.Encode(old)
		Expect(err).NotTo(HaveOccurred())
		s := newTestCell(testQueues, 64)
		s.stateRows[id] = data
		s.replaceOwner(job)
		s.advance(time.Second)
		s.replaceOwner(job)
		s.advance(time.Second)
		Expect(starts(s)).To(HaveLen(200))
		endRuns(s, 500, "")
		s.advance(time.Second)
		Expect(s.core.State(id)).To(Equal("completed"))
	})
})
