package leader_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/elect"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// The tests in this file run a fleet of three entries and three agents with one
// worker each, in virtual time. The processes call one another in memory with the
// network latency between two zones, and the store answers after 4 ms. Jobs of one
// short task are submitted continuously, so that the gap between two starts shows
// how long the cell had no owner.

const (
	storeLatency   = 4 * time.Millisecond
	networkLatency = time.Millisecond
	jobInterval    = 20 * time.Millisecond
	taskDuration   = 200 * time.Millisecond
	// pingInterval is how often entries ping one another, and reportInterval how
	// often agents report.
	pingInterval   = 300 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// settleTime is how long the fleet runs before a fault, and after it.
	settleTime = 5 * time.Second
)

// fleet is a store with entries and agents that use it.
type fleet struct {
	t      *testing.T
	store  *rows.Store
	config *work.Config
	// earlierConfig, if set, is in force instead until an entry has read it once.
	earlierConfig atomic.Pointer[work.Config]
	nodes         []*node
	agents        []*agent
	loops         sync.WaitGroup
	ctx           context.Context

	mu     sync.Mutex
	starts []start
	jobs   int
	// storeDown says that the store does not answer any process.
	storeDown bool
	// eventTime is the processor time that an owner needs for one event.
	eventTime time.Duration
	// link is how slow the entries' links to the store are.
	link link
	// began is when the store's clock was zero.
	began time.Time
	// limits are those of the entries.
	limits sched.Limits
	// deletes carries out a transaction that deletes rows, with a fault, or is nil.
	deletes deleteFault
	// historyGone says that the store has no history for feeds.
	historyGone bool
}

// deleteFault carries out a transaction with commit and returns the answer that the entry
// gets.
type deleteFault func(commit func() (plat.Stamp, error)) (plat.Stamp, error)

// link delays an entry's calls of the store.
type link struct {
	// answerTime is the extra time until the answer to each of the next slowAnswers writes
	// arrives, and listTime that of a table.
	answerTime, listTime time.Duration
	slowAnswers          int
	// failedLists is how many of the next lists get no answer.
	failedLists int
}

// start is the start of a task on a worker.
type start struct {
	at   time.Time
	task string
	term uint64
}

// node is the process of an entry. lastContact is when it last got an answer from
// each other entry.
type node struct {
	*leader.Leader
	ctx         context.Context
	stop        context.CancelFunc
	lastContact map[*node]time.Time
	// resumed is closed when a suspended process resumes, and nil before the first
	// suspension. A suspended process sends nothing and answers nothing.
	resumed atomic.Pointer[chan struct{}]
	// cutOff says that the process reaches neither the store nor the other entries.
	cutOff atomic.Bool
}

func (n *node) running() bool { return n.ctx.Err() == nil }

func (n *node) suspend() {
	ch := make(chan struct{})
	n.resumed.Store(&ch)
}

func (n *node) resume() { close(*n.resumed.Load()) }

// suspended reports whether the process is suspended.
func (n *node) suspended() bool {
	ch := n.resumed.Load()
	if ch == nil {
		return false
	}
	select {
	case <-*ch:
		return false
	default:
		return true
	}
}

// awaitResume blocks while the process is suspended.
func (n *node) awaitResume() {
	if ch := n.resumed.Load(); ch != nil {
		<-*ch
	}
}

// agent is the process beside a worker, together with the worker.
type agent struct {
	fleet       *fleet
	addr        string
	incarnation work.Life
	ctx         context.Context
	stop        context.CancelFunc
	reportNow   chan struct{}

	mu      sync.Mutex
	term    uint64
	runs    []work.Running
	ends    []work.End
	lastEnd int64
	started map[work.Run]bool
}

func newFleet(ctx context.Context, t *testing.T, limits sched.Limits) *fleet {
	f := &fleet{t: t, ctx: ctx, limits: limits, began: time.Now(), store: &rows.Store{}, config: &work.Config{
		Version: 1, Queues: []work.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Target: 500}},
	}}
	f.startProcesses()
	f.loops.Go(f.loopJobs)
	time.Sleep(settleTime)
	return f
}

// startProcesses starts all processes. They replace those that ran before, which
// must have been stopped.
func (f *fleet) startProcesses() {
	var nodes []*node
	var agents []*agent
	for i := range 3 {
		nodes = append(nodes, f.newNode(i))
		agents = append(agents, f.newAgent(i))
	}
	f.mu.Lock()
	f.nodes, f.agents = nodes, agents
	f.mu.Unlock()
	for _, n := range nodes {
		f.loops.Go(func() { n.Run(n.ctx) })
		f.loops.Go(func() { f.loopPings(n) })
	}
	for _, a := range agents {
		f.loops.Go(a.loopReport)
	}
}

