// Package leader elects the owner of a cell and runs the scheduler there. Each
// process watches the owner and takes the cell over when the owner is lost. The
// owner runs the scheduler's core and stores the core's decisions.
//
// The ownership of the cell is one row, which changes only by a transaction that
// checks its version. Every commit of an owner checks this version too, so an
// owner that was replaced can write nothing more. Every commit also checks and
// rewrites the commit mark, a second row, so that a delayed commit can't take
// effect after a later one.
package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonrack/internal/advice"
	"lagoonrack/internal/await"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/elect"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// ErrNotOwner says that this process does not own the cell.
var ErrNotOwner = errors.New("not the owner")

// Leader watches the owner of the cell for one process, and owns the cell itself
// after a takeover. The exported fields must be set before Run.
type Leader struct {
	// Name and Addr are the name and address of this process.
	Name, Addr string
	// Rows accesses the store directly.
	Rows plat.Rows
	// RowsWithRelay accesses the store directly or, while the store rejects the
	// calls of this process, through other entries. Only Read and Commit are used.
	// Claims use Rows alone, so that no process takes the cell over that can't
	// reach the store itself. If Commit is nil, Rows is used instead.
	RowsWithRelay plat.Rows
	// StoreTimeout adapts the timeout of store calls to the latency of recent ones.
	// If it is nil, the timeout is fixed.
	StoreTimeout *await.Timeout
	Clock        clock.Clock
	Log          logs.Log
	Tally        *tally.Set
	Limits       sched.Limits
	// Config returns the configuration in force, or nil.
	Config func() *work.Config
	// Rank returns how many live candidates should claim the cell before this
	// process.
	Rank func() int
	// Send sends an order to an agent and returns the results of its starts and
	// stops.
	Send func(agent string, o work.Order) (work.Results, error)
	// AnnounceOwner sends the owner's address and term to an agent from which no
	// report came lately.
	AnnounceOwner func(agent string, o work.Order)
	// BeforeBatch is called before the scheduler's core handles a batch, with the number
	// of its events. It may be nil; tests use it to model a slow processor.
	BeforeBatch func(events int)
	// AskAdvisor asks the advisor a question. It returns within the question's limit.
	AskAdvisor func(q advice.Question) (sched.Advice, error)

	// Zones returns what this process knows of the evacuated zones. ReadZones reads them from
	// the store, directly, before the state of a cell is loaded. Both are nil if evacuations
	// are not read.
	Zones     func() evac.Zones
	ReadZones func(ctx context.Context) (uint64, error)

	mu    sync.Mutex
	watch elect.Watch
	// known is the newest ownership that was read, or learned from another process.
	known    ownership
	term     *term
	resigned bool
	// claimedTerm is the term that this process claims, or has claimed and for which it
	// still loads the state, or 0. loadedAt is when the store last answered a call of
	// that claim or load.
	claimedTerm uint64
	loadedAt    time.Duration
	// readRequested is signalled when the ownership row should be read at once.
	readRequested chan struct{}
}

const (
	// watchInterval is how often a process checks whether to claim the cell.
	watchInterval = 100 * time.Millisecond
	// readInterval is how often the ownership row is read while the owner answers.
	readInterval = 3 * time.Second
	// retryDelay is the wait before a failed call of the store is retried.
	retryDelay = 40 * time.Millisecond
	// tickInterval is how often the core gets a tick.
	tickInterval = 100 * time.Millisecond
	// feedInterval is how often the feed of job rows is read. It is needed only for
	// jobs and cancellations of which an entry could not notify the owner.
	feedInterval = time.Second
)

// Run watches the cell, and owns it after a claim, until the context ends. A
// planned stop calls Resign first.
func (l *Leader) Run(ctx context.Context) {
	l.readRequested = make(chan struct{}, 1)
	if l.RowsWithRelay.Commit == nil {
		l.RowsWithRelay = l.Rows
	}
	var last time.Duration
	for ctx.Err() == nil {
		now := l.Clock.Now()
		if l.needsRead(now) || now-last > readInterval {
			last = now
			l.readOwnership(ctx)
		}
		if reason := l.claimReason(); reason != "" {
			l.claimAndRun(ctx, reason)
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.readRequested:
			last = 0
		case <-time.After(watchInterval):
		}
	}
}

// needsRead reports whether the ownership row should be read at once.
func (l *Leader) needsRead(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.NeedsRead(now)
}

