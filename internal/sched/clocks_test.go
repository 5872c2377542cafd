package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Day clocks of our own on a variant of the Ndiaye site with timed jobs (vary,
// seed 830853615132): an occurrence started 21 s before its time while the
// clocks of more than half of the machines had jumped.
var _ = Describe("an occurrence with a due time", func() {
	timed := func(s *site, in time.Duration) {
		s.step(sched.Submit{Job: work.Job{
			ID: "timed", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{short(1, false)},
			At: s.now.Milliseconds(), Times: 1, First: (s.unix() + in).Milliseconds(),
		}})
	}
	started := func(s *site) bool { return s.core.State("timed") == "running" }
	jump := func(s *site, n int, by time.Duration) {
		for _, w := range s.workers[:n] {
			s.day[w] = by
		}
	}

	It("starts at its time", func() {
		s := newSite(siteQueues, 16, 16, 16, 16)
		s.play(2 * time.Second)
		timed(s, 3*time.Second)
		s.play(2900 * time.Millisecond)
		Expect(started(s)).To(BeFalse())
		s.play(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		It("starts at its time while most clocks have jumped by "+by.String(), func() {
			s := newSite(siteQueues, 16, 16, 16, 16)
			s.play(2 * time.Second)
			timed(s, 8*time.Second)
			jump(s, 3, by)
			s.play(7900 * time.Millisecond)
			Expect(started(s)).To(BeFalse())
			s.play(300 * time.Millisecond)
			Expect(started(s)).To(BeTrue())
		})
	}
	It("starts at its time by a new owner that meets clocks which have jumped", func() {
		s := newSite(siteQueues, 16, 16, 16, 16)
		s.play(6 * time.Second)
		s.submit("other", "short", short(1, false))
		s.play(time.Second)
		Expect(s.learned).NotTo(BeEmpty())
		jump(s, 3, 20*time.Second)
		s.core = sched.New(sched.Limits{}, 2, s.now, 0, sched.StoredRows{Learned: s.learned}, s.config)
		timed(s, 5*time.Second)
		s.play(4900 * time.Millisecond)
		Expect(started(s)).To(BeFalse())
		s.play(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
	It("follows clocks that stay where they are", func() {
		s := newSite(siteQueues, 16, 16, 16, 16)
		s.play(2 * time.Second)
		jump(s, 4, 20*time.Second)
		s.play(70 * time.Second)
		timed(s, 20*time.Second)
		s.play(300 * time.Millisecond)
		Expect(started(s)).To(BeTrue())
	})
})
