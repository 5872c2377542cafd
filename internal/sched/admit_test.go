package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

var _ = Describe("admission of a long-running job", func() {
	// expectAdmission asks for the admission of a long-running job with one task of
	// coreCount cores and checks the decision. A rejected caller has to wait at least
	// 2 s.
	expectAdmission := func(s *testCell, coreCount int64, admitted bool) {
		GinkgoHelper()
		a := s.core.Admit(s.now, work.Job{ID: "next", Queue: "serve", Service: "s", Steps: []work.Step{latencyStep(1, coreCount)}})
		Expect(a.Refused).To(Equal(!admitted))
		if !admitted {
			Expect(a.After).To(BeNumerically(">=", 2000), "retry delay in milliseconds")
		}
	}

	It("admits every job while the workers have not yet reported to a new owner", func() {
		expectAdmission(newTestCell(testQueues, 16), 100, true)
	})
	It("keeps a third of a service's capacity for other jobs", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("first", "serve", latencyStep(4, 5))
		s.submit("plan", "fill", bestEffortStep(4))
		s.advance(3 * time.Second)
		expectAdmission(s, 1, true)
		expectAdmission(s, 2, false)
	})
	It("admits jobs again after another long-running job was cancelled", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("first", "serve", latencyStep(4, 5))
		s.submit("plan", "fill", bestEffortStep(4))
		s.advance(3 * time.Second)
		expectAdmission(s, 10, false)
		s.step(sched.Cancel{ID: "first"})
		s.advance(time.Second)
		expectAdmission(s, 10, true)
	})
	It("counts admitted jobs that are not stored yet", func() {
		s := newTestCell(testQueues, 16, 16)
		s.advance(3 * time.Second)
		expectAdmission(s, 20, true)
		a := s.core.Admit(s.now, work.Job{ID: "other", Queue: "serve", Service: "s", Steps: []work.Step{latencyStep(1, 20)}})
		Expect(a.Refused).To(BeTrue())
	})
	It("counts jobs that wait for free capacity", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("wide", "serve", latencyStep(4, 12))
		s.advance(3 * time.Second)
		expectAdmission(s, 1, false)
	})
	It("admits a job that is already stored", func() {
		s := newTestCell(testQueues, 16)
		s.submit("next", "serve", latencyStep(1, 15))
		s.advance(3 * time.Second)
		expectAdmission(s, 15, true)
	})
	It("does not apply to other jobs", func() {
		s := newTestCell(testQueues, 16)
		s.submit("first", "serve", latencyStep(1, 15))
		s.advance(3 * time.Second)
		Expect(s.core.Admit(s.now, work.Job{ID: "x", Queue: "fill", Service: "s", Steps: []work.Step{bestEffortStep(8)}}).Refused).To(BeFalse())
	})
})

var _ = Describe("admission of a long-running job with overload control", func() {
	limits := sched.Limits{Overload: true}
	expectAdmission := func(s *testCell, coreCount int64, admitted bool) {
		GinkgoHelper()
		a := s.core.Admit(s.now, work.Job{ID: "next", Queue: "serve", Service: "s", Steps: []work.Step{latencyStep(1, coreCount)}})
		Expect(a.Refused).To(Equal(!admitted))
	}
	// One waiting job that declares as many cores as the cell has took the reserve to its
	// bound for minutes, however little work it brings.
	It("reserves what arriving jobs need, not what they ask for at once", func() {
		s := newLimitedCell(limits, testQueues, 100)
		s.advance(5 * time.Minute)
		short := bestEffortStep(12)
		short.Estimate = 100
		s.submit("plan", "fill", short)
		s.advance(time.Second)
		expectAdmission(s, 90, true)
	})
	It("reserves up to 0.45 for jobs that keep arriving", func() {
		s := newLimitedCell(limits, testQueues, 100)
		for i := range 40 {
			s.submit(fmt.Sprint("plan", i), "fill", bestEffortStep(12))
			s.advance(time.Second)
		}
		expectAdmission(s, 56, false)
		expectAdmission(s, 54, true)
	})
	// A new owner knew no demand but that of the tasks that run and wait.
	It("knows the demand after a takeover", func() {
		s := newLimitedCell(limits, testQueues, 100)
		s.advance(time.Minute)
		var jobs []work.Job
		for i := range 20 {
			jobs = append(jobs, work.Job{ID: fmt.Sprint("plan", i), Queue: "fill", Service: "s", Steps: []work.Step{bestEffortStep(12)}, At: s.now.Milliseconds() - int64(500*i)})
		}
		s.replaceOwner(jobs...)
		s.advance(70 * time.Second)
		expectAdmission(s, 60, false)
	})
})

