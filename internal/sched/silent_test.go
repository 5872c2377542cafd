package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// A worker whose reports are late still runs its tasks as long as its lease may hold.
// Starting them elsewhere would run them twice, and giving them up would lose their work.
var _ = Describe("The runs of workers that do not report for a while", func() {
	// silence advances the time while only the other workers report.
	silence := func(s *testCell, d time.Duration, silent []*testWorker) {
		for until := s.now + d; s.now < until; {
			s.now += tickInterval
			for _, w := range s.workers {
				quiet := false
				for _, x := range silent {
					quiet = quiet || x == w
				}
				if !quiet {
					s.sendReport(w)
				}
			}
			s.step(sched.Tick{})
		}
	}
	// started returns the runs of all workers.
	started := func(s *testCell) map[work.Run]int {
		out := map[work.Run]int{}
		for _, w := range s.workers {
			for r := range w.runs {
				out[r]++
			}
		}
		return out
	}
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 13 * time.Second} {
		for name, count := range map[string]int{"one": 1, "a zone": 2} {
			It(fmt.Sprintf("continue after %v without reports of %s", d, name), func() {
				s := newTestCell(testQueues, 8, 8, 8, 8)
				s.submit("00000000000000a1", "serve", latencyStep(16, 1))
				s.advance(time.Second)
				before := started(s)
				Expect(before).To(HaveLen(16))
				silence(s, d, s.workers[:count])
				s.advance(time.Second)
				Expect(started(s)).To(Equal(before), "no run was stopped or started a second time")
			})
		}
	}
	It("start elsewhere once the lease can't hold any more", func() {
		s := newTestCell(testQueues, 8, 8)
		s.submit("00000000000000a1", "serve", latencyStep(2, 1))
		s.advance(time.Second)
		lost := s.workers[0]
		if len(lost.runs) == 0 {
			lost = s.workers[1]
		}
		n := len(lost.runs)
		silence(s, 15*time.Second, []*testWorker{lost})
		lost.runs = map[work.Run]*testRun{}
		Expect(started(s)).To(HaveLen(2), "%d runs were lost", n)
	})
})

// An agent takes the end of its worker back when the worker sends a heartbeat after all.
var _ = Describe("A worker whose end was reported", func() {
	It("gets new runs again after a report that it is there", func() {
		s := newTestCell(testQueues, 16)
		ended := s.newReport(s.workers[0])
		ended.Gone = true
		s.now += tickInterval
		ended.Word.Sent = s.now
		s.step(sched.Report{Token: 1, Report: ended})
		s.advance(time.Second)
		Expect(s.core.Census().Ready).To(Equal(1))
	})
})
