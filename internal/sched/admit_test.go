package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
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
