package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Reports that a network partition had delayed arrived seconds late and after newer
// ones. One of them did not list a run that was being stopped, so the owner
// concluded that the run had ended and started its task elsewhere 0.1 s before the
// run did end: the task ran twice (seed 965168862891 of a simulated day).
var _ = Describe("a delayed report", func() {
	// newCellWithStop returns a cell in which a run on the first worker is being
	// stopped, and a report of that worker from before the run started.
	newCellWithStop := func() (*testCell, work.Report) {
		s := newTestCell(testQueues, 16, 16)
		s.stopDuration = 900 * time.Millisecond
		s.advance(time.Second)
		stale := s.newReport(s.workers[0])
		s.advance(time.Second)
		s.submit("job", "short", shortStep(1, false))
		s.advance(2 * tickInterval)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
		for s.countMoves("stalled") == 0 {
			s.advance(tickInterval)
		}
		s.advance(2 * tickInterval)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}), "the run is still being stopped")
		return s, stale
	}
	It("releases no run if a newer report arrived before it", func() {
		s, stale := newCellWithStop()
		s.step(sched.Report{Report: stale})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
		s.advance(time.Second)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{0, 1}), "the task moves once the end of the run is reported")
	})
	It("releases no run if it arrives 2 s after it was sent and does not list the run", func() {
		s, _ := newCellWithStop()
		delayed := s.newReport(s.workers[0])
		delayed.Running = nil
		delayed.Word.Sent = s.now - 2*time.Second
		s.step(sched.Report{Report: delayed})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
	It("does not shorten a lease that was renewed after it was sent", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("serve", "serve", latencyStep(1, 4))
		s.advance(time.Second)
		stale := s.newReport(s.workers[0])
		stale.Cut, stale.Left, stale.Listed = true, 100, false
		s.advance(3 * time.Second)
		s.step(sched.Report{Report: stale})
		s.advance(time.Second)
		Expect(s.tasksPerWorker("serve")).To(Equal([]int{1, 0}))
		for _, n := range s.decisions {
			Expect(n.Kind).NotTo(Equal("cut"))
		}
	})
	It("releases no run if it is from an earlier process of the agent", func() {
		s, stale := newCellWithStop()
		for i := range s.workers {
			s.workers[i].process = 2
		}
		s.advance(tickInterval)
		s.step(sched.Report{Report: stale})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
	})
	// The owner received a report of the agent's current process, then a delayed one
	// of the process before, and dropped all later reports of the current process
	// (TestChaos, seed 10740).
	It("of an earlier process does not invalidate reports of the current one", func() {
		s := newTestCell(testQueues, 16)
		w := s.workers[0]
		w.process = 1
		stale := s.newReport(w)
		w.process = 2
		s.advance(tickInterval)
		s.step(sched.Report{Report: stale})
		s.advance(2 * time.Second)
		Expect(s.core.Census().Ready).To(Equal(1))
		s.submit("job", "short", shortStep(1, false))
		s.advance(500 * time.Millisecond)
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1}))
	})
	// The first report of an agent's process has no earlier one to compare its transit time
	// with. Its list is from before a start that the process before had sent was carried out.
	It("releases no run if it is the first of the agent's process", func() {
		s := newTestCell(testQueues, 16, 16)
		s.stopDuration = 900 * time.Millisecond
		s.advance(time.Second)
		w := s.workers[0]
		s.resultsLost = true
		s.submit("job", "short", shortStep(1, false))
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
		carriedOutLate := w.runs
		w.runs = map[work.Run]*testRun{}
		w.process = 1
		s.challenge = 0
		s.step(sched.Report{Token: 1, Report: s.newReport(w)})
		Expect(s.challenge).NotTo(BeZero())
		w.echo = s.challenge
		delayed := s.newReport(w)
		w.runs = carriedOutLate
		for until := s.now + 1300*time.Millisecond; s.now < until; {
			s.now += tickInterval
			s.sendReport(s.workers[1])
			s.step(sched.Tick{})
		}
		// The order that was repeated meanwhile answers no report of the new process.
		s.resultsLost = false
		for r := range w.runs {
			s.step(sched.Results{Results: work.Results{Life: w.Life, Starts: []work.Result{{Run: r, Code: work.Late}}}})
		}
		s.now += tickInterval
		s.step(sched.Report{Token: 1, Report: delayed})
		s.step(sched.Tick{})
		Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}), "the run is still being stopped")
	})
	It("with a repeated old list of runs does not count as a stall", func() {
		s := newTestCell(testQueues, 16, 16)
		s.submit("job", "short", shortStep(1, false))
		s.advance(3 * tickInterval)
		report := s.newReport(s.workers[0])
		for age := int64(100); age < 2500; age += 100 {
			s.now += tickInterval
			report.Age, report.Word.Sent = age, s.now
			s.step(sched.Report{Report: report})
			s.sendReport(s.workers[1])
			s.step(sched.Tick{})
		}
		Expect(s.countMoves("stalled")).To(BeZero())
	})
})

// The owner took the first report of an agent's process to have come without delay, so the
// lists of a process whose reports are slow counted as newer than the starts that they were
// made before. A run was stopped and, while it was being stopped, started elsewhere.
var _ = Describe("reports that are slow from the first of an agent's process on", func() {
	It("release no run that was started after they were sent", func() {
		const slow, listInterval = 800 * time.Millisecond, 250 * time.Millisecond
		s := newTestCell(testQueues, 16, 16)
		s.stopDuration = 900 * time.Millisecond
		w := s.workers[0]
		s.advance(time.Second)
		w.process++
		s.step(sched.Report{Token: 1, Report: s.newReport(w)})
		w.echo = s.challenge
		pending := map[time.Duration]work.Report{}
		for begun := s.now; s.now < begun+4*time.Second; {
			s.now += tickInterval / 2
			if s.now-begun == time.Second {
				s.submit("job", "short", shortStep(1, false))
				Expect(s.tasksPerWorker("job")).To(Equal([]int{1, 0}))
			}
			if (s.now-begun)%listInterval == 3*tickInterval/2 {
				pending[s.now+slow] = s.newReport(w)
			}
			if report, ok := pending[s.now]; ok {
				s.step(sched.Report{Token: 1, Report: report})
			}
			for r, x := range w.runs {
				if x.stopEnds > 0 && s.now >= x.stopEnds {
					s.endRun(w, r, work.Stopped)
				}
			}
			s.sendReport(s.workers[1])
			s.step(sched.Tick{})
			n := s.tasksPerWorker("job")
			Expect(n[0]+n[1]).To(BeNumerically("<=", 1), "%v after the start", s.now-begun-time.Second)
		}
	})
})
