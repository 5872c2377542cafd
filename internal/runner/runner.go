// Package runner is the part of an agent that serves a worker, which runs the tasks
// of jobs with steps. It is the worker's only caller: it keeps one lease request open
// at the worker, renews the lease, carries out the owner's orders and reports to the
// owner which runs are active and which have ended.
//
// The lease of the worker is short. Each lease request renews it as long as the owner
// has answered a report that was sent less than OwnerTimeout ago. The owner knows
// both durations and places the tasks of a lost worker elsewhere only after their sum.
package runner

import (
	"context"
	"sync"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/guard"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/pace"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/turns"
	"lagoonrack/internal/work"
)

// Runner serves one worker. The exported fields must be set before Start.
type Runner struct {
	Name string
	// Listen is the address at which owners call the agent.
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
	// reportNow is signalled when a report should be sent at once, and
	// workerAnnounced when a new incarnation of the worker has announced itself.
	reportNow, workerAnnounced chan struct{}
	// endsStored is signalled when the owner has stored more ends.
	endsStored chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// worker is the newest incarnation that announced itself; its ID is empty if
	// there is none.
	worker       work.Worker
	heartbeatSeq int64
	// workerEnded says that the worker has ended: another incarnation answers at its
	// address, or its lease has expired after its farewell.
	workerEnded bool
	// ownerKnowsEnd says that the owner has answered a report since the worker's farewell,
	// so that it knows when the lease expires.
	ownerKnowsEnd bool
	// otherBorn is the birth of the incarnation that answered last under the worker's ID
	// and that has not announced itself, or 0. No order is passed on to it.
	otherBorn int64
	lease     lease
	// term is the highest term that is known. owner is the address to which reports
	// are sent: that of the owner, of an entry that may know it, or "".
	term  uint64
	owner string
	// entries holds the addresses of entries and when a reply last listed them.
	entries map[string]time.Duration
	// turns chooses the entry that is asked for the owner.
	turns turns.Turns
	// challenge is the newest Challenge that an owner has sent, or 0. Reports repeat
	// it.
	challenge uint64
	// triedOwner is the address that the last lookup took from the ownership row, or
	// "". The next lookup does not take it again.
	triedOwner string
	// storedEnd is the highest number of an end that the owner has stored, and
	// reportedEnd the highest that was reported to it.
	storedEnd, reportedEnd int64
	// listReportedAt is when the last report with a list of runs was sent that the owner
	// has answered. listDue says that the next report must have the list.
	listReportedAt time.Duration
	listDue        bool
	// ownerBusy says that the owner had not handled the last report when it replied.
	ownerBusy bool
	// running is the worker's newest list of runs, which was requested at
	// listRequestedAt, and ends lists the ended runs that the owner has not stored.
	// moreEnds says that the worker has more of them, and partial that items of its lists
	// could not be read. All are valid if listed is true.
	running         []work.Running
	ends            []work.End
	moreEnds        bool
	partial         bool
	listRequestedAt time.Duration
	listed          bool
	// heard is the newest moment of an owner that is known, and listedAfter the one that
	// was known when running was requested.
	heard, listedAfter work.Moment
	// starts holds the ordered starts until their runs have ended, and about the
	// descriptions of the runs.
	starts map[work.Run]*startOrder
	// stoppedAt holds the times at which the owner stopped runs, for as long as an
	// order to start them may still arrive.
	stoppedAt map[work.Run]time.Duration
	// startSlots holds a token for each start in progress, up to
	// maxConcurrentStarts, and slotTimeout is how long a start without an answer
	// occupies a slot.
	startSlots  chan struct{}
	slotTimeout time.Duration
	about       map[work.Run]work.About
	throttler   pace.Throttler
}

// startOrder is the start of a run that the owner has ordered. The channel done is
// closed once code holds the outcome.
type startOrder struct {
	done chan struct{}
	code work.Code
	// by is the time after which the start is not sent to the worker, or 0 for none.
	by time.Duration
}

// expired reports whether the start must not be sent to the worker any more.
func (s *startOrder) expired(now time.Duration) bool { return s.by > 0 && now > s.by }