// claimReason returns why this process should claim the cell now, or an empty
// string if it should not.
func (l *Leader) claimReason() string {
	rank := l.Rank()
	if l.Limits.SlowLink {
		rank += slowLinkRanks
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resigned {
		return ""
	}
	return l.watch.Claim(l.Clock.Now(), rank)
}

// slowLinkRanks delays the claims of an entry with a slow link by a second: pings wait
// behind a configuration that arrives there, and the owner has lost nothing.
const slowLinkRanks = 5

// readOwnership reads the ownership row.
func (l *Leader) readOwnership(ctx context.Context) {
	c, cancel := l.withTimeout(ctx)
	defer cancel()
	owner, _, _, err := readRow[ownership](c, l.Rows, ownershipKey)
	if err != nil {
		l.storeFailed("read title", err)
		l.mu.Lock()
		l.watch.ReadFailed()
		l.mu.Unlock()
		clock.Sleep(ctx, retryDelay)
		return
	}
	l.observe(owner)
}

// observe records an ownership that was read from the store.
func (l *Leader) observe(owner ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = owner
	l.watch.Read(l.Clock.Now(), elect.Ownership{Term: owner.Term, Vacant: owner.Addr == "", Mine: owner.Name == l.Name && owner.Addr == l.Addr})
}

// storeFailed counts and logs a failed call of the store, unless the call was
// cancelled.
func (l *Leader) storeFailed(step string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.Tally.Inc("lagoon_store_errors_total", "step", step)
	l.Log.Error(logs.StoreOperationFailed, fault.At(step, "store").Wrap(err), nil)
}

// Owner returns the address and term of the newest owner that this process knows.
// Both are zero if it knows none.
func (l *Leader) Owner() (addr string, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil {
		return l.Addr, l.term.number
	}
	return l.known.Addr, l.known.Term
}

// LearnOwner handles a message from another process that names the cell's owner.
// Claims and the end of a term are decided only after the ownership row was read.
func (l *Leader) LearnOwner(number uint64, addr string) {
	l.mu.Lock()
	newer := number > l.known.Term && l.term == nil
	if newer && addr != "" {
		l.known = ownership{Term: number, Addr: addr}
	}
	t := l.term
	l.mu.Unlock()
	if t != nil && number > t.number {
		go l.verifyTerm(t)
	}
	if newer {
		l.requestRead()
	}
}

// verifyTerm reads the ownership row, and tells the core that it is confirmed or ends the
// term if another process has taken the cell over.
func (l *Leader) verifyTerm(t *term) {
	ctx, cancel := l.withTimeout(t.ctx)
	defer cancel()
	sent := l.Clock.Now()
	owner, row, _, err := readRow[ownership](ctx, l.RowsWithRelay, ownershipKey)
	if err != nil {
		l.storeFailed("read title", err)
		return
	}
	if row.Version == t.ownershipRow.Version {
		l.step(t, sched.Confirmed{Sent: sent})
	}
	if row.Version != t.ownershipRow.Version {
		l.Log.Info(logs.CellLost, logs.Fields{"term": t.number, "by": owner.Addr, "newer": owner.Term})
		l.observe(owner)
		t.cancel()
	}
}

// requestRead makes Run read the ownership row at once.
func (l *Leader) requestRead() {
	select {
	case l.readRequested <- struct{}{}:
	default:
	}
}

// TakeOver asks this process, as the chosen successor, to claim the cell after its
// owner has resigned.
func (l *Leader) TakeOver() {
	l.mu.Lock()
	l.watch.ChosenAsSuccessor()
	l.mu.Unlock()
	l.requestRead()
}

// OwnerAnswered records an answer to a ping from the process that the ownership row
// names.
func (l *Leader) OwnerAnswered(a elect.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.OwnerAnswered(l.Clock.Now(), a)
}

// OwnerSeenByOther records how long ago another process had contact with the owner.
func (l *Leader) OwnerSeenByOther(ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.PeerContact(l.Clock.Now(), ago)
}

// Status is what this process answers to a ping about the ownership of the cell.
type Status struct {
	// OwnedTerm is the term in which this process owns the cell, or 0.
	OwnedTerm uint64
	// Owner and Term are the address and term of the owner that this process knows.
	Owner string
	Term  uint64
	// SinceContact is the time since the last contact with the owner.
	SinceContact time.Duration
	// StoreOutage is how long the store has not answered this process as the owner.
	StoreOutage time.Duration
	// Lag is how long the oldest event that the owner has not handled has waited.
	Lag time.Duration
	// Takeovers is how many takeovers followed one another in a short time.
	Takeovers int
}

// Status returns what this process knows of the ownership of the cell. It does not wait
// for the scheduler: an owner that is behind still answers pings.
func (l *Leader) Status() Status {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.term; t != nil {
		s := Status{OwnedTerm: t.number, Owner: l.Addr, Term: t.number, Lag: t.lag(now), Takeovers: l.watch.Takeovers()}
		if since := time.Duration(t.commitSince.Load()); since > 0 {
			// A store that is slow for every process is no reason for a takeover, so
			// the extra time that calls may take at present does not count.
			s.StoreOutage = max(0, now-since-l.StoreTimeout.Extra(now, callTimeout))
		}
		return s
	}
	if l.claimedTerm > 0 {
		// Loading the state takes many calls, and over a slow link each table takes
		// seconds; only the time counts by which one takes longer than it may.
		// Until the claim is confirmed, known is the ownership before it.
		return Status{OwnedTerm: l.claimedTerm, Owner: l.known.Addr, Term: l.known.Term, StoreOutage: max(0, now-l.loadedAt-listCalls*l.StoreTimeout.For(now, callTimeout))}
	}
	return Status{Owner: l.known.Addr, Term: l.known.Term, SinceContact: l.watch.Age(now), Takeovers: l.watch.Takeovers()}
}

// HintsDropped returns how many hints of jobs this process has dropped as the owner, in
// the present term.
func (l *Leader) HintsDropped() int {
	if t := l.currentTerm(); t != nil {
		return t.dropped()
	}
	return 0
}

// Owns reports whether this process owns the cell.
func (l *Leader) Owns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != nil
}
