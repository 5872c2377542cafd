// Package agent is an agent process, which runs beside a minion, a worker or both. It
// does the I/O and keeps the time; package admit decides which calls are passed to the
// minion. For a worker, the agent relays the worker's reports to the owner of its cell
// and the owner's orders to the worker.
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
	"lagoonrack/internal/guard"
	"lagoonrack/internal/httpd"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/relay"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/ticker"
	"lagoonrack/internal/turns"
	"lagoonrack/internal/wire"
)

const (
	// agentService and entryService are the names of the RPC services of agents and
	// of entries.
	agentService = "Agent"
	entryService = "Entry"
	// idlePollInterval is how often a planned stop checks for open calls.
	idlePollInterval = 5 * time.Millisecond
	// defaultAnnounceInterval is the interval between announcements until settings
	// are known.
	defaultAnnounceInterval = time.Second
	// peerTimeout bounds a call to an entry or to the worker.
	peerTimeout = time.Second
	// defaultDrain is how long a planned stop waits for open calls if the settings
	// name no time.
	defaultDrain = 20 * time.Second
	// maxMinionConns is the maximum number of connections to the minion.
	maxMinionConns = 256
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
	draining    atomic.Bool
	started     atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup

	// mu guards core and calls.
	mu    sync.Mutex
	core  admit.Core
	calls map[callKey]*pendingCall

	// entryMu guards entries, turns and owner.
	entryMu sync.Mutex
	// entries holds the RPC addresses of all known entries with the time of their
	// last answer, or of their discovery if they have not answered yet.
	entries map[string]time.Duration
	// turns chooses the entry that is asked for the owner.
	turns turns.Turns
	// owner is the address to which reports are sent: that of the owner of the
	// worker's cell, of an entry that may know it, or "".
	owner string
}

// callKey identifies one attempt of a request.
type callKey struct {
	id      string
	attempt int
}

// pendingCall is a call in progress. Its result goes to all waiters: the first call
// and its duplicates.
type pendingCall struct {
	call    wire.Call
	waiters []chan wire.Result
}

// New returns an agent that is not started yet. It uses the worker only if the
// settings name one.
func New(settings proc.Settings, worker plat.Worker, log logs.Log) (*Agent, error) {
	httpClient, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxMinionConns),
		client.WithResponseBodyStream(false),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		proc:        settings,
		worker:      worker,
		log:         log,
		clock:       clock.New(),
		http:        httpClient,
		incarnation: ulid.Make().String(),
		calls:       map[callKey]*pendingCall{},
		entries:     map[string]time.Duration{},
		turns:       turns.Turns{Name: settings.Name},
	}
	a.ticker = ticker.New(a.tick)
	a.grants.Send, a.grants.Merge = a.sendGrant, mergeGrants
	a.core.Slots = settings.Minion.Slots
	a.core.Incarnation = a.incarnation
	a.setup = setup.Setup{Site: settings.Site, OnApplied: a.settingsApplied, OnRejected: a.settingsRejected}
	for _, e := range settings.Entries {
		a.entries[e] = 0
	}
	return a, nil
}

// Start opens the addresses and starts to serve.
func (a *Agent) Start() error {
	var err error
	if a.peer, err = rpcs.Listen(a.proc.Peer, map[string]any{agentService: &Peer{agent: a}}); err != nil {
		return err
	}
	if a.operator, err = httpd.NewGate(a.proc.Inflow, a.log, &a.tally).Listen(a.proc.Operator, 1<<20); err != nil {
		a.peer.Close()
		return err
	}
	a.operator.Guard = a.guard()
	httpd.RegisterMonitoring(a.operator, &a.tally, a.isReady)
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

// Addr returns the RPC address, which entries use.
func (a *Agent) Addr() string { return a.peer.Addr() }

// Operator returns the HTTP address of the metrics and the health checks.
func (a *Agent) Operator() string { return a.operator.Addr() }

// Tally returns the process's metrics.
func (a *Agent) Tally() *tally.Set { return &a.tally }

// guard returns what ends a call that panics, and only that call.
func (a *Agent) guard() guard.Guard { return guard.Guard{Log: a.log, Tally: &a.tally} }

func (a *Agent) isReady() bool { return a.started.Load() && !a.draining.Load() }

// settingsApplied is called with each version of the settings that is in force.
func (a *Agent) settingsApplied(v setup.Accepted, s conf.Settings) {
	if svc, ok := s.Service(a.proc.Minion.Service); ok {
		a.mu.Lock()
		a.core.Queue = svc.Spare
		a.core.ExtraGrants = svc.Spare
		a.mu.Unlock()
	}
	a.log.Info(logs.Applied, logs.Fields{"version": v.Version, "by": v.By})
}

// settingsRejected is called with each version of the settings that is not valid.
func (a *Agent) settingsRejected(version uint64, err error) {
	a.log.Error(logs.SettingsRejected, err, logs.Fields{"version": version})
}

// announceInterval returns the interval between announcements.
func (a *Agent) announceInterval() time.Duration {
	if _, s := a.setup.Now(); s.Lease.Beat > 0 {
		return s.Lease.Beat.Std()
	}
	return defaultAnnounceInterval
}

// tick notifies the admit core of the time, and reports whether it needs more ticks.
func (a *Agent) tick() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(admit.Tick{})
	return a.core.NeedsTick()
}

// Stop is a planned stop. The agent announces to every entry that it is draining,
// rejects new calls, finishes the open ones and ends. The owner of the worker's cell
// moves those tasks of the worker that may be moved; the others continue until their
// leases expire, unless a restarted agent has the leases renewed first.
func (a *Agent) Stop() {
	if a.draining.Swap(true) {
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

// replyFlushTime is the time for sending the last replies before the connections are
// closed.
const replyFlushTime = 50 * time.Millisecond

// waitIdle waits until no calls are open and the last replies are sent.
func (a *Agent) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		open := a.core.OpenCalls() + len(a.calls)
		a.mu.Unlock()
		if open == 0 {
			break
		}
		time.Sleep(idlePollInterval)
	}
	time.Sleep(replyFlushTime)
}

// Kill ends the agent at once, like a crash.
func (a *Agent) Kill() {
	a.cancel()
	a.peer.Close()
	a.pool.Close()
	_ = a.operator.Close()
}

func (a *Agent) String() string { return fmt.Sprintf("agent %s", a.proc.Name) }