// Start opens the address and starts the loops.
func (r *Runner) Start() error {
	r.pool.DropOnTimeout = true
	s, err := rpcs.ListenWithin(r.Listen, map[string]any{work.AgentService: &Peer{runner: r}}, work.MaxMessage)
	if err != nil {
		return err
	}
	r.server = s
	r.Limits = r.Limits.WithDefaults()
	r.lease.limits = r.Limits
	r.reportNow = make(chan struct{}, 1)
	r.workerAnnounced = make(chan struct{}, 1)
	r.endsStored = make(chan struct{}, 1)
	r.entries = map[string]time.Duration{}
	r.turns.Name = r.Name
	r.reset(work.Worker{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.loops.Go(func() { r.loopLease(r.ctx) })
	r.loops.Go(func() { r.loopReport(r.ctx) })
	r.gauges()
	r.Log.Info(logs.Started, logs.Fields{"peer": s.Addr()})
	return nil
}

// guard returns the guard against panics in the handling of calls.
func (r *Runner) guard() guard.Guard { return guard.Guard{Log: r.Log, Tally: r.Tally} }

// gauges registers the metrics on the agent's view of the owner and of the worker.
func (r *Runner) gauges() {
	gauge := func(value func(now time.Duration) float64, name string) {
		r.Tally.Gauge(func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value(r.Clock.Now())
		}, name)
	}
	r.Tally.Gauge(func() float64 { return float64(r.server.Refused()) }, "lagoon_peer_refused")
	gauge(func(time.Duration) float64 { return float64(r.term) }, "lagoon_known_term")
	gauge(func(now time.Duration) float64 { return (now - r.lease.ackedReportAt).Seconds() }, "lagoon_owner_silent_seconds")
	gauge(func(now time.Duration) float64 { return r.lease.maxRemaining(now).Seconds() }, "lagoon_lease_left_seconds")
	gauge(func(time.Duration) float64 { return float64(len(r.running)) }, "lagoon_runs_listed")
	gauge(func(time.Duration) float64 { return float64(len(r.ends)) }, "lagoon_ends_unstored")
}

// endsTimeout bounds how long a planned stop waits for the owner to store ends. With the
// rest of the stop it is below the 6 s after which a process is killed.
const endsTimeout = 4500 * time.Millisecond

// Stop is a planned stop. The runs continue under the worker's lease, and the next
// process of the agent adopts them. If the worker is about to end too, nobody else knows
// how its last runs ended, so the owner has to store these ends first.
func (r *Runner) Stop() {
	r.Log.Info(logs.Stopping, nil)
	r.awaitStored()
	r.cancel()
	r.server.Close()
	r.pool.Close()
	r.loops.Wait()
	r.Log.Info(logs.Stopped, nil)
}

// awaitStored waits until the owner has stored the ends that the worker has so far and, if
// the worker has said farewell, knows of that, at most endsTimeout.
func (r *Runner) awaitStored() {
	last, all := r.lastEnd()
	for until := r.Clock.Now() + endsTimeout; r.Clock.Now() < until; {
		if !all {
			last, all = r.lastEnd()
		}
		r.mu.Lock()
		stored := all && r.storedEnd >= last && (!r.lease.leaving || r.ownerKnowsEnd)
		r.mu.Unlock()
		if stored {
			return
		}
		clock.Sleep(r.ctx, storedCheckInterval)
	}
}

// lastEnd returns the highest number of an end that the worker has listed and the owner has
// not stored, or 0, and whether the worker has listed all of its ends.
func (r *Runner) lastEnd() (last int64, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.ends); n > 0 {
		last = r.ends[n-1].N
	}
	return last, !r.moreEnds
}

// storedCheckInterval is how often a planned stop checks for ends that are not stored.
const storedCheckInterval = 10 * time.Millisecond

// reset sets the worker and drops all state of its earlier incarnation. It must be
// called with the mutex held, or before Start.
func (r *Runner) reset(w work.Worker) {
	sameID := w.ID != "" && w.ID == r.worker.ID
	r.worker = w
	r.workerEnded, r.ownerKnowsEnd, r.otherBorn = false, false, 0
	r.lease = lease{limits: r.Limits, sameID: sameID, draining: w.Leaving}
	r.storedEnd, r.reportedEnd = 0, 0
	r.running, r.ends, r.moreEnds, r.partial = nil, nil, false, false
	r.listed, r.listDue = false, true
	r.starts = map[work.Run]*startOrder{}
	r.stoppedAt = map[work.Run]time.Duration{}
	r.startSlots = make(chan struct{}, maxConcurrentStarts)
	r.slotTimeout = defaultSlotTimeout
	r.about = map[work.Run]work.About{}
	r.throttler = pace.Throttler{}
}

// signal wakes the receiver of a channel with a buffer of one, now or at its next
// receive.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