var _ = Describe("admission of other jobs with overload control", func() {
	urgent := work.Queue{Name: "urgent", Service: "s", Attempts: 3, Stretch: 2, Target: 250, Priority: -1}
	queues := append([]work.Queue{urgent}, testQueues...)
	step := work.Step{Count: 8, Size: vect.Size{Cores: cores, Memory: 10}, Estimate: 1000}
	next := work.Job{ID: "next", Queue: "short", Service: "s", Steps: []work.Step{step}}
	// backlogged returns a cell of 4 cores that has learned that the tasks of a queue take a
	// second and has the given number of its jobs waiting, each of which takes two.
	backlogged := func(limits sched.Limits, queue string, waiting int) (*testCell, []work.Job) {
		s := newLimitedCell(limits, queues, 4)
		s.advance(3 * time.Second)
		s.submit("first", queue, step)
		for s.core.State("first") != "completed" {
			s.advance(time.Second)
			for r := range s.workers[0].runs {
				s.endRun(s.workers[0], r, work.Done)
			}
		}
		var jobs []work.Job
		for i := range waiting {
			id := fmt.Sprint("waiting", i)
			s.submit(id, queue, step)
			jobs = append(jobs, work.Job{ID: id, Queue: queue, Service: "s", Spec: "x", Steps: []work.Step{step}, At: s.now.Milliseconds()})
		}
		s.advance(tickInterval)
		return s, jobs
	}
	on := sched.Limits{Overload: true}

	It("accepts a job that can end in useful time", func() {
		s, _ := backlogged(on, "short", 2)
		a := s.core.Admit(s.now, next)
		Expect(a.Refused).To(BeFalse())
		Expect(a.Overload.Decided).To(BeTrue())
	})
	// Callers waited minutes for jobs that were worthless when they ended.
	It("rejects a job at once that can't, and says how it decided", func() {
		s, _ := backlogged(on, "short", 20)
		a := s.core.Admit(s.now, next)
		Expect(a.Refused).To(BeTrue())
		Expect(a.After).To(BeNumerically("~", 37_000, 6000), "milliseconds until the backlog is done")
		Expect(a.Work).To(BeNumerically("~", 8*cores, 4*cores))
		Expect(a.Overload.Wait).To(BeNumerically(">", a.Overload.Spare))
		Expect(a.Overload.Ahead).To(BeNumerically("~", 160*cores, 60*cores))
		Expect(a.Overload.Rate).To(BeNumerically("==", 4*cores))
	})
	It("accepts every job without the setting", func() {
		s, _ := backlogged(sched.Limits{}, "short", 20)
		Expect(s.core.Admit(s.now, next)).To(Equal(work.Admission{}))
	})
	// A declared run time may be wrong by a factor of two in either direction.
	It("accepts jobs of a queue whose run times are not known", func() {
		s, _ := backlogged(on, "urgent", 20)
		Expect(s.core.Admit(s.now, next).Refused).To(BeFalse())
	})
	It("doesn't let a job wait for less urgent ones", func() {
		s, _ := backlogged(on, "short", 20)
		x := next
		x.Queue = "urgent"
		Expect(s.core.Admit(s.now, x).Refused).To(BeFalse())
	})
	It("accepts a job that is stored", func() {
		s, jobs := backlogged(on, "short", 20)
		Expect(s.core.Admit(s.now, jobs[19]).Refused).To(BeFalse())
	})
	// A job that came again was taken for a new one, and got three times its objective once more.
	It("counts the time of a job from its first submission", func() {
		s, _ := backlogged(on, "short", 20)
		a := s.core.Admit(s.now, next)
		Expect(a.Submitted).To(Equal(s.now.Milliseconds()))
		s.step(sched.RejectedJob{ID: next.ID, Version: 99, At: s.now.Milliseconds(), Submitted: a.Submitted})
		s.advance(5 * time.Second)
		again := s.core.Admit(s.now, next)
		Expect(again.Submitted).To(Equal(a.Submitted))
		Expect(again.Overload.Spare).To(BeNumerically("<", a.Overload.Spare))
	})

	// takeOver starts a new owner that finds the given jobs and rejections.
	takeOver := func(s *testCell, jobs []work.Job, rejected ...sched.RejectedJob) {
		s.core = sched.New(s.limits, 2, s.now, 0, sched.StoredRows{Jobs: jobs, ConfirmedAt: s.now, Learned: s.learnedRows, Rejected: rejected}, s.config)
		s.term++
		s.advance(3 * time.Second)
	}
	// A new owner gave the same time again to the next callers, who all came at once.
	It("keeps what an earlier owner promised to rejected callers", func() {
		s, jobs := backlogged(on, "short", 20)
		s.advance(5 * time.Second)
		takeOver(s, jobs)
		without := s.core.Admit(s.now, next)
		Expect(without.Refused).To(BeTrue())
		s, jobs = backlogged(on, "short", 20)
		s.advance(5 * time.Second)
		takeOver(s, jobs, sched.RejectedJob{
			ID: "other", Version: 9, At: s.now.Milliseconds(), Service: "s", Queue: "short",
			RetryAt: s.now.Milliseconds() + 30_000, Work: 40 * cores,
		})
		with := s.core.Admit(s.now, next)
		Expect(with.After).To(BeNumerically("~", without.After+10_000, 100))
	})
	It("keeps what an earlier owner promised to callers with long-running jobs", func() {
		long := work.Job{ID: "long", Queue: "serve", Service: "s", Steps: []work.Step{latencyStep(1, 1)}}
		running := work.Job{ID: "running", Queue: "serve", Service: "s", Spec: "x", Steps: []work.Step{latencyStep(1, 2)}}
		s := newLimitedCell(on, queues, 4)
		takeOver(s, []work.Job{running})
		without := s.core.Admit(s.now, long)
		Expect(without.Refused).To(BeTrue())
		Expect(without.Cores).To(BeNumerically("==", cores))
		takeOver(s, []work.Job{running}, sched.RejectedJob{
			ID: "other", Version: 9, At: s.now.Milliseconds(), Service: "s", Queue: "serve", RetryAt: s.now.Milliseconds() + 60_000, Cores: cores / 2,
		})
		Expect(s.core.Admit(s.now, long).After).To(BeNumerically(">", without.After))
	})
})

var _ = Describe("the row of a rejected job", func() {
	It("is deleted after the retention time, if its version is unchanged", func() {
		s := newTestCell(testQueues, 16)
		s.version = 7
		s.step(sched.RejectedJob{ID: "00a1", Version: s.version, At: s.now.Milliseconds()})
		s.advance(100 * time.Second)
		Expect(s.deletions).To(BeEmpty())
		s.advance(60 * time.Second)
		Expect(s.deletions).To(HaveLen(1))
		Expect(s.deletions[0].Checks).To(HaveLen(1))
		Expect(s.deletions[0].Checks[0].Version).To(Equal(uint64(7)))
	})
	It("is kept if the job was submitted again", func() {
		s := newTestCell(testQueues, 16)
		s.step(sched.RejectedJob{ID: "00a1", Version: 7, At: s.now.Milliseconds()})
		s.submit("00a1", "serve", latencyStep(1, 1))
		s.advance(160 * time.Second)
		Expect(s.deletions).To(BeEmpty())
	})
})
