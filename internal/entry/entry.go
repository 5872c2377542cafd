// Package entry implements the entry process, the front-end proxy and scheduler.
// It holds the listeners, timers and goroutines, and passes events to cores that
// do no I/O themselves. Package route decides where callers' requests are sent,
// package owner runs the cells, and packages setup, roster and claim handle the
// settings, the list of entries and the claims of idempotency keys.
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
	"lagoonrack/internal/guard"
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
	// openPollInterval is how often a planned stop checks for open requests.
	openPollInterval = 5 * time.Millisecond
	// bodyLimit bounds every request body, in bytes; the limit of a service is
	// lower.
	bodyLimit = 64 << 20
	// defaultDrain bounds a planned stop after its notice period. defaultNotice
	// is the notice period: the time in which load balancers notice that the
	// entry is no longer ready.
	defaultDrain  = 20 * time.Second
	defaultNotice = 2 * time.Second
)

// Entry is an entry process. New makes one, and Start runs it.
type Entry struct {
	proc   proc.Settings
	table  plat.Table
	store  plat.Store
	log    logs.Log
	tally  tally.Set
	clock  clock.Clock
	recent recent.Requests

	// OnAnswer is called for each answer to a caller. It may be nil.
	OnAnswer func(id string, o wire.Outcome)
	// OnDecision is called for each decision about a task. It may be nil.
	OnDecision func(cell.Decision)

	pool     rpcs.Pool
	bids     relay.Relay[route.Bid]
	ticker   *ticker.Ticker
	peer     *rpcs.Server
	caller   *httpd.Server
	operator *httpd.Server
	roster   roster.Roster
	setup    setup.Setup
	ready    atomic.Bool
	stopping atomic.Bool
	cancel   context.CancelFunc
	loops    sync.WaitGroup

	// mu guards core, calls and agents. calls holds the requests in progress by
	// their IDs, and agents the settings versions of agents by their names.
	mu     sync.Mutex
	core   route.Core
	calls  map[string]*pending
	agents map[string]agentVersion

	// ownersMu guards owners, which holds this process's part in each cell by
	// the cell's name.
	ownersMu sync.Mutex
	owners   map[string]*cellOwner
	ctx      context.Context
}

// pending is a caller's request in progress.
type pending struct {
	call   wire.Call
	answer chan route.Answer
}

// agentVersion is the settings version that an agent last announced, and when.
type agentVersion struct {
	version     uint64
	lastContact time.Duration
}

// cellOwner is this process's part in a cell, with the function that ends it.
type cellOwner struct {
	*owner.Owner
	cancel context.CancelFunc
}

// New returns an entry that has not been started.
func New(p proc.Settings, table plat.Table, store plat.Store, log logs.Log) *Entry {
	e := &Entry{
		proc:   p,
		table:  table,
		store:  store,
		log:    log,
		clock:  clock.New(),
		calls:  map[string]*pending{},
		agents: map[string]agentVersion{},
		owners: map[string]*cellOwner{},
	}
	e.bids.Send = e.bid
	e.ticker = ticker.New(e.tick)
	e.core.Seed = uint64(e.clock.StartUnixMilli())
	e.setup = setup.Setup{Table: table, Site: p.Site, OnApplied: e.settingsApplied, OnRejected: e.settingsRejected}
	return e
}

// Start opens the listeners and begins to serve.
func (e *Entry) Start() error {
	var err error
	if e.peer, err = rpcs.Listen(e.proc.Peer, map[string]any{peerName: &Peer{entry: e}}); err != nil {
		return err
	}
	gate := httpd.NewGate(e.proc.Inflow, e.log, &e.tally)
	if e.caller, err = gate.ListenClients(e.proc.Caller, bodyLimit); err != nil {
		e.peer.Close()
		return err
	}
	if e.operator, err = gate.Listen(e.proc.Operator, bodyLimit); err != nil {
		e.peer.Close()
		return err
	}
	e.caller.Guard, e.operator.Guard = e.guard(), e.guard()
	e.caller.NoRoute(e.serve)
	httpd.RegisterMonitoring(e.operator, &e.tally, e.ready.Load)
	e.registerOperatorRoutes()
	e.registerGauges()
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
	e.loops.Go(func() { e.roster.Run(e.ctx, e.updateMember) })
	e.loops.Go(func() { e.ticker.Run(e.ctx) })
	e.loops.Go(func() { e.pollPeers(e.ctx) })
	e.caller.Start()
	e.operator.Start()
	e.log.Info(logs.Started, logs.Fields{"caller": e.Caller(), "operator": e.Operator(), "peer": e.PeerAddr()})
	return nil
}

