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
	// Jobs counts jobs that ended, and DeadlinesMet those that were done by their
	// deadline. JobsInTime holds the names of the latter.
	Jobs, DeadlinesMet int
	JobsInTime         map[string]bool
	// Wait holds the time in milliseconds that tasks of short jobs waited for
	// their first start.
	Wait *hdrhistogram.Histogram
	// LastEnd is the time at which the last job ended.
	LastEnd   time.Duration
	Evictions int
	// Failures counts attempts that failed.
	Failures int
	// Pages counts the pages that the cell committed.
	Pages int
	// Violations lists the violated invariants that package check found.
	Violations []string
}

// Quantile returns a quantile, from 0 to 100, of the wait of short tasks.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Wait.ValueAtQuantile(q)) * time.Millisecond
}

const (
	// networkDelay is the one-way delay of messages.
	networkDelay = 500 * time.Microsecond
	// commitTime is the time that the table takes to commit a page.
	commitTime   = 10 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of a worker on which no task
	// ends.
	reportInterval = time.Second
	// minReportInterval is the minimum time between two reports of a worker.
	minReportInterval = 100 * time.Millisecond
	// maxWaitMillis and significantDigits are the range and the precision of the
	// histogram.
	maxWaitMillis     = 100_000_000
	significantDigits = 3
)

// simulation is one run of a policy. The maps are keyed by job name, except for
// runTimes and startedTasks, which are keyed by task name.
type simulation struct {
	sim.Loop
	cfg     Config
	outcome Outcome
	core    *cell.Core
	check   check.Check
	workers []*simWorker
	// token identifies the last report or submission passed to the core.
	token          uint64
	shortJobs      map[string]bool
	runTimes       map[string]time.Duration
	submittedAt    map[string]time.Duration
	startedTasks   map[string]bool
	endedJobs      map[string]bool
	unfinishedJobs int
}

// simWorker is a simulated worker with its agent.
type simWorker struct {
	*simulation
	standIn *worker.Worker
	index   int
	// reportClocks holds the worker's clock at each unanswered report, by token.
	reportClocks map[uint64]time.Duration
	// nextReport is when the next report is due.
	nextReport time.Duration
}

// horizon bounds the virtual time of a run. Jobs that have not ended by then
// count as late.
func (c Config) horizon() time.Duration {
	return c.For.Std() + c.Backlog.Std() + 6*time.Hour
}

// Policies that are compared: the cell's own, the plain one, and the oracle that
// knows the true run times.
const (
	policyCell   = "cell"
	policyPlain  = "plain"
	policyOracle = "knows"
)

// run simulates one run until all jobs have ended, or until the horizon.
func run(c Config, policy string, load float64, seed uint64) Outcome {
	w := &simulation{cfg: c, shortJobs: map[string]bool{}, runTimes: map[string]time.Duration{}, submittedAt: map[string]time.Duration{}, startedTasks: map[string]bool{}, endedJobs: map[string]bool{}}
	w.outcome = Outcome{Policy: policy, Load: load, Seed: seed, JobsInTime: map[string]bool{}, Wait: hdrhistogram.New(1, maxWaitMillis, significantDigits)}
	w.core = cell.New(cell.Limits{
		Naive:         policy == policyPlain,
		KnownRuntimes: policy == policyOracle,
		Tasks:         1 << 20,
	}, 1, 0, seed, ledger.Ledger{}, 0)
	for i := range c.Workers {
		w.workers = append(w.workers, w.newWorker(i))
	}
	for _, a := range c.arrivals(load, seed) {
		w.unfinishedJobs++
		w.At(a.at+2*time.Second, func() { w.submit(a) })
	}
	w.Every(tickInterval, func() bool {
		w.step(cell.Tick{})
		w.step(cell.Renewed{Sent: int64(w.Now())})
		return w.unfinishedJobs > 0
	})
	end := c.horizon()
	for w.unfinishedJobs > 0 && w.Now() < end && w.Step() {
	}
	w.outcome.Violations = w.check.Failures()
	return w.outcome
}

// newWorker creates the i-th worker and schedules its first report. First reports
// are spread over the interval.
func (w *simulation) newWorker(i int) *simWorker {
	n := &simWorker{simulation: w, index: i, reportClocks: map[uint64]time.Duration{}}
	name := fmt.Sprintf("atelier-%d", i)
	n.standIn = &worker.Worker{Name: name, Incarnation: "1", Size: w.cfg.size()}
	n.standIn.Watch = func(_ time.Duration, task string, attempt int, running bool) {
		w.check.TaskRunning(name, task, attempt, running)
	}
	if i == 0 && w.cfg.Fails > 0 {
		w.At(w.cfg.Fails.Std(), func() { n.standIn.Fail = true })
	}
	w.After(time.Duration(i)*reportInterval/time.Duration(w.cfg.Workers), n.report)
	return n
}

