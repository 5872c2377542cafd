// Package front is the entry's part for jobs with steps. Any entry accepts a
// job with one conditional write and then tells the owner; a state is asked of
// the owner, and read from the store if it gives no answer. The configuration
// comes from the store by feed, and from other entries while the store is away.
package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/await"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// Front is the entry's part. The exported fields must be set before Start.
type Front struct {
	Name, Zone string
	// Listen is the address for other processes of the system.
	Listen string
	// Weight says how well the machine can carry an owner.
	Weight int64
	Rows   plat.Rows
	// Table and Key name the row with the operators' configuration, and Parse
	// reads it.
	Table, Key string
	Parse      func([]byte) (*work.Config, error)
	// Advise asks the advisor which workers may run a step.
	Advise func(ctx context.Context, step string, workers []string) (sched.Advice, error)
	Clock  clock.Clock
	Log    logs.Log
	Tally  *tally.Set
	Limits sched.Limits
	// Notice is how long a planned stop serves on after the entry turned not
	// ready.
	Notice time.Duration

	leader *leader.Leader
	pool   rpcs.Pool
	server *rpcs.Server
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	leaving atomic.Bool
	open    atomic.Int64
	config  atomic.Pointer[version]
	// fetching says that the configuration is being fetched from another entry.
	fetching atomic.Bool
	apply    sync.Mutex
	// applied is when the configuration came into force, in nanoseconds of the
	// clock.
	applied atomic.Int64
	// gauge measures the store's clock: how far it is ahead of this process's.
	gauge atomic.Int64
	// limit is how long the store is waited for.
	limit await.Limit
	// since is when the store failed a call and has not answered since, in
	// nanoseconds of the clock, or 0.
	since atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	// pending is what the owner last said of the queues.
	pending map[string]int
}

// version is a configuration with the bytes that it was read from.
type version struct {
	*work.Config
	raw  []byte
	once sync.Once
	// packed is raw, compressed at the first use.
	packed []byte
	err    error
}

// pack returns the compressed form.
func (v *version) pack() ([]byte, error) {
	v.once.Do(func() { v.packed, v.err = pack(v.raw) })
	return v.packed, v.err
}

// Start opens the address and begins to serve.
func (f *Front) Start() error {
	f.pool.Strict = true
	f.peers = map[string]*peer{}
	s, err := rpcs.Listen(f.Listen, map[string]any{work.EntryService: &Peer{front: f}})
	if err != nil {
		return err
	}
	f.server = s
	f.leader = &leader.Leader{
		Name:          f.Name,
		Addr:          s.Addr(),
		Rows:          f.Rows,
		RowsWithRelay: plat.Rows{Read: f.readStamped, Commit: f.commit},
		StoreTimeout:  &f.limit,
		Clock:         f.Clock,
		Log:           f.Log,
		Tally:         f.Tally,
		Limits:        f.Limits,
		Config:        f.Config,
		Rank:          f.rank,
		Send:          f.send,
		AnnounceOwner: f.meet,
		AskAdvisor:    f.ask,
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.loops.Go(func() { f.loopConfig(f.ctx) })
	f.loops.Go(func() { f.loopRoster(f.ctx) })
	f.loops.Go(func() { f.loopPings(f.ctx) })
	f.loops.Go(func() { f.leader.Run(f.ctx) })
	f.gauges()
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

// Ready reports whether the entry should get new callers.
func (f *Front) Ready() bool { return f.config.Load() != nil && !f.leaving.Load() }

// Leaving reports whether a planned stop is under way.
func (f *Front) Leaving() bool { return f.leaving.Load() }

const (
	// defaultNotice lets the balancer miss two checks of a second each.
	defaultNotice = 2500 * time.Millisecond
	// drainWait bounds the wait for open requests after that.
	drainWait = 1800 * time.Millisecond
)

// Stop is a planned stop: the entry turns not ready, hands the cell over,
// serves on until the balancer has seen that, answers what it has read and
// ends.
func (f *Front) Stop() {
	if f.leaving.Swap(true) {
		return
	}
	f.Log.Info(logs.Stopping, nil)
	f.handOver()
	notice := f.Notice
	if notice <= 0 {
		notice = defaultNotice
	}
	time.Sleep(notice)
	end := f.Clock.Now() + drainWait
	for f.open.Load() > 0 && f.Clock.Now() < end {
		time.Sleep(openEvery)
	}
	time.Sleep(openEvery)
	f.cancel()
	f.loops.Wait()
	f.server.Close()
	f.pool.Close()
	f.Log.Info(logs.Stopped, nil)
}

// openEvery is how often a planned stop looks for open requests.
const openEvery = 10 * time.Millisecond

// handOver gives the cell up and tells the best successor.
func (f *Front) handOver() {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	if !f.leader.Resign(ctx) {
		return
	}
	for _, p := range f.alive() {
		if err := f.pool.Get(p).Call(ctx, work.EntryService+".Take", work.Ping{}, new(work.Pong)); err == nil {
			return
		}
	}
}

// Serving counts a request that is in progress until the returned function is
// called.
func (f *Front) Serving() func() {
	f.open.Add(1)
	return func() { f.open.Add(-1) }
}

// send passes an order to an agent.
func (f *Front) send(agent string, o work.Order) (work.Results, error) {
	ctx, cancel := context.WithTimeout(f.ctx, orderTimeout)
	defer cancel()
	var res work.Results
	err := f.pool.Get(agent).Call(ctx, work.AgentService+".Order", o, &res)
	return res, err
}

func (f *Front) meet(agent string, o work.Order) {
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	if err := f.pool.Get(agent).Call(ctx, work.AgentService+".Meet", o, new(work.Results)); err != nil {
		f.Log.Debug(logs.PeerLost, logs.Fields{"agent": agent, "error": err.Error()})
	}
}

// adviceTimeout bounds a question to the advisor, which answers one machine's
// questions in turn.
const adviceTimeout = 2 * time.Second

func (f *Front) ask(step string, workers []string) (sched.Advice, error) {
	ctx, cancel := context.WithTimeout(f.ctx, adviceTimeout)
	defer cancel()
	if f.Advise == nil {
		return sched.Advice{}, fault.At("advise", step).Errorf("no advisor is set")
	}
	return f.Advise(ctx, step, workers)
}

const (
	// orderTimeout is above what an agent takes to know the fates of starts.
	orderTimeout = 1300 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
)

// storeClock returns the store's time in milliseconds, as far as it is known.
func (f *Front) storeClock() int64 {
	return (f.Clock.Now() + time.Duration(f.gauge.Load())).Milliseconds()
}

func (f *Front) stamped(s plat.Stamp) {
	if s.Now > 0 {
		f.gauge.Store(int64(s.Now - f.Clock.Now()))
	}
}
