// Package agent is the shell of an agent process, which runs beside a minion, a
// worker or both. Calls go through the admit core; a worker's reports and
// orders are relayed between the worker and the owner of its cell.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/relay"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/ticker"
	"lagoonrack/internal/wire"
)

const (
	// peerName is the name of the agents' peer service, and entryName that of
	// the entries'.
	peerName  = "Agent"
	entryName = "Entry"
	// openEvery is how often a planned stop looks for calls still open.
	openEvery = 5 * time.Millisecond
	// defaultBeat is the pace of announcements until settings are known.
	defaultBeat  = time.Second
	peerTimeout  = time.Second
	defaultDrain = 20 * time.Second
	// connections bounds the connections to the minion.
	connections = 256
)

// Agent is an agent process. Use New, then Start.
type Agent struct {
	proc   proc.Settings
	worker plat.Worker
	log    logs.Log
	tally  tally.Set
	clock  clock.Clock
	pool   rpcs.Pool
	grants relay.Relay[admit.Grant]
	ticker *ticker.Ticker
	http   *client.Client

	incarnation string
	peer        *rpcs.Server
	operator    *httpd.Server
	setup       setup.Setup
	leaving     atomic.Bool
	started     atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup

	// mu guards core and calls.
	mu    sync.Mutex
	core  admit.Core
	calls map[callKey]*pending

	// entryMu guards entries and owner.
	entryMu sync.Mutex
	// entries holds the peer addresses of all known entries with the time of
	// their last answer.
	entries map[string]time.Duration
	// owner is the address of the process that owns the worker's cell, or "".
	owner string
}

type callKey struct {
	id      string
	attempt int
}

// pending is a call in progress, which each copy of it waits for.
type pending struct {
	call    wire.Call
	waiters []chan wire.Result
}

// New returns an agent that is not started yet. The worker is used only if the
// settings name one.
func New(p proc.Settings, worker plat.Worker, log logs.Log) (*Agent, error) {
	h, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(connections),
		client.WithResponseBodyStream(false),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		proc:        p,
		worker:      worker,
		log:         log,
		clock:       clock.New(),
		http:        h,
		incarnation: ulid.Make().String(),
		calls:       map[callKey]*pending{},
		entries:     map[string]time.Duration{},
	}
	a.ticker = ticker.New(a.tick)
	a.grants.Send, a.grants.Merge = a.grant, mergeGrants
	a.core.Slots = p.Minion.Slots
	a.core.Incarnation = a.incarnation
	a.setup = setup.Setup{Site: p.Site, Applied: a.applied, Refused: a.refused}
	for _, e := range p.Entries {
		a.entries[e] = 0
	}
	return a, nil
}

// Start opens the addresses and begins to serve.
func (a *Agent) Start() error {
	var err error
	if a.peer, err = rpcs.Listen(a.proc.Peer, map[string]any{peerName: &Peer{agent: a}}); err != nil {
		return err
	}
	if a.operator, err = httpd.Listen(a.proc.Operator, 1<<20); err != nil {
		a.peer.Close()
		return err
	}
	httpd.Observe(a.operator, &a.tally, a.isReady)
	a.tally.Gauge(func() float64 {
		v, _ := a.setup.Now()
		return float64(v.Version)
	}, "lagoon_settings_version")
	a.tally.Gauge(func() float64 { return float64(a.pool.Traffic.In() + a.peer.Traffic.In()) }, "lagoon_peer_bytes", "way", "in")
	a.tally.Gauge(func() float64 { return float64(a.pool.Traffic.Out() + a.peer.Traffic.Out()) }, "lagoon_peer_bytes", "way", "out")
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.loops.Go(func() { a.loopAnnounce(a.ctx) })
	if a.proc.Minion.Service != "" {
		a.loops.Go(func() { a.ticker.Run(a.ctx) })
	}
	if a.proc.Worker.Name != "" {
		a.loops.Go(func() { a.loopWorker(a.ctx) })
	}
	a.operator.Start()
	a.started.Store(true)
	a.log.Info(logs.Started, logs.Fields{"peer": a.Addr(), "operator": a.Operator(), "incarnation": a.incarnation})
	return nil
}

// Addr returns the address for other processes of the system.
func (a *Agent) Addr() string { return a.peer.Addr() }

// Operator returns the address for operators.
func (a *Agent) Operator() string { return a.operator.Addr() }

// Tally returns the process's metrics.
func (a *Agent) Tally() *tally.Set { return &a.tally }

func (a *Agent) isReady() bool { return a.started.Load() && !a.leaving.Load() }

// applied brings a version of the settings into force.
func (a *Agent) applied(v setup.Accepted, s conf.Settings) {
	if svc, ok := s.Service(a.proc.Minion.Service); ok {
		a.mu.Lock()
		a.core.Queue = svc.Spare
		a.core.ExtraGrants = svc.Spare
		a.mu.Unlock()
	}
	a.log.Info(logs.Applied, logs.Fields{"version": v.Version, "by": v.By})
}

func (a *Agent) refused(version uint64, err error) {
	a.log.Error(logs.Refused, err, logs.Fields{"version": version})
}

// beat returns the pace of announcements.
func (a *Agent) beat() time.Duration {
	if _, s := a.setup.Now(); s.Lease.Beat > 0 {
		return s.Lease.Beat.Std()
	}
	return defaultBeat
}

// tick lets time pass for the admit core, and reports whether it waits for more.
func (a *Agent) tick() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(admit.Tick{})
	return a.core.NeedsTick()
}

// Stop is a planned stop: the agent tells every entry, refuses new work,
// finishes what it has and ends. The worker beside it is emptied by its owner
// as far as tasks may move; the rest goes on under its lease.
func (a *Agent) Stop() {
	if a.leaving.Swap(true) {
		return
	}
	a.log.Info(logs.Stopping, nil)
	a.step(admit.Drain{})
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(a.proc.Drain.Std(), defaultDrain))
	defer cancel()
	a.announceAll(ctx)
	a.waitIdle(ctx)
	a.cancel()
	a.loops.Wait()
	a.operator.Stop(ctx)
	a.peer.Close()
	a.pool.Close()
	a.log.Info(logs.Stopped, nil)
}

// lastReplies is the time that answers on their way get before the connections
// are closed.
const lastReplies = 50 * time.Millisecond

func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		n := a.core.OpenCalls() + len(a.calls)
		a.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(openEvery)
	}
	time.Sleep(lastReplies)
}

// Kill ends the agent at once, as a crash would.
func (a *Agent) Kill() {
	a.cancel()
	a.peer.Close()
	a.pool.Close()
	_ = a.operator.Close()
}

func (a *Agent) String() string { return fmt.Sprintf("agent %s", a.proc.Name) }
