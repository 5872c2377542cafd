package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
)

// A run that was released too early could be seen in the log only as an unknown one.
var _ = Describe("the log of a run that is at work after its release", func() {
	It("names the reason of the release", func() {
		s := newTestCell(testQueues, 16)
		s.submit("job", "serve", latencyStep(1, 4))
		s.advance(time.Second)
		last := s.newReport(s.workers[0])
		last.Gone = true
		s.step(sched.Report{Report: last})
		s.advance(200 * time.Millisecond)
		var reasons []string
		for _, d := range s.decisions {
			if d.Kind == "stray" {
				reasons = append(reasons, d.Reason)
				Expect(d.Took).To(BeNumerically("~", 200*time.Millisecond, 200*time.Millisecond))
			}
		}
		Expect(reasons).To(HaveExactElements("gone"))
	})
})
