package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// loadedCell plays a cell whose workers run tasks for real lengths of virtual time:
// short jobs, best-effort jobs with checkpoints, long-running jobs and timed jobs
// arrive, some are cancelled, some runs fail, and workers are lost and come back. Each
// worker reports every 500 ms and when a run has ended. Commits take no time.
type loadedCell struct {
	core *sched.Core
	now  time.Duration
	rng  *rand.Rand
	// nodes lists the workers with their agents, and byAgent finds them.
	nodes   []*loadedNode
	byAgent map[string]*loadedNode
	// cancels holds when jobs are to be cancelled.
	cancels map[string]time.Duration
	jobs    int
	due     float64
	// cost is the time spent in the core, and allocs the allocations made there if
	// countAllocs is set.
	cost        time.Duration
	starts      int
	allocs      uint64
	countAllocs bool
	// placements lists the decisions to place a task, if keep is set.
	keep       bool
	placements []string
}

// loadedNode is a worker with its agent.
type loadedNode struct {
	work.Worker
	agent   string
	runs    map[work.Run]*loadedRun
	ends    []work.End
	lastEnd int64
	// backAt is when a lost worker comes back, or 0.
	backAt time.Duration
	// process is the start time of the agent's process.
	process int64
}

// loadedRun is a run on a worker.
type loadedRun struct {
	work.About
	began, ends time.Duration
	fails       bool
}

// coresPerWorker and workersPerRack are those of the large site.
const (
	coresPerWorker = 64000
	workersPerRack = 20
	longShare      = 0.3
)

// newLimitedLoadedCell returns a cell whose long-running jobs take longShare of all cores and
// whose owner has the given limits.
func newLimitedLoadedCell(limits sched.Limits, workers int, seed uint64) *loadedCell {
	s := &loadedCell{rng: rand.New(rand.NewPCG(seed, uint64(workers))), byAgent: map[string]*loadedNode{}, cancels: map[string]time.Duration{}}
	cfg := &work.Config{Version: 1, Queues: []work.Queue{
		{Name: "short", Service: "s", Attempts: 3, Stretch: 1.5, Target: 300},
		{Name: "fill", Service: "s", Attempts: 2, Stretch: 2, Target: 1000, Priority: 2},
		{Name: "long", Service: "s", Attempts: 3, Stretch: 2.2, Target: 2500},
	}}
	s.core = sched.New(limits, 1, 0, 0, sched.StoredRows{}, cfg)
	for i := range workers {
		n := &loadedNode{agent: fmt.Sprintf("agent-%04d", i), runs: map[work.Run]*loadedRun{}, process: 1}
		n.Worker = work.Worker{Life: work.Life{ID: fmt.Sprintf("w-%04d", i), Born: 1}, Service: "s", Size: vect.Size{Cores: coresPerWorker, Memory: 256000}, Labels: []string{"a", fmt.Sprint("r", i/workersPerRack)}}
		s.nodes = append(s.nodes, n)
		s.byAgent[n.agent] = n
		s.report(n)
	}
	for i := range int(longShare * float64(workers) * coresPerWorker / (24 * 13000)) {
		s.submit(work.Job{Queue: "long", Steps: []work.Step{{Count: 24, Size: vect.Size{Cores: 13000, Memory: 26000}, Lasts: true, Image: fmt.Sprint("serve-", i%16), Target: 50, Apart: 2, Missing: 2}}})
	}
	s.play(2*time.Second, 0)
	return s
}

// step passes an event to the core and carries out the effects.
func (s *loadedCell) step(e sched.Event) {
	var m0, m1 runtime.MemStats
	if s.countAllocs {
		runtime.ReadMemStats(&m0)
	}
	t0 := time.Now()
	effects := slices.Clone(s.core.Step(s.now, e))
	s.cost += time.Since(t0)
	if s.countAllocs {
		runtime.ReadMemStats(&m1)
		s.allocs += m1.Mallocs - m0.Mallocs
	}
	for _, f := range effects {
		switch f := f.(type) {
		case sched.Commit:
			s.step(sched.Committed{Seq: f.Seq})
		case sched.Send:
			s.carryOut(f)
		case sched.Decision:
			if s.keep && f.Kind == "place" {
				s.placements = append(s.placements, fmt.Sprint(s.now, " ", f.Task, " ", f.Run, " ", f.Worker))
			}
		}
	}
}

