package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// TestDecisions runs the Ginkgo specs of this package.
func TestDecisions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduling decisions of a cell's owner")
}

// testCell simulates a cell with one owner. Its workers start tasks as soon as they
// are ordered to and run them until an order or the test ends them; messages and
// commits take no time.
type testCell struct {
	core      *sched.Core
	now       time.Duration
	config    *work.Config
	workers   []*testWorker
	decisions []sched.Decision
	// deletions lists the deletions of rows. They fail if deletionsFail is set.
	deletions      []sched.DeleteRows
	deletionsFail  bool
	adviceRequests []sched.AskAdvisor
	// challenge is the Challenge of the newest reply to a report, or 0.
	challenge uint64
	// limits are those of the owner, and term is how often it was replaced.
	limits sched.Limits
	term   uint64
	// stateRows holds the rows with the progress of jobs, by the names in their keys.
	stateRows map[string][]byte
	// clockOffset is how far each worker's wall clock is ahead of the true time.
	clockOffset map[*testWorker]time.Duration
	// stopDuration is how long the stop of a run takes.
	stopDuration time.Duration
	// resultsLost says that the owner gets no results of its orders, and startsRepeated
	// that each worker gets each start twice and only its second answer arrives.
	resultsLost, startsRepeated bool
	// startsRefused is the code with which the workers refuse all starts, or empty.
	startsRefused work.Code
	// orders lists the orders, and orderedAt when they were sent. They do not arrive while
	// ordersLost is set.
	orders     []sched.Send
	orderedAt  []time.Duration
	ordersLost bool
	// storeDown says that commits are not answered; they wait in waitingCommits.
	storeDown      bool
	waitingCommits []sched.Commit
	// commits counts the transactions, and storedBytes their values.
	commits, storedBytes int
	// version is that of the newest row.
	version uint64
	// learnedRows holds the stored rows with what was learned.
	learnedRows map[string][]byte
}

// wallClock returns the true time since 1970.
func (s *testCell) wallClock() time.Duration { return 1_000_000*time.Hour + s.now }

// testWorker is a worker with its agent.
type testWorker struct {
	work.Worker
	agent string
	runs  map[work.Run]*testRun
	ends  []work.End
	// lastEnd is the number of the newest end.
	lastEnd int64
	// endsPerReport is the number of ends that a report can hold, or 0 if that is not
	// limited.
	endsPerReport int
	// process counts the restarts of the agent.
	process int64
	// echo is the newest challenge that this process of the agent received.
	echo uint64
}

// testRun is a run with the progress and the measurement that its worker reports.
type testRun struct {
	percent  int
	measured int64
	// stopEnds is when the ordered stop is complete, or 0 if none was ordered.
	stopEnds time.Duration
}

const (
	tickInterval = 100 * time.Millisecond
	cores        = 1000 // one core, in thousandths as in vect.Size
)

// newTestCell returns a cell with one worker for each of the sizes, in cores.
func newTestCell(queues []work.Queue, sizes ...int64) *testCell {
	return newLimitedCell(sched.Limits{}, queues, sizes...)
}

// newLimitedCell returns a cell whose owner has the given limits.
func newLimitedCell(limits sched.Limits, queues []work.Queue, sizes ...int64) *testCell {
	s := &testCell{limits: limits, config: &work.Config{Version: 1, Queues: queues}, stateRows: map[string][]byte{}, learnedRows: map[string][]byte{}, clockOffset: map[*testWorker]time.Duration{}}
	s.core = sched.New(limits, 1, 0, 0, sched.StoredRows{}, s.config)
	for i, n := range sizes {
		s.workers = append(s.workers, &testWorker{
			Worker: work.Worker{
				Life: work.Life{ID: fmt.Sprintf("w%d", i), Born: 1}, Service: "s",
				Size: vect.Size{Cores: n * cores, Memory: 1 << 20}, Labels: []string{"a", fmt.Sprintf("r%d", i/3)},
			},
			agent: fmt.Sprintf("a%d", i), runs: map[work.Run]*testRun{},
		})
	}
	s.advance(tickInterval)
	return s
}

