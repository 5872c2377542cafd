// Package runner is the agent's part beside a worker that runs tasks of jobs
// with steps. It is the worker's only caller: it keeps one waiting call on the
// worker, renews its lease, carries the owner's orders out and reports to the
// owner what runs and what ended.
//
// The lease of the worker is short and renewed with each call, for as long as
// the owner's last word is no older than the trust. Both spans are known to the
// owner, which gives a task away only after their sum.
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/pace"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// Runner is the agent's part. The exported fields must be set before Start.
type Runner struct {
	Name string
	// Listen is the address for other processes of the system.
	Listen  string
	Rows    plat.Rows
	Runtime plat.Runtime
	Clock   clock.Clock
	Log     logs.Log
	Tally   *tally.Set
	Limits  sched.Limits

	pool   rpcs.Pool
	server *rpcs.Server
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// news is signalled when the owner should hear something at once, and
	// woken when there is a worker to hold.
	news, woken chan struct{}
	// noted is signalled when the owner has stored more ends.
	noted   chan struct{}
	leaving atomic.Bool

	mu sync.Mutex
	// worker is the newest life that announced itself; an empty ID is none.
	worker work.Worker
	beat   int64
	gone   bool
	lease  lease
	// term is the highest that was heard, and owner the address of its owner.
	term    uint64
	owner   string
	entries map[string]time.Duration
	// echo is the newest challenge of an owner, or 0.
	echo uint64
	// avoid is an owner's address that the title named and that gave no answer.
	avoid string
	// seen is the highest end that the owner has stored, and reported the highest
	// that it was told of.
	seen, reported int64
	running        []work.Running
	ends           []work.End
	listedAt       time.Duration
	listed         bool
	changed        bool
	orders         map[work.Run]*order
	// stopped holds the runs that the owner has stopped, and when, for as long as
	// an order to start them may still come in.
	stopped map[work.Run]time.Duration
	// slots holds a token for each start under way, up to abreast of them, and
	// slotHold is how long a start without an answer keeps others waiting.
	slots    chan struct{}
	slotHold time.Duration
	about    map[work.Run]work.About
	guard    pace.Throttler
}

// order is the start of a run that was ordered.
type order struct {
	done chan struct{}
	code work.Code
}

// Start opens the address and begins to serve.
func (r *Runner) Start() error {
	r.pool.Strict = true
	s, err := rpcs.Listen(r.Listen, map[string]any{work.AgentService: &Peer{runner: r}})
	if err != nil {
		return err
	}
	r.server = s
	r.Limits = r.Limits.WithDefaults()
	r.lease.limits = r.Limits
	r.news = make(chan struct{}, 1)
	r.woken = make(chan struct{}, 1)
	r.noted = make(chan struct{}, 1)
	r.entries = map[string]time.Duration{}
	r.reset(work.Worker{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.loops.Go(func() { r.loopHold(r.ctx) })
	r.loops.Go(func() { r.loopReport(r.ctx) })
	r.gauges()
	r.Log.Info(logs.Started, logs.Fields{"peer": s.Addr()})
	return nil
}

// gauges publishes what this agent believes of the owner and of its worker.
func (r *Runner) gauges() {
	each := func(read func(now time.Duration) float64, name string) {
		r.Tally.Gauge(func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return read(r.Clock.Now())
		}, name)
	}
	each(func(time.Duration) float64 { return float64(r.term) }, "lagoon_known_term")
	each(func(now time.Duration) float64 { return (now - r.lease.word).Seconds() }, "lagoon_owner_silent_seconds")
	each(func(now time.Duration) float64 { return r.lease.left(now).Seconds() }, "lagoon_lease_left_seconds")
	each(func(time.Duration) float64 { return float64(len(r.running)) }, "lagoon_runs_listed")
	each(func(time.Duration) float64 { return float64(len(r.ends)) }, "lagoon_ends_unstored")
}

// Stop is a planned stop. The tasks run on under the worker's lease, and the
// agent's next start adopts them.
func (r *Runner) Stop() {
	r.Log.Info(logs.Stopping, nil)
	r.leaving.Store(true)
	r.cancel()
	r.server.Close()
	r.pool.Close()
	r.loops.Wait()
	r.Log.Info(logs.Stopped, nil)
}

// reset forgets all of an earlier life. It must be called with the mutex held,
// or before Start.
func (r *Runner) reset(w work.Worker) {
	r.worker = w
	r.gone = false
	r.lease = lease{limits: r.Limits}
	r.seen, r.reported = 0, 0
	r.running, r.ends = nil, nil
	r.listed = false
	r.orders = map[work.Run]*order{}
	r.stopped = map[work.Run]time.Duration{}
	r.slots = make(chan struct{}, abreast)
	r.slotHold = defaultSlotHold
	r.about = map[work.Run]work.About{}
	r.guard = pace.Throttler{}
}

// Beat takes in what the worker says of itself. Sequence grows within a life.
func (r *Runner) Beat(w work.Worker, sequence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case w.Life != r.worker.Life && w.Born < r.worker.Born:
		// A late word of an earlier life.
		return
	case w.Life != r.worker.Life:
		r.Log.Info(logs.WorkerNew, logs.Fields{"worker": w.ID, "born": w.Born, "before": r.worker.ID})
		r.reset(w)
		r.beat = sequence
		signal(r.woken)
	case sequence < r.beat:
		return
	default:
		if w.Leaving != r.worker.Leaving {
			r.Log.Info(logs.WorkerLeaves, logs.Fields{"worker": w.ID, "left": w.Remaining})
			signal(r.news)
		}
		r.worker, r.beat = w, sequence
		r.gone = false
	}
}

// Left takes in that the worker has ended.
func (r *Runner) Left(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.ID == id && !r.gone {
		r.gone = true
		r.Log.Info(logs.WorkerEnded, logs.Fields{"worker": id})
		signal(r.news)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