// report sends a report to the cell and schedules the next one.
func (n *simWorker) report() {
	rep := n.standIn.Poll(n.Now())
	n.token++
	token := n.token
	n.reportClocks[token] = rep.Clock
	b := wire.Heartbeat{Cell: "dakar", Worker: n.standIn.Name, Report: rep}
	n.After(networkDelay, func() { n.step(cell.Heartbeat{Token: token, Heartbeat: b}) })
	n.scheduleReport(n.Now() + reportInterval)
}

// scheduleReport schedules a report at the given time, or earlier if a task ends
// before.
func (n *simWorker) scheduleReport(at time.Duration) {
	if next, ok := n.standIn.Next(); ok {
		at = min(at, max(next, n.Now()+minReportInterval))
	}
	if n.nextReport > n.Now() && n.nextReport <= at {
		return
	}
	n.nextReport = at
	n.At(at, func() {
		if n.nextReport == at {
			n.report()
		}
	})
}

// submit passes a job to the core.
func (w *simulation) submit(a arrival) {
	w.token++
	w.shortJobs[a.job.Name] = a.short
	w.submittedAt[a.job.Name] = w.Now()
	for i, d := range a.runTimes {
		w.runTimes[ledger.TaskID(a.job.Name, i)] = d
	}
	w.step(cell.Submit{Token: w.token, Job: a.job})
}

// step passes an event to the core, executes its effects, and checks that no
// worker is overcommitted.
func (w *simulation) step(e cell.Event) {
	for _, f := range append([]cell.Effect(nil), w.core.Step(w.Now(), e)...) {
		w.execute(f)
	}
	w.core.EachLoad(w.check.WorkerCommitted)
}

// execute carries out an effect of the core.
func (w *simulation) execute(f cell.Effect) {
	switch f := f.(type) {
	case cell.Commit:
		w.outcome.Pages++
		w.After(commitTime, func() { w.step(cell.Committed{Seq: f.Page.Seq}) })
	case cell.Orders:
		for _, n := range w.workers {
			if n.standIn.Name == f.Worker {
				n.applyOrders(f)
			}
		}
	case cell.Reply:
		if f.Reason != "" {
			w.unfinishedJobs--
		}
	case cell.Snapshot:
		w.step(cell.SnapshotStored{Seq: f.Seq})
	case cell.Decision:
		w.recordDecision(f)
	}
}

// applyOrders passes orders to the worker after the network delay, with the true
// run times of the tasks to start. The lease counts from the worker's clock at
// the report that the orders answer.
func (n *simWorker) applyOrders(o cell.Orders) {
	o.Until = n.reportClocks[o.Token] + o.Lease
	delete(n.reportClocks, o.Token)
	for i, r := range o.Starts {
		o.Starts[i].Length = n.runTimes[r.Task]
	}
	n.After(networkDelay, func() {
		_ = n.standIn.Apply(n.Now(), o.Orders.Orders)
		n.scheduleReport(n.Now() + reportInterval)
	})
}

// recordDecision records a decision of the cell about a task.
func (w *simulation) recordDecision(n cell.Decision) {
	job, _, err := ledger.ParseTask(n.Task)
	switch n.Kind {
	case "start":
		if w.shortJobs[job] && !w.startedTasks[n.Task] {
			_ = w.outcome.Wait.RecordValue(max(1, (w.Now() - w.submittedAt[job]).Milliseconds()))
		}
		w.startedTasks[n.Task] = true
	case "evict":
		w.outcome.Evictions++
	case "back":
		if n.Reason == "failed" {
			w.outcome.Failures++
		}
	}
	if err == nil {
		w.recordEnd(n, job)
	}
}

// recordEnd records the end of a task, and of its job if it was the last one.
func (w *simulation) recordEnd(n cell.Decision, name string) {
	if n.Kind != "end" && n.Kind != "fail" && n.Kind != "lose" {
		return
	}
	if n.Kind == "end" {
		w.check.TaskEnded(n.Task)
	}
	j, ok := w.core.Job(name)
	if !ok || j.Ended == 0 || w.endedJobs[name] {
		return
	}
	w.endedJobs[name] = true
	w.unfinishedJobs--
	w.outcome.Jobs++
	w.outcome.LastEnd = w.Now()
	if j.State == "done" && j.Ended <= j.Due {
		w.outcome.DeadlinesMet++
		w.outcome.JobsInTime[name] = true
	}
}