// advance advances the time in steps of tickInterval. In each step all workers report
// and the owner gets a Tick.
func (s *testCell) advance(d time.Duration) {
	for until := s.now + d; s.now < until; {
		s.now += tickInterval
		for _, w := range s.workers {
			for r, x := range w.runs {
				if x.stopEnds > 0 && s.now >= x.stopEnds {
					s.endRun(w, r, work.Stopped)
				}
			}
			s.sendReport(w)
		}
		if !s.storeDown {
			s.step(sched.Confirmed{Sent: s.now})
		}
		s.step(sched.Tick{})
	}
}

// sendReport delivers a report, and a second one if the owner replies with a
// challenge.
func (s *testCell) sendReport(w *testWorker) {
	s.challenge = 0
	token := uint64(1 + slices.Index(s.workers, w))
	s.step(sched.Report{Token: token, Report: s.newReport(w)})
	if s.challenge != 0 {
		w.echo = s.challenge
		s.step(sched.Report{Token: token, Report: s.newReport(w)})
	}
}

// forgetStored makes the worker to whose report the owner replies forget the ends that are
// stored.
func (s *testCell) forgetStored(r sched.Reply) {
	if r.Token > 0 {
		w := s.workers[r.Token-1]
		w.ends = slices.DeleteFunc(w.ends, func(e work.End) bool { return e.N <= r.Noted })
	}
}

// newReport returns the report that the worker's agent would send now.
func (s *testCell) newReport(w *testWorker) work.Report {
	r := work.Report{Agent: w.agent, Worker: w.Worker, Listed: true, ListedAfter: work.Moment{Term: 1 + s.term, At: s.now}, Unix: (s.wallClock() + s.clockOffset[w]).Milliseconds(), Ends: slices.Clone(w.ends), Word: work.ReportID{Process: 1 + w.process, Sent: s.now, Echo: w.echo}}
	if n := w.endsPerReport; n > 0 && len(r.Ends) >= n {
		r.Ends, r.MoreEnds = r.Ends[:n], true
	}
	for _, k := range slices.SortedFunc(maps.Keys(w.runs), func(a, b work.Run) int { return int(a.Num - b.Num) }) {
		x := w.runs[k]
		r.Running = append(r.Running, work.Running{Run: k, Percent: x.percent, Figure: x.measured})
	}
	return r
}

// step passes an event to the owner and carries out the effects.
func (s *testCell) step(e sched.Event) {
	for _, f := range slices.Clone(s.core.Step(s.now, e)) {
		switch f := f.(type) {
		case sched.Commit:
			if s.storeDown {
				s.waitingCommits = append(s.waitingCommits, f)
				continue
			}
			s.commit(f)
		case sched.Send:
			s.applyOrder(f)
		case sched.DeleteRows:
			s.deletions = append(s.deletions, f)
			if s.deletionsFail {
				s.step(sched.DeletionFailed{Job: f.Job})
				continue
			}
			s.step(sched.RowsDeleted{Job: f.Job, Version: s.version})
		case sched.Reply:
			s.challenge = f.Challenge
			s.forgetStored(f)
		case sched.AskAdvisor:
			s.adviceRequests = append(s.adviceRequests, f)
		case sched.Decision:
			s.decisions = append(s.decisions, f)
		}
	}
}

// commit stores the writes of a transaction.
func (s *testCell) commit(f sched.Commit) {
	rowBytes := maxRowBytes
	if s.limits.RowBytes > 0 {
		rowBytes = s.limits.RowBytes
	}
	if err := checkLimits(f, rowBytes); err != nil {
		panic(err)
	}
	s.commits++
	for _, w := range f.Writes {
		s.storedBytes += len(w.Value)
		if sched.IsLearned(w.Key) {
			if s.learnedRows[w.Key] = w.Value; w.Value == nil {
				delete(s.learnedRows, w.Key)
			}
		}
		if table, _, id := plat.SplitKey(w.Key); table == sched.StateTable {
			if s.stateRows[id] = w.Value; w.Value == nil {
				delete(s.stateRows, id)
			}
		}
	}
	s.step(sched.Committed{Seq: f.Seq})
}

// replaceOwner starts a new owner from the stored progress of the given jobs.
func (s *testCell) replaceOwner(jobs ...work.Job) {
	var rows []plat.Row
	for name, data := range s.stateRows {
		rows = append(rows, plat.Row{Key: sched.StateKey(name), Value: data})
	}
	progress, unknown := sched.ReadProgress(rows, func(key string, err error) { panic(fmt.Sprint(key, err)) })
	s.term++
	s.core = sched.New(s.limits, 1+s.term, s.now, 0, sched.StoredRows{Jobs: jobs, ConfirmedAt: s.now, Progress: progress, Barred: unknown, Learned: s.learnedRows}, s.config)
}