// processes returns the entries and agents that were started last.
func (f *fleet) processes() ([]*node, []*agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes, f.agents
}

func (f *fleet) newNode(i int) *node {
	n := &node{lastContact: map[*node]time.Time{}}
	n.ctx, n.stop = context.WithCancel(f.ctx)
	n.Leader = &leader.Leader{
		Name: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Rows: f.rows(n), Clock: clock.Steady(), Tally: &tally.Set{}, Limits: f.limits,
		Config: func() *work.Config {
			if c := f.earlierConfig.Swap(nil); c != nil {
				return c
			}
			return f.config
		},
		Rank:          func() int { return f.rank(n) },
		Send:          func(a string, o work.Order) (work.Results, error) { return f.sendOrder(n, a, o) },
		AnnounceOwner: func(string, work.Order) {},
		BeforeBatch:   func(events int) { time.Sleep(time.Duration(events) * f.currentEventTime()) },
	}
	return n
}

// rows returns the store as a process sees it. A stopped process gets no answers.
func (f *fleet) rows(n *node) plat.Rows {
	s := f.store.Rows()
	wait := func(ctx context.Context) error {
		n.awaitResume()
		clock.Sleep(ctx, storeLatency)
		if f.isStoreDown() || n.cutOff.Load() {
			<-ctx.Done()
		}
		if ctx.Err() != nil || !n.running() {
			return plat.ErrUnavailable
		}
		return nil
	}
	return plat.Rows{
		Read: func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return plat.Row{}, plat.Stamp{}, err
			}
			return s.Read(ctx, key)
		},
		List: func(ctx context.Context, table string) ([]plat.Row, plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return nil, plat.Stamp{}, err
			}
			if !f.answersList(ctx) {
				return nil, plat.Stamp{}, plat.ErrUnavailable
			}
			found, stamp, err := s.List(ctx, table)
			stamp.Now = time.Since(f.began)
			return found, stamp, err
		},
		Feed: func(ctx context.Context, table string, after uint64, d time.Duration) ([]plat.Row, plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return nil, plat.Stamp{}, err
			}
			if f.isHistoryGone() {
				return nil, plat.Stamp{}, plat.ErrHistoryGone
			}
			return s.Feed(ctx, table, after, d)
		},
		Commit: func(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return plat.Stamp{}, err
			}
			stamp, err := f.commit(ctx, s, txn)
			clock.Sleep(ctx, f.nextAnswerTime())
			if ctx.Err() != nil {
				return plat.Stamp{}, plat.ErrUnavailable
			}
			return stamp, err
		},
	}
}

// commit applies a transaction, with the fault of deletes.
func (f *fleet) commit(ctx context.Context, s plat.Rows, txn plat.Txn) (plat.Stamp, error) {
	f.mu.Lock()
	fault := f.deletes
	f.mu.Unlock()
	deletes := slices.ContainsFunc(txn.Writes, func(w plat.Write) bool {
		table, _, _ := plat.SplitKey(w.Key)
		return table == sched.JobTable && w.Value == nil
	})
	if fault == nil || !deletes {
		return s.Commit(ctx, txn)
	}
	return fault(func() (plat.Stamp, error) { return s.Commit(ctx, txn) })
}

func (f *fleet) setDeletes(fault deleteFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deletes = fault
}

func (f *fleet) isHistoryGone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.historyGone
}

func (f *fleet) setHistoryGone(gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyGone = gone
}

// answersList waits for the time of a list and reports whether it gets an answer.
func (f *fleet) answersList(ctx context.Context) bool {
	f.mu.Lock()
	l := f.link
	f.link.failedLists = max(0, l.failedLists-1)
	f.mu.Unlock()
	clock.Sleep(ctx, l.listTime)
	return ctx.Err() == nil && l.failedLists == 0
}

// nextAnswerTime returns the extra time until the answer to the next write arrives.
func (f *fleet) nextAnswerTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link.slowAnswers == 0 {
		return 0
	}
	f.link.slowAnswers--
	return f.link.answerTime
}

func (f *fleet) setLink(l link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = l
}

func (f *fleet) isStoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown
}

func (f *fleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

func (f *fleet) currentEventTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eventTime
}

func (f *fleet) setEventTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eventTime = d
}

