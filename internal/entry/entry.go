// Package entry is the shell of an entry process: it owns the sockets and
// timers and feeds the cores. Callers' requests go through the route core;
// cells are run by package owner; settings, the roster of entries and claims of
// idempotency keys each have their own package.
package entry

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/owner"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/relay"
	"lagoonrack/internal/roster"
	"lagoonrack/internal/route"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/ticker"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

const (
	// openEvery is how often a planned stop looks for requests still open.
	openEvery = 5 * time.Millisecond
	// bodyLimit bounds every request body; a service's own limit is lower.
	bodyLimit = 64 << 20
	// defaultDrain bounds a planned stop, and defaultNotice is how long a
	// balancer takes to see that the entry is not ready.
	defaultDrain  = 20 * time.Second
	defaultNotice = 2 * time.Second
)

// Entry is an entry process. Use New, then Start.
type Entry struct {
	proc   proc.Settings
	table  plat.Table
	store  plat.Store
	log    logs.Log
	tally  tally.Set
	clock  clock.Clock
	recent recent.Requests

	// Answered is told of each answer to a caller. It may be nil.
	Answered func(id string, o wire.Outcome)
	// Decided is told of each decision on a task. It may be nil.
	Decided func(cell.Note)

	pool     rpcs.Pool
	bids     relay.Relay[route.Bid]
	ticker   *ticker.Ticker
	peer     *rpcs.Server
	caller   *httpd.Server
	operator *httpd.Server
	roster   roster.Roster
	setup    setup.Setup
	ready    atomic.Bool
	leaving  atomic.Bool
	cancel   context.CancelFunc
	loops    sync.WaitGroup

	// mu guards core, calls and agents.
	mu     sync.Mutex
	core   route.Core
	calls  map[string]*pending
	agents map[string]agentNews

	// ownersMu guards owners.
	ownersMu sync.Mutex
	owners   map[string]*owned
	ctx      context.Context
}

// pending is a caller's request in progress.
type pending struct {
	call   wire.Call
	answer chan route.Answer
}

// agentNews is the version that an agent runs, as last announced.
type agentNews struct {
	version uint64
	at      time.Duration
}

// owned is an owner with the means to end it.
type owned struct {
	*owner.Owner
	cancel context.CancelFunc
}

// New returns an entry that is not started yet.
func New(p proc.Settings, table plat.Table, store plat.Store, log logs.Log) *Entry {
	e := &Entry{
		proc:   p,
		table:  table,
		store:  store,
		log:    log,
		clock:  clock.New(),
		calls:  map[string]*pending{},
		agents: map[string]agentNews{},
		owners: map[string]*owned{},
	}
	e.bids.Send = e.bid
	e.ticker = ticker.New(e.tick)
	e.core.Seed = uint64(e.clock.Epoch())
	e.setup = setup.Setup{Table: table, Site: p.Site, Applied: e.applied, Refused: e.refused}
	return e
}

// Start opens the addresses and begins to serve.
func (e *Entry) Start() error {
	var err error
	if e.peer, err = rpcs.Listen(e.proc.Peer, map[string]any{peerName: &Peer{entry: e}}); err != nil {
		return err
	}
	if e.caller, err = httpd.Listen(e.proc.Caller, bodyLimit); err != nil {
		e.peer.Close()
		return err
	}
	if e.operator, err = httpd.Listen(e.proc.Operator, bodyLimit); err != nil {
		e.peer.Close()
		return err
	}
	e.caller.NoRoute(e.serve)
	httpd.Observe(e.operator, &e.tally, e.ready.Load)
	e.operate()
	e.gauges()
	e.roster.Self = roster.Member{
		Name:     e.proc.Name,
		Site:     e.proc.Site,
		Zone:     e.proc.Zone,
		Peer:     e.peer.Addr(),
		Operator: e.operator.Addr(),
	}
	e.roster.Table = e.table
	e.roster.OnError = e.storeFailed
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.loops.Go(func() { e.setup.Run(e.ctx, e.storeFailed) })
	e.loops.Go(func() { e.roster.Run(e.ctx, e.describe) })
	e.loops.Go(func() { e.ticker.Run(e.ctx) })
	e.loops.Go(func() { e.loopPeers(e.ctx) })
	e.caller.Start()
	e.operator.Start()
	e.log.Info(logs.Started, logs.Fields{"caller": e.Caller(), "operator": e.Operator(), "peer": e.PeerAddr()})
	return nil
}