// Caller returns the address that callers send requests to.
func (e *Entry) Caller() string { return e.caller.Addr() }

// Operator returns the address that operators send requests to.
func (e *Entry) Operator() string { return e.operator.Addr() }

// PeerAddr returns the address for net/rpc calls from other processes.
func (e *Entry) PeerAddr() string { return e.peer.Addr() }

// Tally returns the process's metrics.
func (e *Entry) Tally() *tally.Set { return &e.tally }

// registerGauges registers the metrics that are computed at each scrape.
func (e *Entry) registerGauges() {
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

// guard returns what ends a call that panics, and only that call.
func (e *Entry) guard() guard.Guard { return guard.Guard{Log: e.log, Tally: &e.tally} }

// storeFailed counts and logs an error of the platform's table.
func (e *Entry) storeFailed(step string, err error) {
	e.tally.Inc("lagoon_store_errors_total", "step", step)
	e.log.Error(logs.StoreOperationFailed, err, logs.Fields{"step": step})
}

// settingsRejected logs a version of the settings that is not valid.
func (e *Entry) settingsRejected(version uint64, err error) {
	e.log.Error(logs.SettingsRejected, err, logs.Fields{"version": version})
}

// updateMember sets the fields of the entry's roster row that change: the version
// of the settings, the number of agents and the agents with older settings.
func (e *Entry) updateMember(m roster.Member) roster.Member {
	a, _ := e.setup.Now()
	m.Version = a.Version
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireAgents()
	m.Agents = len(e.agents)
	for name, n := range e.agents {
		if n.version < a.Version {
			m.Stale = append(m.Stale, name)
		}
	}
	return m
}

// tick steps the route core with the current time, and reports whether the core
// needs frequent ticks because it holds requests.
func (e *Entry) tick() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(route.Tick{})
	return e.core.Busy()
}

// agentTimeout is the time since its last contact after which an agent is removed
// from Entry.agents, and so no longer counted.
const agentTimeout = 5 * time.Second

// expireAgents removes the agents whose last contact is older than agentTimeout.
// It must be called with e.mu held.
func (e *Entry) expireAgents() {
	now := e.clock.Now()
	for name, n := range e.agents {
		if now-n.lastContact > agentTimeout {
			delete(e.agents, name)
		}
	}
}