// rank counts the entries before this one in the list that answered lately.
func (f *fleet) rank(n *node) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := 0
	for _, o := range f.nodes {
		if o == n {
			return r
		}
		if time.Since(n.lastContact[o]) < 4*pingInterval {
			r++
		}
	}
	return r
}

// loopPings pings the other entries, as package front does.
func (f *fleet) loopPings(n *node) {
	for {
		clock.Sleep(n.ctx, pingInterval)
		if !n.running() {
			return
		}
		n.awaitResume()
		nodes, _ := f.processes()
		for _, o := range nodes {
			if o == n {
				continue
			}
			asked := n.Clock.Now()
			time.Sleep(networkLatency)
			if !o.running() || o.suspended() || o.cutOff.Load() || n.cutOff.Load() {
				continue
			}
			f.mu.Lock()
			n.lastContact[o] = time.Now()
			f.mu.Unlock()
			s := o.Status()
			if owner, _ := n.Owner(); owner == o.Addr {
				n.OwnerAnswered(elect.Answer{Asked: asked, Owns: s.OwnedTerm > 0, WithoutStore: s.StoreOutage})
			} else {
				n.OwnerSeenByOther(s.SinceContact)
			}
			n.LearnOwner(s.Term, s.Owner)
		}
	}
}

// owner returns the process that owns the cell, or nil.
func (f *fleet) owner() *node {
	nodes, _ := f.processes()
	for _, n := range nodes {
		if n.running() && !n.suspended() && n.Owns() {
			return n
		}
	}
	return nil
}

// loopJobs submits jobs: it stores a row and notifies the owner.
func (f *fleet) loopJobs() {
	for {
		clock.Sleep(f.ctx, jobInterval)
		if f.ctx.Err() != nil {
			return
		}
		f.jobs++
		j := work.Job{ID: fmt.Sprintf("%016x", f.jobs), Queue: "q", Service: "s", Spec: "x", Steps: []work.Step{{Count: 1, Size: vect.Size{Cores: 100, Memory: 1}, Estimate: 200}}}
		if f.isStoreDown() {
			continue
		}
		data, err := work.Encode(j)
		if err != nil {
			f.t.Error(err)
			return
		}
		if _, err := f.store.Rows().Commit(f.ctx, plat.Txn{Writes: []plat.Write{{Key: sched.JobKey(j.ID), Value: data}}}); err != nil {
			f.t.Error(err)
			return
		}
		if o := f.owner(); o != nil {
			_ = o.Submit(j) // if the owner is resigning, its successor reads the row
		}
	}
}

func (f *fleet) newAgent(i int) *agent {
	a := &agent{
		fleet: f, addr: fmt.Sprintf("10.0.1.%d:1", i), incarnation: work.Life{ID: fmt.Sprintf("w%d", i), Born: time.Now().UnixMilli()},
		reportNow: make(chan struct{}, 1), started: map[work.Run]bool{},
	}
	a.ctx, a.stop = context.WithCancel(f.ctx)
	return a
}

// sendOrder sends an order from an entry to an agent.
func (f *fleet) sendOrder(n *node, addr string, o work.Order) (work.Results, error) {
	n.awaitResume()
	time.Sleep(networkLatency)
	_, agents := f.processes()
	i := slices.IndexFunc(agents, func(a *agent) bool { return a.addr == addr && a.ctx.Err() == nil })
	if i < 0 || !n.running() {
		return work.Results{}, plat.ErrUnavailable
	}
	return agents[i].handleOrder(o), nil
}

// handleOrder starts the runs of an order, unless its term or the worker's
// incarnation is out of date.
func (a *agent) handleOrder(o work.Order) work.Results {
	a.mu.Lock()
	defer a.mu.Unlock()
	res := work.Results{Life: a.incarnation, Term: max(a.term, o.Term)}
	code := work.Started
	switch {
	case o.Term < a.term:
		code = work.Fenced
	case o.Life != a.incarnation:
		code = work.OtherIncarnation
	}
	for _, s := range o.Starts {
		if code == work.Started {
			a.startRun(s.Run, o.Term)
		}
		res.Starts = append(res.Starts, work.Result{Run: s.Run, Code: code})
	}
	a.term = res.Term
	return res
}

// startRun starts a run, once. It must be called with the mutex held.
func (a *agent) startRun(r work.Run, term uint64) {
	if a.started[r] {
		return
	}
	a.started[r] = true
	a.runs = append(a.runs, work.Running{Run: r, Percent: 1})
	a.fleet.mu.Lock()
	a.fleet.starts = append(a.fleet.starts, start{time.Now(), r.Task, term})
	a.fleet.mu.Unlock()
	time.AfterFunc(taskDuration, func() { a.endRun(r) })
}

