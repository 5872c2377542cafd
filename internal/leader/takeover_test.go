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
	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// The fleet below is entries and agents with a worker each, in virtual time. They
// speak by calls in memory that take as long as between two zones, and the store
// answers after 4 ms. Jobs of one short task come all the time, so that the gap
// between two starts shows how long nobody owned the cell.

const (
	storeTakes = 4 * time.Millisecond
	hopTakes   = time.Millisecond
	jobEvery   = 20 * time.Millisecond
	taskTakes  = 200 * time.Millisecond
	// The paces at which entries ping one another and agents report.
	pingPace   = 300 * time.Millisecond
	reportPace = 500 * time.Millisecond
	// settles is how long the fleet runs before anything happens to it.
	settles = 5 * time.Second
)

type fleet struct {
	t      *testing.T
	store  *rows.Store
	config *work.Config
	nodes  []*node
	agents []*agent
	loops  sync.WaitGroup
	ctx    context.Context

	mu     sync.Mutex
	starts []start
	jobs   int
	// dark says that the store gives nobody an answer.
	dark bool
}

// start is a start that an agent carried out.
type start struct {
	at   time.Time
	task string
	term uint64
}

// node is the process of an entry.
type node struct {
	*leader.Leader
	ctx   context.Context
	stop  context.CancelFunc
	heard map[*node]time.Time
	// thawed is closed while the process is not frozen: meanwhile nothing that it
	// sends leaves and nothing that is sent to it is answered.
	thawed atomic.Pointer[chan struct{}]
}

func (n *node) up() bool { return n.ctx.Err() == nil }

func (n *node) freeze() {
	ch := make(chan struct{})
	n.thawed.Store(&ch)
}

func (n *node) thaw() { close(*n.thawed.Load()) }

// frozen reports whether the process stands still.
func (n *node) frozen() bool {
	ch := n.thawed.Load()
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

// await waits until the process is not frozen.
func (n *node) await() {
	if ch := n.thawed.Load(); ch != nil {
		<-*ch
	}
}

// agent is the process beside a worker, with the worker.
type agent struct {
	fleet *fleet
	addr  string
	life  work.Life
	ctx   context.Context
	stop  context.CancelFunc
	news  chan struct{}

	mu    sync.Mutex
	term  uint64
	runs  []work.Running
	ends  []work.End
	n     int64
	begun map[work.Run]bool
}

func newFleet(ctx context.Context, t *testing.T) *fleet {
	f := &fleet{t: t, ctx: ctx, store: &rows.Store{}, config: &work.Config{
		Version: 1, Queues: []work.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Target: 500}},
	}}
	f.boot()
	f.loops.Go(f.loopJobs)
	time.Sleep(settles)
	return f
}

// boot starts all processes; those that ran before are gone.
func (f *fleet) boot() {
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

// now returns the present processes.
func (f *fleet) now() ([]*node, []*agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes, f.agents
}

func (f *fleet) newNode(i int) *node {
	n := &node{heard: map[*node]time.Time{}}
	n.ctx, n.stop = context.WithCancel(f.ctx)
	n.Leader = &leader.Leader{
		Name: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Rows: f.rows(n), Clock: clock.Steady(), Tally: &tally.Set{},
		Config: func() *work.Config { return f.config },
		Rank:   func() int { return f.rank(n) },
		Send:   func(a string, o work.Order) (work.Results, error) { return f.send(n, a, o) },
		Meet:   func(string, work.Order) {},
	}
	return n
}

// rows is the store as a process sees it; a dead one gets no answers.
func (f *fleet) rows(n *node) plat.Rows {
	s := f.store.Rows()
	wait := func(ctx context.Context) error {
		n.await()
		clock.Sleep(ctx, storeTakes)
		if f.isDark() {
			<-ctx.Done()
		}
		if ctx.Err() != nil || !n.up() {
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
			return s.List(ctx, table)
		},
		Feed: func(ctx context.Context, table string, after uint64, d time.Duration) ([]plat.Row, plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return nil, plat.Stamp{}, err
			}
			return s.Feed(ctx, table, after, d)
		},
		Commit: func(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
			if err := wait(ctx); err != nil {
				return plat.Stamp{}, err
			}
			return s.Commit(ctx, txn)
		},
	}
}

func (f *fleet) isDark() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dark
}

func (f *fleet) setDark(dark bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = dark
}

