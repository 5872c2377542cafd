package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("a lasting job that is handed in", func() {
	admits := func(s *site, n int64, want bool) {
		GinkgoHelper()
		a := s.core.Admit(s.now, work.Job{ID: "next", Queue: "serve", Service: "s", Steps: []work.Step{latencyTask(1, n)}})
		Expect(a.Refused).To(Equal(!want))
		if !want {
			Expect(a.After).To(BeNumerically(">=", 2000), "milliseconds")
		}
	}

	It("is taken by a new owner that hardly knows the workers", func() {
		admits(newSite(siteQueues, 16), 100, true)
	})
	It("leaves a third of a service to other work", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("first", "serve", latencyTask(4, 5))
		s.submit("plan", "fill", filling(4))
		s.play(3 * time.Second)
		admits(s, 1, true)
		admits(s, 2, false)
	})
	It("is taken again once others have left", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("first", "serve", latencyTask(4, 5))
		s.submit("plan", "fill", filling(4))
		s.play(3 * time.Second)
		admits(s, 10, false)
		s.step(sched.Cancel{ID: "first"})
		s.play(time.Second)
		admits(s, 10, true)
	})
	It("counts jobs that were let in a moment ago", func() {
		s := newSite(siteQueues, 16, 16)
		s.play(3 * time.Second)
		admits(s, 20, true)
		a := s.core.Admit(s.now, work.Job{ID: "other", Queue: "serve", Service: "s", Steps: []work.Step{latencyTask(1, 20)}})
		Expect(a.Refused).To(BeTrue())
	})
	It("counts jobs that wait for room", func() {
		s := newSite(siteQueues, 16, 16)
		s.submit("wide", "serve", latencyTask(4, 12))
		s.play(3 * time.Second)
		admits(s, 1, false)
	})
	It("is known already and answered as before", func() {
		s := newSite(siteQueues, 16)
		s.submit("next", "serve", latencyTask(1, 15))
		s.play(3 * time.Second)
		admits(s, 15, true)
	})
	It("is no other kind of job", func() {
		s := newSite(siteQueues, 16)
		s.submit("first", "serve", latencyTask(1, 15))
		s.play(3 * time.Second)
		Expect(s.core.Admit(s.now, work.Job{ID: "x", Queue: "fill", Service: "s", Steps: []work.Step{filling(8)}}).Refused).To(BeFalse())
	})
})

var _ = Describe("the row of a job that was sent away", func() {
	It("is removed after a while, if it is still the same", func() {
		s := newSite(siteQueues, 16)
		s.step(sched.Refuse{ID: "00a1", Version: 7, At: s.now.Milliseconds()})
		s.play(100 * time.Second)
		Expect(s.forgets).To(BeEmpty())
		s.play(60 * time.Second)
		Expect(s.forgets).To(HaveLen(1))
		Expect(s.forgets[0].Checks).To(HaveLen(1))
		Expect(s.forgets[0].Checks[0].Version).To(Equal(uint64(7)))
	})
	It("stays if the job was handed in again", func() {
		s := newSite(siteQueues, 16)
		s.step(sched.Refuse{ID: "00a1", Version: 7, At: s.now.Milliseconds()})
		s.submit("00a1", "serve", latencyTask(1, 1))
		s.play(160 * time.Second)
		Expect(s.forgets).To(BeEmpty())
	})
})
