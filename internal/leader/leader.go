// Package leader keeps a process's part in the cell: it watches the owner,
// takes the cell over when the owner is lost, and then runs the scheduler's
// core and stores what it decides.
//
// Ownership is one row, the title, which changes only by a transaction that
// checks its version. Every commit of an owner checks the title too and
// rewrites the mark row, so an owner that was replaced can write nothing more
// and no commit takes effect after a later one.
package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonrack/internal/await"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/elect"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// ErrNotOwner says that this process does not own the cell.
var ErrNotOwner = errors.New("not the owner")

// Leader is a process's part in the cell. The exported fields must be set
// before Run.
type Leader struct {
	Name, Addr string
	Rows       plat.Rows
	// Via is the store through other entries where it turns this one away; only
	// Read and Commit are used. A process claims by Rows alone, so that none
	// takes the cell over that the store does not serve. Without Via, Rows is
	// used.
	Via plat.Rows
	// Limit says how long the store is waited for; without one that never changes.
	Limit  *await.Limit
	Clock  clock.Clock
	Log    logs.Log
	Tally  *tally.Set
	Limits sched.Limits
	// Config returns the configuration in force, or nil.
	Config func() *work.Config
	// Rank is this process's place among the candidates that are alive.
	Rank func() int
	// Send passes an order to an agent and returns the fates of its starts.
	Send func(agent string, o work.Order) (work.Results, error)
	// Meet tells an agent that was not heard of the owner.
	Meet func(agent string, o work.Order)
	// Ask asks the advisor.
	Ask func(step string, workers []string) (sched.Advice, error)

	mu    sync.Mutex
	watch elect.Watch
	// known is the newest title that was read.
	known title
	term  *term
	stop  bool
	// claiming is the term that this process has claimed while it loads the
	// state, or 0, and since when.
	claiming uint64
	since    time.Duration
	// asked is signalled when the title should be read at once.
	asked chan struct{}
}

// term is the time during which this process owns the cell.
type term struct {
	core   *sched.Core
	number uint64
	title  plat.Row
	mark   plat.Row
	// commits holds the one transaction under way.
	commits chan sched.Commit
	tokens  map[uint64]chan work.Reply
	next    uint64
	// waiting is since when a commit has had no answer, or 0.
	waiting time.Duration
	// from is the newest version of the feed that was taken in.
	from    uint64
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	leaving bool
}

const (
	// lookEvery is the pace at which the owner is watched.
	lookEvery = 100 * time.Millisecond
	// readEvery is the pace at which an undoubted title is read again.
	readEvery = 3 * time.Second
	// retryPause is the wait after a refusal by the store.
	retryPause = 40 * time.Millisecond
	// tickEvery is how often the core is told of the time.
	tickEvery = 100 * time.Millisecond
	// feedEvery is the pace at which the intake is read, which is needed only
	// for what an entry could not tell the owner.
	feedEvery = time.Second
)

// Run watches the cell until the context ends. A planned stop calls Leave
// first.
func (l *Leader) Run(ctx context.Context) {
	l.asked = make(chan struct{}, 1)
	if l.Via.Commit == nil {
		l.Via = l.Rows
	}
	var last time.Duration
	for ctx.Err() == nil {
		now := l.Clock.Now()
		if l.doubtful(now) || now-last > readEvery {
			last = now
			l.look(ctx)
		}
		if why := l.claimable(); why != "" {
			l.serve(ctx, why)
			continue
		}
		select {
		case <-ctx.Done():
		case <-l.asked:
			last = 0
		case <-time.After(lookEvery):
		}
	}
}

func (l *Leader) doubtful(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.Doubtful(now)
}

func (l *Leader) claimable() string {
	rank := l.Rank()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stop {
		return ""
	}
	return l.watch.Claim(l.Clock.Now(), rank)
}

// look reads the title.
func (l *Leader) look(ctx context.Context) {
	c, cancel := l.within(ctx)
	defer cancel()
	t, _, _, err := readRow[title](c, l.Rows, titleKey)
	if err != nil {
		l.failed("read title", err)
		l.mu.Lock()
		l.watch.Unread()
		l.mu.Unlock()
		clock.Sleep(ctx, retryPause)
		return
	}
	l.saw(t)
}

func (l *Leader) saw(t title) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = t
	l.watch.Read(l.Clock.Now(), elect.Title{Term: t.Term, Vacant: t.Addr == "", Mine: t.Name == l.Name && t.Addr == l.Addr})
}

func (l *Leader) failed(step string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.Tally.Inc("lagoon_store_errors_total", "step", step)
	l.Log.Error(logs.StoreDown, fault.At(step, "store").Wrap(err), nil)
}

// Owner returns the address and term of the owner as far as it is known.
func (l *Leader) Owner() (addr string, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil {
		return l.Addr, l.term.number
	}
	return l.known.Addr, l.known.Term
}

// Learn takes in the word of another process on who owns the cell. The title
// is read before anything is decided.
func (l *Leader) Learn(number uint64, addr string) {
	l.mu.Lock()
	newer := number > l.known.Term && l.term == nil
	if newer && addr != "" {
		l.known = title{Term: number, Addr: addr}
	}
	t := l.term
	l.mu.Unlock()
	if t != nil && number > t.number {
		go l.verify(t)
	}
	if newer {
		l.wake()
	}
}

// verify reads the title and ends a term that another process has replaced.
func (l *Leader) verify(t *term) {
	ctx, cancel := l.within(t.ctx)
	defer cancel()
	now, row, _, err := readRow[title](ctx, l.Rows, titleKey)
	if err != nil {
		l.failed("read title", err)
		return
	}
	if row.Version != t.title.Version {
		l.Log.Info(logs.Deposed, logs.Fields{"term": t.number, "by": now.Addr, "newer": now.Term})
		l.saw(now)
		t.cancel()
	}
}

// wake has the title read at once.
func (l *Leader) wake() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// Take asks this process to take a cell over that was given up.
func (l *Leader) Take() {
	l.mu.Lock()
	l.watch.Invite()
	l.mu.Unlock()
	l.wake()
}

// Heard takes in the owner's answer to a ping.
func (l *Leader) Heard(owns bool, cut time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Heard(l.Clock.Now(), owns, cut)
}

// Others takes in that another process heard the owner a while ago.
func (l *Leader) Others(ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Others(l.Clock.Now(), ago)
}

// Standing is what this process says of its part when it is pinged.
type Standing struct {
	// Owns is the term in which this process owns the cell, or 0.
	Owns uint64
	// Owner and Term are those of the owner that it knows.
	Owner string
	Term  uint64
	// Age is how long ago it heard the owner.
	Age time.Duration
	// Cut is for how long the store has given the owner no answer.
	Cut time.Duration
}

// Standing describes this process's part.
func (l *Leader) Standing() Standing {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.term; t != nil {
		s := Standing{Owns: t.number, Owner: l.Addr, Term: t.number}
		if t.waiting > 0 {
			// A store that is slow for all is no reason to hand the cell over.
			s.Cut = max(0, now-t.waiting-l.Limit.Extra(now, callTimeout))
		}
		return s
	}
	if l.claiming > 0 {
		// Loading takes many calls; only what is beyond a second is an outage.
		return Standing{Owns: l.claiming, Owner: l.Addr, Term: l.claiming, Cut: max(0, now-l.since-time.Second)}
	}
	return Standing{Owner: l.known.Addr, Term: l.known.Term, Age: l.watch.Age(now)}
}

// Owns reports whether this process owns the cell.
func (l *Leader) Owns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != nil
}