// rank counts the entries before this one that were heard lately.
func (f *fleet) rank(n *node) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := 0
	for _, o := range f.nodes {
		if o == n {
			return r
		}
		if time.Since(n.heard[o]) < 4*pingPace {
			r++
		}
	}
	return r
}

// loopPings pings the other entries, as package front does.
func (f *fleet) loopPings(n *node) {
	for {
		clock.Sleep(n.ctx, pingPace)
		if !n.up() {
			return
		}
		n.await()
		nodes, _ := f.now()
		for _, o := range nodes {
			if o == n {
				continue
			}
			time.Sleep(hopTakes)
			if !o.up() || o.frozen() {
				continue
			}
			f.mu.Lock()
			n.heard[o] = time.Now()
			f.mu.Unlock()
			s := o.Standing()
			if owner, _ := n.Owner(); owner == o.Addr {
				n.Heard(s.Owns > 0, s.Cut)
			} else {
				n.Others(s.Age)
			}
			n.Learn(s.Term, s.Owner)
		}
	}
}

// owner returns the process that owns the cell, or nil.
func (f *fleet) owner() *node {
	nodes, _ := f.now()
	for _, n := range nodes {
		if n.up() && !n.frozen() && n.Owns() {
			return n
		}
	}
	return nil
}

// loopJobs has jobs accepted: a row is stored, and the owner told.
func (f *fleet) loopJobs() {
	for {
		clock.Sleep(f.ctx, jobEvery)
		if f.ctx.Err() != nil {
			return
		}
		f.jobs++
		j := work.Job{ID: fmt.Sprintf("%016x", f.jobs), Queue: "q", Service: "s", Spec: "x", Steps: []work.Step{{Count: 1, Size: vect.Size{Cores: 100, Memory: 1}, Estimate: 200}}}
		if f.isDark() {
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
			_ = o.Submit(j) // an owner that is just leaving hands the job over by its row
		}
	}
}

func (f *fleet) newAgent(i int) *agent {
	a := &agent{
		fleet: f, addr: fmt.Sprintf("10.0.1.%d:1", i), life: work.Life{ID: fmt.Sprintf("w%d", i), Born: time.Now().UnixMilli()},
		news: make(chan struct{}, 1), begun: map[work.Run]bool{},
	}
	a.ctx, a.stop = context.WithCancel(f.ctx)
	return a
}

// send passes an order on to an agent.
func (f *fleet) send(n *node, addr string, o work.Order) (work.Results, error) {
	n.await()
	time.Sleep(hopTakes)
	_, agents := f.now()
	i := slices.IndexFunc(agents, func(a *agent) bool { return a.addr == addr && a.ctx.Err() == nil })
	if i < 0 || !n.up() {
		return work.Results{}, plat.ErrUnavailable
	}
	return agents[i].order(o), nil
}

func (a *agent) order(o work.Order) work.Results {
	a.mu.Lock()
	defer a.mu.Unlock()
	res := work.Results{Life: a.life, Term: max(a.term, o.Term)}
	code := work.Started
	switch {
	case o.Term < a.term:
		code = work.Fenced
	case o.Life != a.life:
		code = work.OtherIncarnation
	}
	for _, s := range o.Starts {
		if code == work.Started {
			a.begin(s.Run, o.Term)
		}
		res.Starts = append(res.Starts, work.Result{Run: s.Run, Code: code})
	}
	a.term = res.Term
	return res
}

// begin starts a run, once. It must be called with the mutex held.
func (a *agent) begin(r work.Run, term uint64) {
	if a.begun[r] {
		return
	}
	a.begun[r] = true
	a.runs = append(a.runs, work.Running{Run: r, Percent: 1})
	a.fleet.mu.Lock()
	a.fleet.starts = append(a.fleet.starts, start{time.Now(), r.Task, term})
	a.fleet.mu.Unlock()
	time.AfterFunc(taskTakes, func() { a.end(r) })
}

func (a *agent) end(r work.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return
	}
	a.runs = slices.DeleteFunc(a.runs, func(x work.Running) bool { return x.Run == r })
	a.n++
	a.ends = append(a.ends, work.End{N: a.n, Run: r, How: work.Done})
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// loopReport reports to the owner: at once what is new, and at a steady pace.
func (a *agent) loopReport() {
	for a.ctx.Err() == nil {
		if o := a.fleet.owner(); o != nil {
			time.Sleep(hopTakes)
			if rep, err := o.Report(a.compose()); err == nil && rep.Term > 0 {
				a.noted(rep)
			}
		}
		clock.Sleep(a.ctx, hopTakes)
		t := time.NewTimer(reportPace)
		select {
		case <-a.ctx.Done():
		case <-a.news:
		case <-t.C:
		}
		t.Stop()
	}
}