// Caller returns the address for callers.
func (e *Entry) Caller() string { return e.caller.Addr() }

// Operator returns the address for operators.
func (e *Entry) Operator() string { return e.operator.Addr() }

// PeerAddr returns the address for other processes of the system.
func (e *Entry) PeerAddr() string { return e.peer.Addr() }

// Tally returns the process's metrics.
func (e *Entry) Tally() *tally.Set { return &e.tally }

func (e *Entry) gauges() {
	e.tally.Gauge(func() float64 {
		a, _ := e.setup.Now()
		return float64(a.Version)
	}, "lagoon_settings_version")
	e.tally.Gauge(func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.core.Open())
	}, "lagoon_requests_open")
	e.tally.Gauge(func() float64 { return float64(e.pool.Traffic.In() + e.peer.Traffic.In()) }, "lagoon_peer_bytes", "way", "in")
	e.tally.Gauge(func() float64 { return float64(e.pool.Traffic.Out() + e.peer.Traffic.Out()) }, "lagoon_peer_bytes", "way", "out")
}

func (e *Entry) storeFailed(step string, err error) {
	e.tally.Inc("lagoon_store_errors_total", "step", step)
	e.log.Error(logs.StoreDown, err, logs.Fields{"step": step})
}

func (e *Entry) refused(version uint64, err error) {
	e.log.Error(logs.Refused, err, logs.Fields{"version": version})
}

// describe fills the changing parts of the entry's row.
func (e *Entry) describe(m roster.Member) roster.Member {
	a, _ := e.setup.Now()
	m.Version = a.Version
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetAgents()
	m.Agents = len(e.agents)
	for name, n := range e.agents {
		if n.version < a.Version {
			m.Stale = append(m.Stale, name)
		}
	}
	return m
}

// tick lets time pass for the route core, and reports whether requests are
// open.
func (e *Entry) tick() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(route.Tick{})
	return e.core.Busy()
}

// agentLapse is the silence after which an agent no longer counts as one that
// the settings have yet to reach.
const agentLapse = 5 * time.Second

// forgetAgents must be called with the mutex held.
func (e *Entry) forgetAgents() {
	now := e.clock.Now()
	for name, n := range e.agents {
		if now-n.at > agentLapse {
			delete(e.agents, name)
		}
	}
}

