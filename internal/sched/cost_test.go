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

// shop is an owner with workers that start and end all they are told at once.
type shop struct {
	core  *sched.Core
	now   time.Duration
	ends  map[string]int64
	bytes int
	tasks int
	lives map[string]work.Worker
}

func newShop(workers int) *shop {
	s := &shop{ends: map[string]int64{}, lives: map[string]work.Worker{}}
	cfg := &work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Target: 500}}}
	s.core = sched.New(sched.Limits{}, 1, 0, 0, sched.Found{}, cfg)
	for i := range workers {
		a := fmt.Sprintf("agent-%02d", i)
		s.lives[a] = work.Worker{Life: work.Life{ID: fmt.Sprintf("w-%02d", i), Born: 1}, Service: "s", Size: vect.Size{Cores: 64000, Memory: 256000}, Labels: []string{"a", "r1"}}
		s.feed(sched.Report{Report: work.Report{Agent: a, Worker: s.lives[a], Listed: true}})
	}
	return s
}

// feed passes an event on and plays what follows from it.
func (s *shop) feed(e sched.Event) {
	s.now += time.Millisecond
	var next []sched.Event
	for _, f := range s.core.Step(s.now, e) {
		switch f := f.(type) {
		case sched.Commit:
			for _, w := range f.Writes {
				s.bytes += len(w.Value)
			}
			next = append(next, sched.Committed{Seq: f.Seq})
		case sched.Send:
			if len(f.Order.Starts) > 0 {
				next = append(next, s.carryOut(f)...)
			}
		}
	}
	for _, n := range next {
		s.feed(n)
	}
}

func (s *shop) carryOut(f sched.Send) []sched.Event {
	res := work.Results{Life: f.Order.Life, Term: 1}
	rep := work.Report{Agent: f.Agent, Worker: s.lives[f.Agent], Listed: true}
	for _, x := range f.Order.Starts {
		res.Starts = append(res.Starts, work.Result{Run: x.Run, Code: work.Started})
		s.ends[f.Agent]++
		s.tasks++
		rep.Ends = append(rep.Ends, work.End{N: s.ends[f.Agent], Run: x.Run, How: work.Done})
	}
	return []sched.Event{sched.Results{Results: res}, sched.Report{Report: rep}}
}

func (s *shop) job(i int) {
	s.feed(sched.Submit{Job: work.Job{
		ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "s", Spec: "spec",
		Steps: []work.Step{
			{Count: 6, Size: vect.Size{Cores: 960, Memory: 1900}, Estimate: 850},
			{Count: 6, Size: vect.Size{Cores: 960, Memory: 1900}, Estimate: 850, After: []int{0}},
		},
	}})
}

// The bounds follow from the users' size: an owner that starts 5,900 tasks a
// second in cells of a few hundred may allocate some ten KB for each and store
// one KB, as the page on capacity counts.
const (
	allocsPerTask = 120
	bytesPerTask  = 1024
)

func TestCostOfATask(t *testing.T) {
	g := NewWithT(t)
	s := newShop(11)
	s.job(0)
	s.bytes, s.tasks = 0, 0
	i := 0
	allocs := testing.AllocsPerRun(100, func() {
		i++
		s.job(i)
	})
	g.Expect(s.core.State(fmt.Sprintf("%016x", i))).To(Equal("completed"))
	g.Expect(s.tasks).To(Equal(12 * i))
	g.Expect(allocs/12).To(BeNumerically("<", allocsPerTask), "allocations a task")
	g.Expect(s.bytes/s.tasks).To(BeNumerically("<", bytesPerTask), "bytes stored a task")
}

func BenchmarkTask(b *testing.B) {
	s := newShop(11)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.job(i)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(s.tasks), "µs/task")
	b.ReportMetric(float64(s.bytes)/float64(s.tasks), "stored-B/task")
}

// BenchmarkTickManyQueues is a tick of an owner with the 1,600 routes that a day of
// the grown sites has, and more jobs than there is room for.
func BenchmarkTickManyQueues(b *testing.B) {
	var qs []work.Queue
	for i := range 1600 {
		qs = append(qs, work.Queue{Name: fmt.Sprint("q", i), Service: "s", Attempts: 3, Priority: 2 * (i % 2)})
	}
	qs = append(qs, siteQueues...)
	s := newSite(qs, 16, 16)
	for i := range 300 {
		s.submit(fmt.Sprintf("%016x", i), "short", short(20, false))
	}
	for b.Loop() {
		s.now += siteTick
		s.core.Step(s.now, sched.Tick{})
	}
}

// newCrowd returns an owner of the size of the users' grown sites at a crest: 75
// workers that all serve, and more tasks that fill than there is room for.
func newCrowd() *site {
	var sizes []int64
	for range 75 {
		sizes = append(sizes, 16)
	}
	s := newSite(siteQueues, sizes...)
	for i := range 60 {
		step := latencyTask(10, 1)
		step.Apart = 2
		s.submit(fmt.Sprintf("%016x", i), "serve", step)
	}
	s.play(time.Second)
	for i := range 60 {
		step := filling(2)
		step.Count = 20
		s.submit(fmt.Sprintf("%016x", 1000+i), "fill", step)
	}
	s.play(2 * time.Second)
	return s
}

// endOne ends a task that fills on some worker and takes in what follows.
func (s *site) endOne(i int) {
	for n := range s.workers {
		w := s.workers[(i+n)%len(s.workers)]
		for _, r := range slices.SortedFunc(maps.Keys(w.runs), func(a, b work.Run) int { return cmp.Compare(a.Task, b.Task) }) {
			if p, _ := work.ParseTaskName(r.Task); p.Job >= fmt.Sprintf("%016x", 1000) {
				s.end(w, r, work.Done)
				s.report(w)
				return
			}
		}
	}
}

// allocsPerEnd bounds what the end of a task costs in a crowd: an owner of the grown
// sites takes in some 400 ends a second on 0.8 of a core, and a millisecond for each
// would use half of it.
const allocsPerEnd = 500

func TestCostOfAnEndInACrowd(t *testing.T) {
	g := NewWithT(t)
	s := newCrowd()
	i := 0
	g.Expect(testing.AllocsPerRun(50, func() { i++; s.endOne(i) })).To(BeNumerically("<", allocsPerEnd))
}

func BenchmarkEndInACrowd(b *testing.B) {
	s := newCrowd()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.endOne(i)
		if i%400 == 0 {
			b.StopTimer()
			s = newCrowd()
			b.StartTimer()
		}
	}
}

func BenchmarkTickInACrowd(b *testing.B) {
	s := newCrowd()
	b.ReportAllocs()
	for b.Loop() {
		s.now += time.Microsecond
		s.core.Step(s.now, sched.Tick{})
	}
}