func (a *agent) compose() work.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return work.Report{
		Agent: a.addr, Name: a.life.ID, Worker: work.Worker{Life: a.life, Service: "s", Size: vect.Size{Cores: 8000, Memory: 1000}},
		Listed: true, Running: slices.Clone(a.runs), Ends: slices.Clone(a.ends), Unix: time.Now().UnixMilli(),
		Word: work.ReportID{Process: a.life.Born, Sent: time.Duration(time.Now().UnixNano())},
	}
}

func (a *agent) noted(rep work.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends = slices.DeleteFunc(a.ends, func(e work.End) bool { return e.N <= rep.Noted })
}

// after is how long after a moment the first start came that an owner of the given
// term or a later one ordered.
func (f *fleet) after(at time.Time, term uint64) time.Duration {
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

// once checks that no task was started twice, but those of lives that were lost,
// and that no owner sent starts after a newer one had.
func (f *fleet) once(g *WithT, but func(start) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	var term uint64
	for _, s := range f.starts {
		g.Expect(s.term).To(BeNumerically(">=", term), s.task)
		term = s.term
		g.Expect(seen[s.task]).To(BeFalse(), s.task)
		seen[s.task] = !but(s)
	}
}

// inFleet runs a test of a fleet in virtual time.
func inFleet(t *testing.T, test func(g *WithT, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t)
		test(NewWithT(t), f)
		cancel()
		f.loops.Wait()
	})
}

func none(start) bool { return false }

func TestStartsGoOnAfterTheOwnerWasKilled(t *testing.T) {
	inFleet(t, func(g *WithT, f *fleet) {
		g.Expect(f.after(time.Now().Add(-jobEvery*5), 1)).To(BeNumerically("<", 5*jobEvery), "starts come all the time")
		_, term := f.owner().Owner()
		f.owner().stop()
		at := time.Now()
		time.Sleep(settles)
		g.Expect(f.after(at, term+1)).To(BeNumerically("<=", 3*time.Second))
		f.once(g, none)
	})
}

func TestStartsGoOnAfterAPlannedStopOfTheOwner(t *testing.T) {
	inFleet(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		at := time.Now()
		g.Expect(old.Leave(f.ctx)).To(BeTrue())
		next := f.nodes[(slices.Index(f.nodes, old)+1)%len(f.nodes)]
		time.Sleep(hopTakes)
		next.Take()
		time.Sleep(settles)
		g.Expect(f.owner()).To(Equal(next), "the chosen successor")
		g.Expect(f.after(at, term+1)).To(BeNumerically("<=", 300*time.Millisecond))
		f.once(g, none)
	})
}

func TestStartsGoOnAfterAllMachinesLostPower(t *testing.T) {
	inFleet(t, func(g *WithT, f *fleet) {
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
		f.boot()
		time.Sleep(settles)
		g.Expect(f.after(at, term+1)).To(BeNumerically("<=", 4*time.Second))
		f.once(g, func(s start) bool { return s.at.Before(off) })
	})
}

func TestAFrozenOwnerThatWakesStartsNothing(t *testing.T) {
	inFleet(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		old.freeze()
		at := time.Now()
		time.Sleep(settles)
		g.Expect(f.after(at, term+1)).To(BeNumerically("<=", 3*time.Second))
		old.thaw()
		time.Sleep(settles)
		g.Expect(old.Owns()).To(BeFalse())
		f.once(g, none)
	})
}

func TestNobodyChangesPlacesWhileTheStoreIsAwayForAll(t *testing.T) {
	inFleet(t, func(g *WithT, f *fleet) {
		old := f.owner()
		_, term := old.Owner()
		f.setDark(true)
		time.Sleep(2 * settles)
		f.setDark(false)
		at := time.Now()
		time.Sleep(settles)
		g.Expect(f.owner()).To(Equal(old))
		_, now := old.Owner()
		g.Expect(now).To(Equal(term))
		g.Expect(f.after(at, term)).To(BeNumerically("<=", 2*time.Second))
		f.once(g, none)
	})
}
