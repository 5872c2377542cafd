// Package front implements the entry's handling of jobs with steps. Any entry
// accepts a job with one conditional write to the store and then notifies the cell's
// owner. The state of a job is asked of the owner, and read from the store if the
// owner does not answer. The configuration comes from the store's feed of changes,
// and from other entries if they have a newer one.
package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/advice"
	"lagoonrack/internal/await"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/guard"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/quota"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/skips"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// Front handles the jobs, the configuration and the peers of one entry. The exported
// fields must be set before Start.
type Front struct {
	Name, Zone string
	// Listen is the address on which other processes of the system call this entry.
	Listen string
	// Weight is how well suited the machine is to run the owner of the cell, by its
	// processors and its link. The entry with the highest weight is preferred.
	Weight int64
	Rows   plat.Rows
	// Table and Key name the row with the operators' configuration, and Parse
	// reads it.
	Table, Key string
	Parse      func([]byte) (*work.Config, error)
	// ZonePrefix begins the keys of the rows that evacuate a zone; the zone's name follows.
	// The rows are in Table.
	ZonePrefix string
	// Advise asks the advisor which workers may run a step.
	Advise func(ctx context.Context, q advice.Question) (sched.Advice, error)
	Clock  clock.Clock
	Log    logs.Log
	Tally  *tally.Set
	Limits sched.Limits
	// Notice is how long an entry still serves callers in a planned stop after it
	// became not ready, so that load balancers notice. Zero means defaultNotice.
	Notice time.Duration

	leader *leader.Leader
	pool   rpcs.Pool
	server *rpcs.Server
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	stopping     atomic.Bool
	openRequests atomic.Int64
	config       atomic.Pointer[loadedConfig]
	// fetching says that the configuration is being fetched from another entry.
	fetching  atomic.Bool
	applyLock sync.Mutex
	// zones holds what is known of the evacuated zones. It is changed under zonesLock.
	zones     atomic.Pointer[evac.Zones]
	zonesLock sync.Mutex
	// appliedAt is when the configuration came into force, in nanoseconds of the
	// clock, or 0.
	appliedAt atomic.Int64
	// storeClockOffset is how far the store's clock is ahead of this process's, in
	// nanoseconds.
	storeClockOffset atomic.Int64
	// storeTimeout adapts the timeout of store calls to the latency of recent ones.
	storeTimeout await.Timeout
	// storeDownSince is when the store first failed a call after its last answer, in
	// nanoseconds of the clock, or 0 if it has answered since.
	storeDownSince atomic.Int64
	// storeInDoubt says that the first failed call got no answer and that no probe has
	// shown yet whether the store is slow or unavailable.
	storeInDoubt atomic.Bool
	// skipped holds the rows of entries that can't be used.
	skipped skips.Set

	mu    sync.Mutex
	peers map[string]*peer
	// entriesSent is when each agent last got the list of entries, and entriesPurged
	// when old items were last removed from it.
	entriesSent   map[string]time.Duration
	entriesPurged time.Duration
	// pendingJobs counts the jobs of each queue of which no task was started, as the
	// owner last reported at pendingAt. It is nil if no owner has.
	pendingJobs map[string]int
	pendingAt   time.Duration
	// earlyCancels bounds the stored cancellations of unknown jobs.
	earlyCancels quota.Quota
	// ownerBehind is the lag that the owner last reported, also at pendingAt.
	ownerBehind time.Duration
}

// loadedConfig is a configuration with the bytes from which it was parsed.
type loadedConfig struct {
	*work.Config
	raw  []byte
	once sync.Once
	// compressed is raw in compressed form, and err the error of the compression.
	// Both are set at the first use.
	compressed []byte
	err        error
}

// compress returns the compressed bytes of the configuration.
func (v *loadedConfig) compress() ([]byte, error) {
	v.once.Do(func() { v.compressed, v.err = compress(v.raw) })
	return v.compressed, v.err
}

// Start listens on the address and starts the loops of the entry.
func (f *Front) Start() error {
	f.pool.DropOnTimeout = true
	f.peers = map[string]*peer{}
	s, err := rpcs.ListenWithin(f.Listen, map[string]any{work.EntryService: &Peer{front: f}}, work.MaxMessage)
	if err != nil {
		return err
	}
	f.server = s
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.leader = &leader.Leader{
		Name:          f.Name,
		Addr:          s.Addr(),
		Rows:          f.Rows,
		RowsWithRelay: plat.Rows{Read: f.readForLeader, Commit: f.commit},
		StoreTimeout:  &f.storeTimeout,
		Clock:         f.Clock,
		Log:           f.Log,
		Tally:         f.Tally,
		Limits:        f.Limits,
		Config:        f.Config,
		Rank:          f.rank,
		Send:          f.sendOrder,
		AnnounceOwner: f.announceOwner,
		AskAdvisor:    f.askAdvisor,
	}
	if f.followsZones() {
		f.leader.Zones, f.leader.ReadZones = f.knownZones, f.readZones
		f.loops.Go(func() { f.loopZones(f.ctx) })
	}
	f.loops.Go(func() { f.loopConfig(f.ctx) })
	f.loops.Go(func() { f.loopRoster(f.ctx) })
	f.loops.Go(func() { f.loopPings(f.ctx) })
	f.loops.Go(func() { f.leader.Run(f.ctx) })
	f.registerGauges()
	f.Log.Info(logs.Started, logs.Fields{"peer": s.Addr()})
	return nil
}