// setStoreDown stops or resumes the answers to commits.
func (s *testCell) setStoreDown(down bool) {
	s.storeDown = down
	waiting := s.waitingCommits
	s.waitingCommits = nil
	for _, f := range waiting {
		s.commit(f)
	}
}

// applyOrder lets the worker carry out an order and returns the results to the owner.
func (s *testCell) applyOrder(f sched.Send) {
	s.orders, s.orderedAt = append(s.orders, f), append(s.orderedAt, s.now)
	if s.ordersLost {
		return
	}
	w := s.workerByAgent(f.Agent)
	results := work.Results{Life: f.Order.Life, Term: 1}
	for _, x := range f.Order.Starts {
		if s.startsRefused != "" {
			results.Starts = append(results.Starts, work.Result{Run: x.Run, Code: s.startsRefused})
			continue
		}
		if w.runs[x.Run] == nil {
			r := &testRun{measured: 1}
			if x.Lasts {
				r.percent = 100
			}
			w.runs[x.Run] = r
		}
		code := work.Started
		if s.startsRepeated {
			code = work.OldRun
		}
		results.Starts = append(results.Starts, work.Result{Run: x.Run, Code: code})
	}
	for _, x := range f.Order.Stops {
		s.beginStop(w, x)
		results.Stops = append(results.Stops, x)
	}
	if !s.resultsLost {
		s.step(sched.Results{Results: results})
	}
}

// beginStop ends a run after stopDuration, or at once if that is 0.
func (s *testCell) beginStop(w *testWorker, r work.Run) {
	if s.stopDuration == 0 {
		s.endRun(w, r, work.Stopped)
	} else if x := w.runs[r]; x != nil && x.stopEnds == 0 {
		x.stopEnds = s.now + s.stopDuration
	}
}

// endRun ends a run on a worker, if it is still running there.
func (s *testCell) endRun(w *testWorker, r work.Run, how work.EndReason) {
	if w.runs[r] == nil {
		return
	}
	delete(w.runs, r)
	w.lastEnd++
	w.ends = append(w.ends, work.End{N: w.lastEnd, Run: r, How: how, Saved: "saved"})
}

// workerByAgent returns the worker whose agent has the address.
func (s *testCell) workerByAgent(agent string) *testWorker {
	i := slices.IndexFunc(s.workers, func(w *testWorker) bool { return w.agent == agent })
	return s.workers[i]
}

// submit submits a job of one step.
func (s *testCell) submit(id string, queue string, step work.Step) {
	s.version++
	s.step(sched.Submit{Version: s.version, Job: work.Job{ID: id, Queue: queue, Service: "s", Spec: "x", Steps: []work.Step{step}, At: s.now.Milliseconds()}})
}

// tasksPerWorker counts the running tasks of a job on each worker.
func (s *testCell) tasksPerWorker(job string) []int {
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

// countMoves counts the runs that were stopped for the reason, to move their tasks.
func (s *testCell) countMoves(reason string) int {
	n := 0
	for _, x := range s.decisions {
		if x.Kind == "move" && x.Reason == reason {
			n++
		}
	}
	return n
}

// testQueues are queues for latency-critical, best-effort and short batch jobs.
var testQueues = []work.Queue{
	{Name: "serve", Service: "s", Attempts: 3, Stretch: 2, Target: 500},
	{Name: "fill", Service: "s", Attempts: 3, Stretch: 2, Target: 1000, Priority: 2},
	{Name: "short", Service: "s", Attempts: 3, Stretch: 2, Target: 250},
}

// latencyStep returns a step of long-running tasks with a latency target.
func latencyStep(count int, coreCount int64) work.Step {
	return work.Step{Count: count, Size: vect.Size{Cores: coreCount * cores, Memory: 10}, Lasts: true, Image: "web", Target: 50}
}

// bestEffortStep returns a step of 8 best-effort tasks that save checkpoints.
func bestEffortStep(coreCount int64) work.Step {
	return work.Step{Count: 8, Size: vect.Size{Cores: coreCount * cores, Memory: 10}, Fills: true, Saves: true, Image: "plan", Estimate: 1500}
}