// loopPeers asks the other entries for newer settings while this one has none,
// so that an entry that starts in an outage of the table can serve.
func (e *Entry) loopPeers(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		for _, p := range e.roster.Peers() {
			e.fetch(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// fetch takes the settings of another entry if they are newer.
func (e *Entry) fetch(ctx context.Context, addr string) {
	now, _ := e.setup.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a setup.Accepted
	if err := e.pool.Get(addr).Call(ctx, peerName+".Newer", now.Version, &a); err != nil {
		return
	}
	e.setup.Take(a)
}

// applied brings a version of the settings into force.
func (e *Entry) applied(a setup.Accepted, s conf.Settings) {
	e.mu.Lock()
	e.core.Configure(limitsOf(s))
	e.mu.Unlock()
	e.configureOwners(s)
	e.ready.Store(!e.leaving.Load())
	e.log.Info(logs.Applied, logs.Fields{"version": a.Version, "by": a.By})
}

func limitsOf(s conf.Settings) []route.Limits {
	var out []route.Limits
	for _, v := range s.Services {
		out = append(out, route.Limits{
			Service:           v.Name,
			Timeout:           v.Timeout.Std(),
			Queue:             v.Queue,
			Retries:           v.Retries,
			TokensPerRequest:  v.Rate,
			Hedge:             v.Hedge,
			UnresponsiveAfter: s.Lease.Silent.Std(),
			EjectAfter:        v.Eject,
			AgentQueue:        v.Push,
		})
	}
	return out
}

// cellLimits translates the settings for the cells.
func cellLimits(s conf.Settings) cell.Limits {
	l := cell.Limits{
		Run:      s.Lease.Run.Std(),
		Beat:     s.Lease.Beat.Std(),
		Owner:    s.Lease.Owner.Std(),
		Outage:   s.Lease.Outage.Std(),
		Gap:      s.Lease.Page.Std(),
		Attempts: s.Jobs.Attempts,
		Tasks:    s.Jobs.Tasks,
		Teams:    map[string]vect.Size{},
	}
	if s.Guard.On {
		l.Spare = s.Guard.Spare
	}
	for _, t := range s.Teams {
		l.Teams[t.Name] = t.Quota()
	}
	for _, n := range s.Nodes {
		l.Largest = append(l.Largest, n.Size())
	}
	return l
}

// configureOwners starts an owner for each new cell, ends those of cells that
// are gone, and passes the settings to the rest.
func (e *Entry) configureOwners(s conf.Settings) {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	if e.leaving.Load() {
		return
	}
	want := map[string]bool{}
	for _, c := range s.Cells {
		want[c.Name] = true
		if o := e.owners[c.Name]; o != nil {
			o.Configure(cellLimits(s))
			continue
		}
		e.addOwner(c.Name, cellLimits(s))
	}
	for name, o := range e.owners {
		if !want[name] {
			o.cancel()
			delete(e.owners, name)
		}
	}
}

func (e *Entry) addOwner(name string, l cell.Limits) {
	o := &owner.Owner{
		Cell:   name,
		Name:   e.proc.Name,
		Addr:   e.peer.Addr(),
		Table:  e.table,
		Store:  e.store,
		Log:    e.log,
		Tally:  &e.tally,
		Limits: l,
		Seed:   e.core.Seed,
		Watch:  e.Decided,
		Close:  func() bool { return e.closeTo(name) },
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.owners[name] = &owned{Owner: o, cancel: cancel}
	e.loops.Go(func() { o.Run(ctx) })
}

// closeWatchers is the number of entries of a site that watch a cell closely.
const closeWatchers = 3

// closeTo reports whether this entry is one of those that rank highest for a
// cell by the hash of both names, among the entries that are alive.
func (e *Entry) closeTo(cell string) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(cell + "/" + name) }
	mine := rank(e.proc.Name)
	higher := 0
	for _, m := range e.roster.Members() {
		if m.Site == e.proc.Site && rank(m.Name) > mine {
			higher++
		}
	}
	return higher < closeWatchers
}

// owner returns this process's part in a cell.
func (e *Entry) owner(name string) *owner.Owner {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	if o := e.owners[name]; o != nil {
		return o.Owner
	}
	return nil
}

// Stop is a planned stop: the entry turns not ready, serves on until the
// balancer has seen that, hands its cells over, finishes what it has and ends.
func (e *Entry) Stop() {
	if e.leaving.Swap(true) {
		return
	}
	e.ready.Store(false)
	e.log.Info(logs.Stopping, nil)
	time.Sleep(cmp.Or(e.proc.Notice.Std(), defaultNotice))
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(e.proc.Drain.Std(), defaultDrain))
	defer cancel()
	e.handOver(ctx)
	e.step(route.Drain{})
	e.caller.Stop(ctx)
	e.waitOpen(ctx)
	_ = e.roster.Leave(ctx)
	e.cancel()
	e.loops.Wait()
	e.operator.Stop(ctx)
	e.peer.Close()
	e.pool.Close()
	e.log.Info(logs.Stopped, nil)
}

func (e *Entry) handOver(ctx context.Context) {
	e.ownersMu.Lock()
	var all []*owned
	for _, o := range e.owners {
		all = append(all, o)
	}
	e.ownersMu.Unlock()
	var wait sync.WaitGroup
	for _, o := range all {
		wait.Go(func() { o.Leave(ctx) })
	}
	wait.Wait()
}

func (e *Entry) waitOpen(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := e.core.Open()
		e.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(openEvery)
	}
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	e.peer.Close()
	e.pool.Close()
	_ = e.caller.Close()
	_ = e.operator.Close()
}