// pollPeers asks the other entries for newer settings every second, so that an
// entry that starts while the table is unavailable can serve.
func (e *Entry) pollPeers(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		for _, p := range e.roster.Peers() {
			e.fetchSettings(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// fetchSettings applies the settings of another entry if they are newer.
func (e *Entry) fetchSettings(ctx context.Context, addr string) {
	now, _ := e.setup.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a setup.Accepted
	if err := e.pool.Get(addr).Call(ctx, peerName+".Newer", now.Version, &a); err != nil {
		return
	}
	e.setup.ApplyIfNewer(a)
}

// settingsApplied is called with each version of the settings that comes into
// force. It passes them to the route core and the cells.
func (e *Entry) settingsApplied(a setup.Accepted, s conf.Settings) {
	e.mu.Lock()
	e.core.Configure(limitsOf(s))
	e.mu.Unlock()
	e.configureOwners(s)
	e.ready.Store(!e.stopping.Load())
	e.log.Info(logs.Applied, logs.Fields{"version": a.Version, "by": a.By})
}

// limitsOf translates the settings of the services for the route core.
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

// cellLimits translates the settings for the cells' cores.
func cellLimits(s conf.Settings) cell.Limits {
	l := cell.Limits{
		RunLease:       s.Lease.Run.Std(),
		HeartbeatWait:  s.Lease.Beat.Std(),
		OwnerLease:     s.Lease.Owner.Std(),
		Outage:         s.Lease.Outage.Std(),
		CommitInterval: s.Lease.Page.Std(),
		Attempts:       s.Jobs.Attempts,
		Tasks:          s.Jobs.Tasks,
		Teams:          map[string]vect.Size{},
	}
	if s.Guard.On {
		l.Headroom = s.Guard.Spare
	}
	for _, t := range s.Teams {
		l.Teams[t.Name] = t.Quota()
	}
	for _, n := range s.Nodes {
		l.Largest = append(l.Largest, n.Size())
	}
	return l
}

// configureOwners starts an owner for each new cell, ends the owners of removed
// cells, and passes the settings to the others.
func (e *Entry) configureOwners(s conf.Settings) {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	if e.stopping.Load() {
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

// addOwner starts this process's part in a cell. It must be called with
// e.ownersMu held.
func (e *Entry) addOwner(name string, l cell.Limits) {
	o := &owner.Owner{
		Cell:        name,
		Name:        e.proc.Name,
		Addr:        e.peer.Addr(),
		Table:       e.table,
		Store:       e.store,
		Log:         e.log,
		Tally:       &e.tally,
		Limits:      l,
		Seed:        e.core.Seed,
		OnDecision:  e.OnDecision,
		IsCandidate: func() bool { return e.isCandidate(name) },
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.owners[name] = &cellOwner{Owner: o, cancel: cancel}
	e.loops.Go(func() { o.Run(ctx) })
}

// candidatesPerCell is the number of entries of a site that watch a cell at short
// intervals and may take it over.
const candidatesPerCell = 3

// isCandidate reports whether this entry is one of the candidatesPerCell live
// entries of its site that rank highest for a cell. The rank is a hash of both
// names (rendezvous hashing).
func (e *Entry) isCandidate(cell string) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(cell + "/" + name) }
	ownRank := rank(e.proc.Name)
	higherRanked := 0
	for _, m := range e.roster.Members() {
		if m.Site == e.proc.Site && rank(m.Name) > ownRank {
			higherRanked++
		}
	}
	return higherRanked < candidatesPerCell
}

// owner returns this process's part in a cell, or nil if there is no such cell.
func (e *Entry) owner(name string) *owner.Owner {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	if o := e.owners[name]; o != nil {
		return o.Owner
	}
	return nil
}

// Stop is a planned stop. The entry reports that it is not ready, continues to
// serve during the notice period so that load balancers stop using it, hands its
// cells over, finishes the open requests and ends.
func (e *Entry) Stop() {
	if e.stopping.Swap(true) {
		return
	}
	e.ready.Store(false)
	e.log.Info(logs.Stopping, nil)
	time.Sleep(cmp.Or(e.proc.Notice.Std(), defaultNotice))
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(e.proc.Drain.Std(), defaultDrain))
	defer cancel()
	e.handOverCells(ctx)
	e.step(route.Drain{})
	e.caller.Stop(ctx)
	e.waitForOpenRequests(ctx)
	_ = e.roster.Leave(ctx)
	e.cancel()
	e.loops.Wait()
	e.operator.Stop(ctx)
	e.peer.Close()
	e.pool.Close()
	e.log.Info(logs.Stopped, nil)
}

// handOverCells hands all cells over in parallel and returns when that is done or
// the context ends.
func (e *Entry) handOverCells(ctx context.Context) {
	e.ownersMu.Lock()
	var all []*cellOwner
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

// waitForOpenRequests returns when every request is answered or the context ends.
func (e *Entry) waitForOpenRequests(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := e.core.Open()
		e.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(openPollInterval)
	}
}

// Kill ends the entry at once, without the steps of a planned stop, to simulate a
// crash.
func (e *Entry) Kill() {
	e.cancel()
	e.peer.Close()
	e.pool.Close()
	_ = e.caller.Close()
	_ = e.operator.Close()
}
