package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

var _ = Describe("the census", func() {
	It("counts workers, capacity, tasks and jobs", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("web", "serve", latencyStep(3, 8))
		s.submit("wide", "short", work.Step{Count: 4, Size: latencyStep(1, 8).Size, Estimate: 500})
		s.advance(time.Second)
		Expect(s.core.Census()).To(Equal(sched.Census{
			Ready: 2, Size: 32 * cores, Reserved: 32 * cores, Placed: 4, Waiting: 3, Jobs: 2,
		}))
	})
	It("counts draining workers, unresponsive workers and unresponsive agents separately", func() {
		s := newTestCell(testQueues, 16, 16, 16, 16)
		s.workers[0].Leaving = true
		s.advance(tickInterval)
		report := s.newReport(s.workers[1])
		report.Cut, report.Left = true, 1000
		s.step(sched.Report{Report: report})
		census := s.core.Census()
		Expect([]int{census.Ready, census.Draining, census.WorkersUnresponsive, census.Suspect, census.AgentsUnresponsive}).To(Equal([]int{2, 1, 1, 0, 0}))
		s.now += 2 * time.Second
		s.sendReport(s.workers[2])
		census = s.core.Census()
		Expect([]int{census.Ready, census.Draining, census.WorkersUnresponsive, census.Suspect, census.AgentsUnresponsive}).To(Equal([]int{1, 1, 1, 0, 1}))
	})
})
