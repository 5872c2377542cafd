package sched_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// instantCell simulates a cell whose workers start and successfully end every ordered
// run at once.
type instantCell struct {
	core *sched.Core
	now  time.Duration
	// lastEnds is the number of the newest end on each worker, by agent.
	lastEnds     map[string]int64
	storedBytes  int
	startedTasks int
	// workers holds the worker of each agent.
	workers map[string]work.Worker
}

// newInstantCell returns a cell with the given number of workers of 64 cores.
func newInstantCell(workers int) *instantCell {
	s := &instantCell{lastEnds: map[string]int64{}, workers: map[string]work.Worker{}}
	cfg := &work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Target: 500}}}
	s.core = sched.New(sched.Limits{}, 1, 0, 0, sched.StoredRows{}, cfg)
	for i := range workers {
		a := fmt.Sprintf("agent-%02d", i)
		s.workers[a] = work.Worker{Life: work.Life{ID: fmt.Sprintf("w-%02d", i), Born: 1}, Service: "s", Size: vect.Size{Cores: 64000, Memory: 256000}, Labels: []string{"a", "r1"}}
		s.step(sched.Report{Report: work.Report{Agent: a, Worker: s.workers[a], Listed: true}})
	}
	return s
}

// step passes an event to the owner, carries out the effects and passes on the events
// that follow from them.
func (s *instantCell) step(e sched.Event) {
	s.now += time.Millisecond
	var followUps []sched.Event
	for _, f := range s.core.Step(s.now, e) {
		switch f := f.(type) {
		case sched.Commit:
			if err := checkLimits(f, maxRowBytes); err != nil {
				panic(err)
			}
			for _, w := range f.Writes {
				s.storedBytes += len(w.Value)
			}
			followUps = append(followUps, sched.Committed{Seq: f.Seq})
		case sched.Send:
			if len(f.Order.Starts) > 0 {
				followUps = append(followUps, s.applyStarts(f)...)
			}
		}
	}
	for _, n := range followUps {
		s.step(n)
	}
}

// applyStarts returns the events of an order whose runs all start and end
// successfully.
func (s *instantCell) applyStarts(f sched.Send) []sched.Event {
	results := work.Results{Life: f.Order.Life, Term: 1}
	report := work.Report{Agent: f.Agent, Worker: s.workers[f.Agent], Listed: true}
	for _, x := range f.Order.Starts {
		results.Starts = append(results.Starts, work.Result{Run: x.Run, Code: work.Started})
		s.lastEnds[f.Agent]++
		s.startedTasks++
		report.Ends = append(report.Ends, work.End{N: s.lastEnds[f.Agent], Run: x.Run, How: work.Done})
	}
	return []sched.Event{sched.Results{Results: results}, sched.Report{Report: report}}
}

// submitJob submits job i: two steps of 6 tasks, the second after the first.
func (s *instantCell) submitJob(i int) {
	s.step(sched.Submit{Job: work.Job{
		ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "s", Spec: "spec",
		Steps: []work.Step{
			{Count: 6, Size: vect.Size{Cores: 960, Memory: 1900}, Estimate: 850},
			{Count: 6, Size: vect.Size{Cores: 960, Memory: 1900}, Estimate: 850, After: []int{0}},
		},
	}})
}

// The bounds follow from the figures on the capacity page of the docs: at 5,900 task
// starts a second, in cells of a few hundred each, an owner may allocate about 10 KB
// and store 1 KB for each task.
const (
	maxAllocsPerTask = 120
	maxBytesPerTask  = 1024
)

// TestTaskCost bounds the allocations and the stored bytes for each task.
func TestTaskCost(t *testing.T) {
	g := NewWithT(t)
	s := newInstantCell(11)
	s.submitJob(0)
	s.storedBytes, s.startedTasks = 0, 0
	i := 0
	allocs := testing.AllocsPerRun(100, func() {
		i++
		s.submitJob(i)
	})
	g.Expect(s.core.State(fmt.Sprintf("%016x", i))).To(Equal("completed"))
	g.Expect(s.startedTasks).To(Equal(12 * i))
	g.Expect(allocs/12).To(BeNumerically("<", maxAllocsPerTask), "allocations per task")
	g.Expect(s.storedBytes/s.startedTasks).To(BeNumerically("<", maxBytesPerTask), "stored bytes per task")
}