// Config returns the configuration in force, or nil.
func (f *Front) Config() *work.Config {
	if v := f.config.Load(); v != nil {
		return v.Config
	}
	return nil
}

// guard returns the guard against panics in the handling of calls.
func (f *Front) guard() guard.Guard { return guard.Guard{Log: f.Log, Tally: f.Tally} }

// Ready reports whether load balancers should send requests to this entry.
func (f *Front) Ready() bool { return f.config.Load() != nil && !f.stopping.Load() }

// Stopping reports whether a planned stop is in progress.
func (f *Front) Stopping() bool { return f.stopping.Load() }

const (
	// defaultNotice is long enough for two failed health checks of a load balancer
	// that checks every second.
	defaultNotice = 2500 * time.Millisecond
	// drainTimeout bounds the wait for open requests after the notice.
	drainTimeout = 1800 * time.Millisecond
)

// Stop performs a planned stop: the entry becomes not ready, hands the cell over,
// serves callers until load balancers have noticed, answers the open requests and
// stops.
func (f *Front) Stop() {
	if f.stopping.Swap(true) {
		return
	}
	f.Log.Info(logs.Stopping, nil)
	f.handOver()
	notice := f.Notice
	if notice <= 0 {
		notice = defaultNotice
	}
	time.Sleep(notice)
	end := f.Clock.Now() + drainTimeout
	for f.openRequests.Load() > 0 && f.Clock.Now() < end {
		time.Sleep(openCheckInterval)
	}
	time.Sleep(openCheckInterval)
	f.cancel()
	f.loops.Wait()
	f.server.Close()
	f.pool.Close()
	f.Log.Info(logs.Stopped, nil)
}

// openCheckInterval is how often a planned stop checks for open requests.
const openCheckInterval = 10 * time.Millisecond

// handOver resigns as the owner of the cell and asks the best suited entry that
// answers to take it over.
func (f *Front) handOver() {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	if !f.leader.Resign(ctx) {
		return
	}
	for _, p := range f.alivePeers() {
		if err := f.pool.Get(p).Call(ctx, work.EntryService+".Take", work.Ping{}, new(work.Pong)); err == nil {
			return
		}
	}
}

// TrackRequest counts a request as open until the returned function is called. A
// planned stop waits for open requests.
func (f *Front) TrackRequest() func() {
	f.openRequests.Add(1)
	return func() { f.openRequests.Add(-1) }
}

// sendOrder sends an order to an agent.
func (f *Front) sendOrder(agent string, o work.Order) (work.Results, error) {
	ctx, cancel := context.WithTimeout(f.ctx, orderTimeout)
	defer cancel()
	var res work.Results
	err := f.pool.Get(agent).Call(ctx, work.AgentService+".Order", o, &res)
	return res, err
}

// announceOwner tells an agent the owner's address and term, which are in the order.
func (f *Front) announceOwner(agent string, o work.Order) {
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	if err := f.pool.Get(agent).Call(ctx, work.AgentService+".Meet", o, new(work.Results)); err != nil {
		f.Log.Debug(logs.PeerLost, logs.Fields{"agent": agent, "error": err.Error()})
	}
}

// askAdvisor asks the advisor which workers may run a step.
func (f *Front) askAdvisor(q advice.Question) (sched.Advice, error) {
	if f.Advise == nil {
		return sched.Advice{}, fault.At("advise", q.Step).Errorf("no advisor is set")
	}
	ctx, cancel := context.WithTimeout(f.ctx, q.Limit)
	defer cancel()
	return f.Advise(ctx, q)
}

const (
	// orderTimeout is longer than an agent needs to determine the outcomes of starts.
	orderTimeout = 1300 * time.Millisecond
	// peerTimeout bounds a short call to another process.
	peerTimeout = 400 * time.Millisecond
)

// storeClock returns the estimated time of the store's clock in milliseconds.
func (f *Front) storeClock() int64 {
	return (f.Clock.Now() + time.Duration(f.storeClockOffset.Load())).Milliseconds()
}

// recordStoreClock updates the offset of the store's clock from an answer.
func (f *Front) recordStoreClock(s plat.Stamp) {
	if s.Now > 0 {
		f.storeClockOffset.Store(int64(s.Now - f.Clock.Now()))
	}
}