// endRun ends a run and triggers a report, unless the agent was stopped.
func (a *agent) endRun(r work.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return
	}
	a.runs = slices.DeleteFunc(a.runs, func(x work.Running) bool { return x.Run == r })
	a.lastEnd++
	a.ends = append(a.ends, work.End{N: a.lastEnd, Run: r, How: work.Done})
	select {
	case a.reportNow <- struct{}{}:
	default:
	}
}

// loopReport reports to the owner at once when a run has ended, and otherwise every
// reportInterval.
func (a *agent) loopReport() {
	for a.ctx.Err() == nil {
		if o := a.fleet.owner(); o != nil {
			time.Sleep(networkLatency)
			if rep, err := o.Report(a.buildReport()); err == nil && rep.Term > 0 {
				a.dropStoredEnds(rep)
			}
		}
		clock.Sleep(a.ctx, networkLatency)
		t := time.NewTimer(reportInterval)
		select {
		case <-a.ctx.Done():
		case <-a.reportNow:
		case <-t.C:
		}
		t.Stop()
	}
}

func (a *agent) buildReport() work.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return work.Report{
		Agent: a.addr, Name: a.incarnation.ID, Worker: work.Worker{Life: a.incarnation, Service: "s", Size: vect.Size{Cores: 8000, Memory: 1000}},
		Listed: true, Running: slices.Clone(a.runs), Ends: slices.Clone(a.ends), Unix: time.Now().UnixMilli(),
		Word: work.ReportID{Process: a.incarnation.Born, Sent: time.Duration(time.Now().UnixNano())},
	}
}

// dropStoredEnds removes the ends that the owner has stored from the next report.
func (a *agent) dropStoredEnds(rep work.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends = slices.DeleteFunc(a.ends, func(e work.End) bool { return e.N <= rep.Noted })
}

// firstStartAfter returns how long after the given time the first task was started in
// the given term or a later one, or an hour if none was.
func (f *fleet) firstStartAfter(at time.Time, term uint64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if s.at.After(at) && s.term >= term {
			f.t.Logf("first start of term %d after %v", s.term, s.at.Sub(at))
			return s.at.Sub(at)
		}
	}
	return time.Hour
}

// expectStartedOnce checks that no task was started again after a start for which
// mayRerun is false, and that no start of an earlier term came after one of a later
// term.
func (f *fleet) expectStartedOnce(g *WithT, mayRerun func(start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	var term uint64
	for _, s := range f.starts {
		g.Expect(s.term).To(BeNumerically(">=", term), s.task)
		term = s.term
		g.Expect(seen[s.task]).To(BeFalse(), s.task)
		seen[s.task] = !mayRerun(s)
	}
}

// runFleetTest runs a test of a fleet in virtual time.
func runFleetTest(t *testing.T, test func(g *WithT, f *fleet)) {
	runLimitedFleetTest(t, sched.Limits{}, test)
}

// runLimitedFleetTest runs a test of a fleet whose entries have the given limits.
func runLimitedFleetTest(t *testing.T, limits sched.Limits, test func(g *WithT, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, limits)
		test(NewWithT(t), f)
		cancel()
		f.loops.Wait()
		// Orders that an owner had sent are still on their way, which no loop waits for.
		time.Sleep(time.Second)
	})
}

// noReruns says that no task may start twice.
func noReruns(start) bool { return false }

// When the owner is killed, another entry has to take the cell over and start tasks
// within 3 s, and none twice.
func TestTakeoverAfterOwnerKill(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		g.Expect(f.firstStartAfter(time.Now().Add(-jobInterval*5), 1)).To(BeNumerically("<", 5*jobInterval), "jobs start continuously before the fault")
		_, term := f.owner().Owner()
		f.owner().stop()
		at := time.Now()
		time.Sleep(settleTime)
		g.Expect(f.firstStartAfter(at, term+1)).To(BeNumerically("<=", 3*time.Second))
		f.expectStartedOnce(g, noReruns)
	})
}

