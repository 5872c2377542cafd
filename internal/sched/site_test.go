package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

func TestDecisions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the owner's decisions")
}

// site is an owner with workers that carry out at once what they are ordered and
// run tasks until the test or an order ends them.
type site struct {
	core    *sched.Core
	now     time.Duration
	config  *work.Config
	workers []*bench
	notes   []sched.Note
	forgets []sched.Forget
	asks    []sched.Ask
	// challenge is that of the newest answer to a report, or 0.
	challenge uint64
	states    map[string]work.State
	// day is what each worker's time of day is ahead of its true one.
	day map[*bench]time.Duration
	// grace is how long a stop takes.
	grace   time.Duration
	learned []byte
}

// unix is the true time of day.
func (s *site) unix() time.Duration { return 1_000_000*time.Hour + s.now }

// bench is a worker with its agent.
type bench struct {
	work.Worker
	agent string
	runs  map[work.Run]*ran
	ends  []work.End
	n     int64
	// process counts the starts of the agent.
	process int64
	// echo is the newest challenge that the process got.
	echo uint64
}

// ran is a run with what the worker says of it.
type ran struct {
	percent int
	figure  int64
	// ends is when a stop that was taken is over, or 0.
	ends time.Duration
}

const (
	siteTick = 100 * time.Millisecond
	cores    = 1000
)

// newSite returns a site with workers of the given numbers of cores.
func newSite(queues []work.Queue, sizes ...int64) *site {
	s := &site{config: &work.Config{Version: 1, Queues: queues}, states: map[string]work.State{}, day: map[*bench]time.Duration{}}
	s.core = sched.New(sched.Limits{}, 1, 0, 0, sched.Found{}, s.config)
	for i, n := range sizes {
		s.workers = append(s.workers, &bench{
			Worker: work.Worker{
				Life: work.Life{ID: fmt.Sprintf("w%d", i), Born: 1}, Service: "s",
				Size: vect.Size{Cores: n * cores, Memory: 1 << 20}, Labels: []string{"a", fmt.Sprintf("r%d", i/3)},
			},
			agent: fmt.Sprintf("a%d", i), runs: map[work.Run]*ran{},
		})
	}
	s.play(siteTick)
	return s
}

// play lets time pass.
func (s *site) play(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += siteTick
		for _, w := range s.workers {
			for r, x := range w.runs {
				if x.ends > 0 && s.now >= x.ends {
					s.end(w, r, work.Stopped)
				}
			}
			s.report(w)
		}
		s.step(sched.Tick{})
	}
}

// report passes a report on, and another one if the owner asks for that.
func (s *site) report(w *bench) {
	s.challenge = 0
	s.step(sched.Report{Report: s.compose(w)})
	if s.challenge != 0 {
		w.echo = s.challenge
		s.step(sched.Report{Report: s.compose(w)})
	}
}

// compose returns what a worker's agent would report now.
func (s *site) compose(w *bench) work.Report {
	r := work.Report{Agent: w.agent, Worker: w.Worker, Listed: true, Unix: (s.unix() + s.day[w]).Milliseconds(), Ends: slices.Clone(w.ends), Word: work.ReportID{Process: 1 + w.process, Sent: s.now, Echo: w.echo}}
	for _, k := range slices.SortedFunc(maps.Keys(w.runs), func(a, b work.Run) int { return int(a.Num - b.Num) }) {
		x := w.runs[k]
		r.Running = append(r.Running, work.Running{Run: k, Percent: x.percent, Figure: x.figure})
	}
	return r
}

func (s *site) step(e sched.Event) {
	for _, f := range slices.Clone(s.core.Step(s.now, e)) {
		switch f := f.(type) {
		case sched.Commit:
			for _, w := range f.Writes {
				if w.Key == sched.LearnedKey {
					s.learned = w.Value
				}
			}
			s.step(sched.Committed{Seq: f.Seq})
		case sched.Send:
			s.carryOut(f)
		case sched.Forget:
			s.forgets = append(s.forgets, f)
		case sched.Reply:
			s.challenge = f.Challenge
		case sched.Ask:
			s.asks = append(s.asks, f)
		case sched.Note:
			s.notes = append(s.notes, f)
		}
	}
}

func (s *site) carryOut(f sched.Send) {
	w := s.at(f.Agent)
	res := work.Results{Life: f.Order.Life, Term: 1}
	for _, x := range f.Order.Starts {
		if w.runs[x.Run] == nil {
			r := &ran{figure: 1}
			if x.Lasts {
				r.percent = 100
			}
			w.runs[x.Run] = r
		}
		res.Starts = append(res.Starts, work.Result{Run: x.Run, Code: work.Started})
	}
	for _, x := range f.Order.Stops {
		s.stop(w, x)
		res.Stops = append(res.Stops, x)
	}
	s.step(sched.Results{Results: res})
}

// stop begins the stop of a run.
func (s *site) stop(w *bench, r work.Run) {
	if s.grace == 0 {
		s.end(w, r, work.Stopped)
	} else if x := w.runs[r]; x != nil && x.ends == 0 {
		x.ends = s.now + s.grace
	}
}

// end ends a run on a worker.
func (s *site) end(w *bench, r work.Run, how work.EndReason) {
	if w.runs[r] == nil {
		return
	}
	delete(w.runs, r)
	w.n++
	w.ends = append(w.ends, work.End{N: w.n, Run: r, How: how, Saved: "saved"})
}

func (s *site) at(agent string) *bench {
	i := slices.IndexFunc(s.workers, func(w *bench) bool { return w.agent == agent })
	return s.workers[i]
}

// submit accepts a job of one step.
func (s *site) submit(id string, queue string, step work.Step) {
	s.step(sched.Submit{Job: work.Job{ID: id, Queue: queue, Service: "s", Spec: "x", Steps: []work.Step{step}, At: s.now.Milliseconds()}})
}

// on lists the tasks of a job on each worker.
func (s *site) on(job string) []int {
	var out []int
	for _, w := range s.workers {
		n := 0
		for r := range w.runs {
			if p, _ := work.ParseTaskName(r.Task); p.Job == job {
				n++
			}
		}
		out = append(out, n)
	}
	return out
}

// moves counts the tasks that were moved for a reason.
func (s *site) moves(reason string) int {
	n := 0
	for _, x := range s.notes {
		if x.Kind == "move" && x.Reason == reason {
			n++
		}
	}
	return n
}

var siteQueues = []work.Queue{
	{Name: "serve", Service: "s", Attempts: 3, Stretch: 2, Target: 500},
	{Name: "fill", Service: "s", Attempts: 3, Stretch: 2, Target: 1000, Priority: 2},
	{Name: "short", Service: "s", Attempts: 3, Stretch: 2, Target: 250},
}

func latencyTask(count int, n int64) work.Step {
	return work.Step{Count: count, Size: vect.Size{Cores: n * cores, Memory: 10}, Lasts: true, Image: "web", Target: 50}
}

func filling(n int64) work.Step {
	return work.Step{Count: 8, Size: vect.Size{Cores: n * cores, Memory: 10}, Fills: true, Saves: true, Image: "plan", Estimate: 1500}
}