func BenchmarkTask(b *testing.B) {
	s := newInstantCell(11)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.submitJob(i)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(s.startedTasks), "µs/task")
	b.ReportMetric(float64(s.storedBytes)/float64(s.startedTasks), "stored-B/task")
}

// BenchmarkTickManyQueues measures a tick of an owner with 1,600 queues, the number of
// routes of a large site, and more jobs than the workers have capacity for.
func BenchmarkTickManyQueues(b *testing.B) {
	var qs []work.Queue
	for i := range 1600 {
		qs = append(qs, work.Queue{Name: fmt.Sprint("q", i), Service: "s", Attempts: 3, Priority: 2 * (i % 2)})
	}
	qs = append(qs, testQueues...)
	s := newTestCell(qs, 16, 16)
	for i := range 300 {
		s.submit(fmt.Sprintf("%016x", i), "short", shortStep(20, false))
	}
	for b.Loop() {
		s.now += tickInterval
		s.core.Step(s.now, sched.Tick{})
	}
}

// newFullCell returns a cell of the size of a large site at peak load: 75 workers that
// all run latency-critical tasks, and more best-effort tasks than there is idle CPU
// time for.
func newFullCell() *testCell {
	var sizes []int64
	for range 75 {
		sizes = append(sizes, 16)
	}
	s := newTestCell(testQueues, sizes...)
	for i := range 60 {
		step := latencyStep(10, 1)
		step.Apart = 2
		s.submit(fmt.Sprintf("%016x", i), "serve", step)
	}
	s.advance(time.Second)
	for i := range 60 {
		step := bestEffortStep(2)
		step.Count = 20
		s.submit(fmt.Sprintf("%016x", 1000+i), "fill", step)
	}
	s.advance(2 * time.Second)
	return s
}

// endBestEffortTask ends a best-effort task on the first worker from i on that has one
// and delivers the worker's report.
func (s *testCell) endBestEffortTask(i int) {
	for n := range s.workers {
		w := s.workers[(i+n)%len(s.workers)]
		for _, r := range slices.SortedFunc(maps.Keys(w.runs), func(a, b work.Run) int { return cmp.Compare(a.Task, b.Task) }) {
			if p, _ := work.ParseTaskName(r.Task); p.Job >= fmt.Sprintf("%016x", 1000) {
				s.endRun(w, r, work.Done)
				s.sendReport(w)
				return
			}
		}
	}
}

// maxAllocsPerEnd bounds the allocations for the end of a task in a full cell. The
// owner of a large cell handles about 400 ends a second on 0.8 of a core; one
// millisecond for each would use half of that.
const maxAllocsPerEnd = 500

// TestTaskEndCostInFullCell guards against a full scheduling pass after each end of a
// task, which takes milliseconds while many tasks wait.
func TestTaskEndCostInFullCell(t *testing.T) {
	g := NewWithT(t)
	s := newFullCell()
	i := 0
	g.Expect(testing.AllocsPerRun(50, func() { i++; s.endBestEffortTask(i) })).To(BeNumerically("<", maxAllocsPerEnd))
}

// BenchmarkEndInACrowd measures the end of a best-effort task in a full cell.
func BenchmarkEndInACrowd(b *testing.B) {
	s := newFullCell()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.endBestEffortTask(i)
		if i%400 == 0 {
			b.StopTimer()
			s = newFullCell()
			b.StartTimer()
		}
	}
}

// BenchmarkTickInACrowd measures a tick of the owner of a full cell.
func BenchmarkTickInACrowd(b *testing.B) {
	s := newFullCell()
	b.ReportAllocs()
	for b.Loop() {
		s.now += time.Microsecond
		s.core.Step(s.now, sched.Tick{})
	}
}
