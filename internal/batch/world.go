package batch

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/check"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/sim"
	"lagoonrack/internal/stand/worker"
	"lagoonrack/internal/wire"
)

// Outcome sums up one run.
type Outcome struct {
	Policy string
	Load   float64
	Seed   uint64
	// Jobs counts accepted jobs, Met those that ended by their deadline, and
	// MetNames names them.
	Jobs, Met int
	MetNames  map[string]bool
	// Wait holds the milliseconds that short tasks waited for their first start.
	Wait *hdrhistogram.Histogram
	// End is when the last job ended.
	End       time.Duration
	Evictions int
	// Failures counts attempts that failed.
	Failures int
	Pages    int
	Bad      []string
}

// Quantile returns a quantile, from 0 to 100, of the wait of short tasks.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Wait.ValueAtQuantile(q)) * time.Millisecond
}

const (
	// delay is the one-way delay of messages.
	delay = 500 * time.Microsecond
	// commitTime is how long the table takes for a page.
	commitTime = 10 * time.Millisecond
	tick       = 100 * time.Millisecond
	beat       = time.Second
	// newsGap is the least time between two reports of a worker.
	newsGap = 100 * time.Millisecond
	longest = 100_000_000
	digits  = 3
)

// world is one run.
type world struct {
	sim.Loop
	cfg     Config
	out     Outcome
	core    *cell.Core
	check   check.Check
	workers []*node
	token   uint64
	short   map[string]bool
	lengths map[string]time.Duration
	at      map[string]time.Duration
	begun   map[string]bool
	over    map[string]bool
	left    int
}

// node is a worker with its agent.
type node struct {
	*world
	inner *worker.Worker
	index int
	beats map[uint64]time.Duration
	// planned is when the next report is due.
	planned time.Duration
}

// horizon bounds the virtual time of a run; what has not ended by then counts
// as not met.
func (c Config) horizon() time.Duration {
	return c.For.Std() + c.Backlog.Std() + 6*time.Hour
}

// Policies of a run.
const (
	learning = "cell"
	plain    = "plain"
	knowing  = "knows"
)

func run(c Config, policy string, load float64, seed uint64) Outcome {
	w := &world{cfg: c, short: map[string]bool{}, lengths: map[string]time.Duration{}, at: map[string]time.Duration{}, begun: map[string]bool{}, over: map[string]bool{}}
	w.out = Outcome{Policy: policy, Load: load, Seed: seed, MetNames: map[string]bool{}, Wait: hdrhistogram.New(1, longest, digits)}
	w.core = cell.New(cell.Limits{
		Naive:         policy == plain,
		KnownRuntimes: policy == knowing,
		Tasks:         1 << 20,
	}, 1, 0, seed, ledger.Ledger{}, 0)
	for i := range c.Workers {
		w.workers = append(w.workers, w.node(i))
	}
	for _, a := range c.arrivals(load, seed) {
		w.left++
		w.At(a.at+2*time.Second, func() { w.submit(a) })
	}
	w.Every(tick, func() bool {
		w.step(cell.Tick{})
		w.step(cell.Renewed{Sent: int64(w.Now())})
		return w.left > 0
	})
	end := c.horizon()
	for w.left > 0 && w.Now() < end && w.Step() {
	}
	w.out.Bad = w.check.Failures()
	return w.out
}

func (w *world) node(i int) *node {
	n := &node{world: w, index: i, beats: map[uint64]time.Duration{}}
	name := fmt.Sprintf("atelier-%d", i)
	n.inner = &worker.Worker{Name: name, Incarnation: "1", Size: w.cfg.size()}
	n.inner.Watch = func(_ time.Duration, task string, attempt int, running bool) {
		w.check.TaskRunning(name, task, attempt, running)
	}
	if i == 0 && w.cfg.Fails > 0 {
		w.At(w.cfg.Fails.Std(), func() { n.inner.Fail = true })
	}
	w.After(time.Duration(i)*beat/time.Duration(w.cfg.Workers), n.report)
	return n
}

// report sends a report and plans the next one.
func (n *node) report() {
	rep := n.inner.Poll(n.Now())
	n.token++
	token := n.token
	n.beats[token] = rep.Clock
	b := wire.Heartbeat{Cell: "dakar", Worker: n.inner.Name, Report: rep}
	n.After(delay, func() { n.step(cell.Heartbeat{Token: token, Heartbeat: b}) })
	n.plan(n.Now() + beat)
}

// plan has the worker report at the given time, or earlier if a task ends.
func (n *node) plan(at time.Duration) {
	if next, ok := n.inner.Next(); ok {
		at = min(at, max(next, n.Now()+newsGap))
	}
	if n.planned > n.Now() && n.planned <= at {
		return
	}
	n.planned = at
	n.At(at, func() {
		if n.planned == at {
			n.report()
		}
	})
}

func (w *world) submit(a arrival) {
	w.token++
	w.short[a.job.Name] = a.short
	w.at[a.job.Name] = w.Now()
	for i, d := range a.lengths {
		w.lengths[ledger.TaskID(a.job.Name, i)] = d
	}
	w.step(cell.Submit{Token: w.token, Job: a.job})
}

func (w *world) step(e cell.Event) {
	for _, f := range append([]cell.Effect(nil), w.core.Step(w.Now(), e)...) {
		w.do(f)
	}
	w.core.EachLoad(w.check.WorkerCommitted)
}

func (w *world) do(f cell.Effect) {
	switch f := f.(type) {
	case cell.Commit:
		w.out.Pages++
		w.After(commitTime, func() { w.step(cell.Committed{Seq: f.Page.Seq}) })
	case cell.Orders:
		for _, n := range w.workers {
			if n.inner.Name == f.Worker {
				n.orders(f)
			}
		}
	case cell.Reply:
		if f.Reason != "" {
			w.left--
		}
	case cell.Snapshot:
		w.step(cell.SnapshotStored{Seq: f.Seq})
	case cell.Decision:
		w.note(f)
	}
}

func (n *node) orders(o cell.Orders) {
	o.Until = n.beats[o.Token] + o.Lease
	delete(n.beats, o.Token)
	for i, r := range o.Starts {
		o.Starts[i].Length = n.lengths[r.Task]
	}
	n.After(delay, func() {
		_ = n.inner.Apply(n.Now(), o.Orders.Orders)
		n.plan(n.Now() + beat)
	})
}

func (w *world) note(n cell.Decision) {
	job, _, err := ledger.ParseTask(n.Task)
	switch n.Kind {
	case "start":
		if w.short[job] && !w.begun[n.Task] {
			_ = w.out.Wait.RecordValue(max(1, (w.Now() - w.at[job]).Milliseconds()))
		}
		w.begun[n.Task] = true
	case "evict":
		w.out.Evictions++
	case "back":
		if n.Reason == "failed" {
			w.out.Failures++
		}
	}
	if err == nil {
		w.ended(n, job)
	}
}

// ended counts a job once its last task has ended.
func (w *world) ended(n cell.Decision, name string) {
	if n.Kind != "end" && n.Kind != "fail" && n.Kind != "lose" {
		return
	}
	if n.Kind == "end" {
		w.check.TaskEnded(n.Task)
	}
	j, ok := w.core.Job(name)
	if !ok || j.Ended == 0 || w.over[name] {
		return
	}
	w.over[name] = true
	w.left--
	w.out.Jobs++
	w.out.End = w.Now()
	if j.State == "done" && j.Ended <= j.Due {
		w.out.Met++
		w.out.MetNames[name] = true
	}
}