// carryOut carries out an order at once.
func (s *loadedCell) carryOut(f sched.Send) {
	n := s.byAgent[f.Agent]
	if n.backAt > 0 || f.Order.Life != n.Life {
		return
	}
	res := work.Results{Life: f.Order.Life, Term: 1}
	for _, x := range f.Order.Starts {
		s.starts++
		res.Starts = append(res.Starts, work.Result{Run: x.Run, Code: work.Started})
		r := &loadedRun{About: x.About, began: s.now, ends: s.now + time.Duration(700+s.rng.IntN(1000))*time.Millisecond, fails: s.rng.IntN(200) == 0}
		if x.Lasts {
			r.ends = s.now + time.Hour
		}
		n.runs[x.Run] = r
	}
	for _, x := range f.Order.Stops {
		res.Stops = append(res.Stops, x)
		if n.runs[x] != nil {
			n.end(x, work.Stopped)
		}
	}
	s.step(sched.Results{Results: res})
}

// end ends a run; the next report lists the end.
func (n *loadedNode) end(r work.Run, how work.EndReason) {
	delete(n.runs, r)
	n.lastEnd++
	n.ends = append(n.ends, work.End{N: n.lastEnd, Run: r, How: how})
}

// sortedRuns returns the worker's runs in a fixed order.
func (n *loadedNode) sortedRuns() []work.Run {
	var out []work.Run
	for k := range n.runs {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b work.Run) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// report sends a worker's report with the list of its runs.
func (s *loadedCell) report(n *loadedNode) {
	r := work.Report{Agent: n.agent, Worker: n.Worker, Listed: true, ListedAfter: work.Moment{Term: 1, At: s.now}, Unix: 1_000_000_000 + s.now.Milliseconds(), Word: work.ReportID{Process: n.process, Sent: s.now}}
	r.Ends, n.ends = n.ends, nil
	for _, k := range n.sortedRuns() {
		x := n.runs[k]
		item := work.Running{Run: k, Percent: min(99, int(100*(s.now-x.began)/max(1, x.ends-x.began))), Figure: 6500}
		if x.Lasts {
			item.Percent, item.Figure = 100, 15+int64(s.rng.IntN(20))
		}
		r.Running = append(r.Running, item)
	}
	s.step(sched.Report{Report: r})
}

// submit hands in a job under a new ID.
func (s *loadedCell) submit(j work.Job) {
	s.jobs++
	j.ID, j.Service, j.Spec = fmt.Sprintf("%016x", s.jobs), "s", "spec"
	s.step(sched.Submit{Job: j})
}

// arrive hands in one of the jobs of the mix: 2 steps of 20 tasks of 7 cores, every
// third of them best-effort, every twentieth timed and every twentieth cancelled.
func (s *loadedCell) arrive() {
	step := work.Step{Count: 20, Size: vect.Size{Cores: 5000 + s.rng.Int64N(4000), Memory: 13000}, Estimate: 1200}
	j := work.Job{Queue: "short"}
	if s.jobs%3 == 0 {
		j.Queue = "fill"
		step.Fills, step.Saves, step.Image = true, true, fmt.Sprint("fill-", s.rng.IntN(30))
	}
	second := step
	second.After = []int{0}
	j.Steps = []work.Step{step, second}
	if s.jobs%20 == 7 {
		j.Steps = j.Steps[:1]
		j.First, j.Every, j.Times = 1_000_000_000+s.now.Milliseconds()+500, 2000, 2
	}
	s.submit(j)
	if s.jobs%20 == 11 {
		s.cancels[fmt.Sprintf("%016x", s.jobs)] = s.now + time.Second
	}
}

// coresPerJob is the mean demand of a job of the mix in core-seconds.
const coresPerJob = 40 * 7 * 1.2

// play plays a time in which jobs arrive that ask for a share of the cores that
// long-running jobs leave.
func (s *loadedCell) play(d time.Duration, load float64) {
	const stepTime = 10 * time.Millisecond
	perStep := load * (1 - longShare) * float64(len(s.nodes)) * coresPerWorker / 1000 / coresPerJob * stepTime.Seconds()
	for until := s.now + d; s.now < until; {
		s.now += stepTime
		for s.due += perStep * 2 * s.rng.Float64(); s.due >= 1; s.due-- {
			s.arrive()
		}
		for _, id := range sortedNames(s.cancels) {
			if s.cancels[id] <= s.now {
				delete(s.cancels, id)
				s.step(sched.Cancel{ID: id})
			}
		}
		if s.now%(2*time.Second) == 0 {
			s.lose(s.nodes[s.rng.IntN(len(s.nodes))])
		}
		for i, n := range s.nodes {
			s.playNode(n, int(s.now/stepTime)+i)
		}
		if s.now%tickInterval == 0 {
			s.step(sched.Tick{})
		}
	}
}

// sortedNames returns the keys of a map in order.
func sortedNames(m map[string]time.Duration) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// lose ends a worker with all its runs for a second.
func (s *loadedCell) lose(n *loadedNode) {
	if n.backAt > 0 {
		return
	}
	s.step(sched.Report{Report: work.Report{Agent: n.agent, Worker: n.Worker, Gone: true, Unix: 1_000_000_000 + s.now.Milliseconds(), Word: work.ReportID{Process: n.process, Sent: s.now}}})
	n.backAt = s.now + time.Second
	n.runs, n.ends, n.lastEnd = map[work.Run]*loadedRun{}, nil, 0
}

// playNode ends the runs of a worker whose time has come and sends its report if one is
// due.
func (s *loadedCell) playNode(n *loadedNode, turn int) {
	switch {
	case n.backAt > s.now:
		return
	case n.backAt > 0:
		n.backAt = 0
		n.Born++
		s.report(n)
	}
	for _, k := range n.sortedRuns() {
		switch r := n.runs[k]; {
		case r.ends > s.now:
		case r.fails:
			n.end(k, work.Failed)
		default:
			n.end(k, work.Done)
		}
	}
	if len(n.ends) > 0 || turn%50 == 0 {
		s.report(n)
	}
}

// TestShortcutsKeepDecisions plays loaded cells with and without the shortcuts of
// scheduling passes. A bound that is too tight, or an evaluation that is reused after it
// has become wrong, shows as a different placement.
func TestShortcutsKeepDecisions(t *testing.T) {
	for seed := range uint64(8) {
		for _, load := range []float64{0.6, 0.95, 1.3} {
			t.Run(fmt.Sprintf("seed=%d/load=%v", seed, load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				// Half of the seeds have overload control, which orders jobs otherwise, and half learn
				// the speed of workers.
				limits := sched.Limits{Overload: seed%2 == 1, Uneven: seed >= 4}
				plain, fast := newLimitedLoadedCell(limits, 20, seed), newLimitedLoadedCell(limits, 20, seed)
				plain.core.SetExhaustive()
				for _, s := range []*loadedCell{plain, fast} {
					s.keep = true
					s.play(6*time.Second, load)
					g.Expect(s.core.CheckIndexes()).To(Succeed())
				}
				g.Expect(len(fast.placements)).To(BeNumerically(">", 200))
				for i, p := range plain.placements {
					g.Expect(fast.placements[min(i, len(fast.placements)-1)]).To(Equal(p), "placement %d", i)
				}
				g.Expect(fast.placements).To(HaveLen(len(plain.placements)))
			})
		}
	}
}

// BenchmarkLoad measures the cost of a run for the core at several sizes and loads:
// below 1 nothing waits for long, above 1 the backlog grows.
func BenchmarkLoad(b *testing.B) {
	const played = 6 * time.Second
	for _, workers := range []int{20, 60, 240, 1000} {
		for _, load := range []float64{0.6, 0.95, 1.3} {
			b.Run(fmt.Sprintf("w=%d/load=%v", workers, load), func(b *testing.B) {
				var cost time.Duration
				starts := 0
				for range b.N {
					s := newLimitedLoadedCell(sched.Limits{}, workers, 1)
					s.cost, s.starts = 0, 0
					s.play(played, load)
					cost += s.cost
					starts += s.starts
				}
				b.ReportMetric(float64(cost.Microseconds())/float64(max(1, starts)), "us/run")
				b.ReportMetric(cost.Seconds()/played.Seconds()/float64(b.N), "cores")
				b.ReportMetric(float64(starts)/played.Seconds()/float64(b.N), "starts/s")
				b.ReportMetric(0, "ns/op")
				s := newLimitedLoadedCell(sched.Limits{}, workers, 1)
				s.play(time.Second, load)
				s.starts, s.allocs, s.countAllocs = 0, 0, workers <= 60
				s.play(time.Second, load)
				b.ReportMetric(float64(s.allocs)/float64(max(1, s.starts)), "allocs/run")
			})
		}
	}
}