// After a planned stop of the owner, the successor that it chose has to take the cell
// over; starts may pause for at most 300 ms.
func TestTakeoverAfterPlannedStop(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		at := time.Now()
		g.Expect(old.Resign(f.ctx)).To(BeTrue())
		next := f.nodes[(slices.Index(f.nodes, old)+1)%len(f.nodes)]
		time.Sleep(networkLatency)
		next.TakeOver()
		time.Sleep(settleTime)
		g.Expect(f.owner()).To(Equal(next), "the chosen successor")
		g.Expect(f.firstStartAfter(at, term+1)).To(BeNumerically("<=", 300*time.Millisecond))
		f.expectStartedOnce(g, noReruns)
	})
}

// All entries and agents lose power and boot a second later. Starts have to resume
// within 4 s. Tasks that were started before the loss may start again, since the
// workers that ran them are gone.
func TestTakeoverAfterFullPowerLoss(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		_, term := f.owner().Owner()
		for _, n := range f.nodes {
			n.stop()
		}
		for _, a := range f.agents {
			a.stop()
		}
		off := time.Now()
		time.Sleep(time.Second)
		at := time.Now()
		f.startProcesses()
		time.Sleep(settleTime)
		g.Expect(f.firstStartAfter(at, term+1)).To(BeNumerically("<=", 4*time.Second))
		f.expectStartedOnce(g, func(s start) bool { return s.at.Before(off) })
	})
}

// An owner that is suspended, for example with its VM, is replaced. When it resumes it
// has to notice that it lost the cell, and must not start anything.
func TestSuspendedOwnerStartsNothingAfterResume(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		old.suspend()
		at := time.Now()
		time.Sleep(settleTime)
		g.Expect(f.firstStartAfter(at, term+1)).To(BeNumerically("<=", 3*time.Second))
		old.resume()
		time.Sleep(settleTime)
		g.Expect(old.Owns()).To(BeFalse())
		f.expectStartedOnce(g, noReruns)
	})
}

// While the store is unavailable for all processes, a takeover would not help. The
// owner has to keep the cell and its term, and start tasks within 2 s of the store's
// return.
func TestNoTakeoverDuringStoreOutage(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		f.setStoreDown(true)
		time.Sleep(2 * settleTime)
		f.setStoreDown(false)
		at := time.Now()
		time.Sleep(settleTime)
		g.Expect(f.owner()).To(Equal(old))
		_, now := old.Owner()
		g.Expect(now).To(Equal(term))
		g.Expect(f.firstStartAfter(at, term)).To(BeNumerically("<=", 2*time.Second))
		f.expectStartedOnce(g, noReruns)
	})
}

// An owner that is cut off from the store and from the other entries is replaced. Its
// successor starts the tasks of silent agents elsewhere after a time that begins with the
// takeover, so the old owner must not go on prolonging the leases of the agents that it
// still reaches.
func TestOwnerWithoutStoreProlongsNoLease(t *testing.T) {
	limits := sched.Limits{}.WithDefaults()
	runFleetTest(t, func(g *WithT, f *fleet) {
		old := f.owner()
		a := f.newAgent(9)
		reply, err := old.Report(a.buildReport())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Renew).To(BeTrue())
		old.cutOff.Store(true)
		renewedAt := time.Now()
		cutAt := renewedAt
		for time.Since(cutAt) < 2*(limits.OwnerTimeout+limits.Lease) {
			time.Sleep(reportInterval)
			if reply, err := old.Report(a.buildReport()); err == nil && reply.Renew {
				renewedAt = time.Now()
			}
		}
		successors := 0
		for _, n := range f.nodes {
			if n != old && n.Owns() {
				successors++
			}
		}
		g.Expect(successors).To(Equal(1), "the cell has a new owner")
		g.Expect(renewedAt.Sub(cutAt)).To(BeNumerically("<", limits.OwnerTimeout), "the last reply that allows a renewal")
	})
}

// A version of the configuration that came into force between the reading of the configuration
// and the end of the takeover never reached the scheduler of the new owner.
func TestTakeoverGetsConfigurationThatComesMeanwhile(t *testing.T) {
	runFleetTest(t, func(g *WithT, f *fleet) {
		earlier := *f.config
		earlier.Version--
		earlier.Queues = slices.Clone(earlier.Queues)
		for i := range earlier.Queues {
			earlier.Queues[i].Service = "other"
		}
		f.earlierConfig.Store(&earlier)
		_, term := f.owner().Owner()
		f.owner().stop()
		at := time.Now()
		time.Sleep(settleTime)
		g.Expect(f.earlierConfig.Load()).To(BeNil(), "the new owner has read it")
		g.Expect(f.firstStartAfter(at, term+1)).To(BeNumerically("<=", 3*time.Second))
	})
}
