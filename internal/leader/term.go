package leader

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/guard"
	"lagoonrack/internal/inbox"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// term is the state of one term, in which this process owns the cell. Events wait in a
// queue, and one loop passes them to the scheduler's core in batches.
type term struct {
	number        uint64
	ownershipRow  plat.Row
	commitMarkRow plat.Row
	// commits holds the next commit to store; the core emits one at a time.
	commits chan sched.Commit
	// commitSince is when the commit in progress was issued, in nanoseconds of the
	// clock, or 0 if there is none. committing says that the core has issued a commit
	// and not learned yet that it is stored.
	commitSince atomic.Int64
	committing  atomic.Bool
	// confirmedAt is the core's ConfirmedAt, in nanoseconds.
	confirmedAt atomic.Int64
	// feedVersion is the store's version up to which the feed of jobs was read.
	feedVersion uint64
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	resigning   atomic.Bool
	// panicked says that the core has panicked.
	panicked atomic.Bool
	// wake is signalled when events wait.
	wake chan struct{}

	// behind says that the log says so, and maxDemand bounds the hints of jobs in the
	// next batch. Only loopEvents uses them.
	behind    bool
	maxDemand int

	// inboxMu guards the fields up to mu. It is held only for moments.
	inboxMu sync.Mutex
	inbox   inbox.Inbox
	// busySince is when the batch that the core handles was taken, or 0.
	busySince time.Duration

	// mu guards the core. It is held while the core handles a batch.
	mu   sync.Mutex
	core *sched.Core
	// questions limits the questions of operators to the core.
	questions questionLimit
	// pending is the core's count of pending jobs as of its last tick.
	pending atomic.Pointer[map[string]int]

	// repliesMu guards the fields below. It is held only for moments.
	repliesMu sync.Mutex
	// replies holds, by token, the reports that wait for a reply. It is nil once the
	// term has ended. lastToken is the newest token, and handled holds those of the
	// waiting reports that the core has handled.
	replies   map[uint64]chan work.Reply
	lastToken uint64
	handled   map[uint64]bool
}

// newTerm returns a term that has not begun.
func newTerm(ctx context.Context, number uint64, core *sched.Core) *term {
	t := &term{number: number, core: core, commits: make(chan sched.Commit, 1), replies: map[uint64]chan work.Reply{}, handled: map[uint64]bool{}, maxDemand: inbox.MaxDemand, wake: make(chan struct{}, 1)}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.confirmedAt.Store(int64(core.ConfirmedAt()))
	return t
}

// add queues an event for the core.
func (t *term) add(now time.Duration, e sched.Event) {
	t.inboxMu.Lock()
	replaced, ok := t.inbox.Add(now, e)
	t.inboxMu.Unlock()
	if ok {
		// The agent has given the older report up.
		t.reply(replaced, work.Reply{Busy: true})
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// roomPause is the wait between two looks whether the queue has room.
const roomPause = 5 * time.Millisecond

// addWhenRoom queues an event that was read from the store once there is room for it, unless
// the term ends before.
func (t *term) addWhenRoom(now func() time.Duration, e sched.Event) {
	for t.ctx.Err() == nil {
		t.inboxMu.Lock()
		full := t.inbox.Full(e)
		if !full {
			t.inbox.Add(now(), e)
		}
		t.inboxMu.Unlock()
		if !full {
			break
		}
		clock.Sleep(t.ctx, roomPause)
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// reply answers a report that still waits.
func (t *term) reply(token uint64, r work.Reply) {
	t.repliesMu.Lock()
	defer t.repliesMu.Unlock()
	if ch := t.replies[token]; ch != nil {
		delete(t.replies, token)
		delete(t.handled, token)
		ch <- r
	}
}

// giveUp ends the wait for the reply to a report. It returns whether the core has
// handled the report, and false if the term has ended.
func (t *term) giveUp(token uint64) (handled, ok bool) {
	t.repliesMu.Lock()
	defer t.repliesMu.Unlock()
	handled = t.handled[token]
	delete(t.replies, token)
	delete(t.handled, token)
	return handled, t.replies != nil
}

// markHandled records that the core has handled the reports among the events.
func (t *term) markHandled(events []sched.Event) {
	t.repliesMu.Lock()
	defer t.repliesMu.Unlock()
	for _, e := range events {
		if r, ok := e.(sched.Report); ok && t.replies[r.Token] != nil {
			t.handled[r.Token] = true
		}
	}
}

// take returns the next batch of events.
func (t *term) take(now time.Duration) []sched.Event {
	t.inboxMu.Lock()
	defer t.inboxMu.Unlock()
	batch := t.inbox.Take(t.maxDemand)
	t.busySince = 0
	if len(batch) > 0 {
		t.busySince = max(1, now)
	}
	return batch
}

// lag returns how long the oldest event that the core has not handled has waited.
func (t *term) lag(now time.Duration) time.Duration {
	t.inboxMu.Lock()
	defer t.inboxMu.Unlock()
	lag := t.inbox.Lag(now)
	if t.busySince > 0 {
		lag = max(lag, now-t.busySince)
	}
	return lag
}

// submitted counts the new jobs that wait for the core, by queue.
func (t *term) submitted() map[string]int {
	t.inboxMu.Lock()
	defer t.inboxMu.Unlock()
	return t.inbox.Submitted()
}

// dropped returns the number of hints of jobs that were dropped.
func (t *term) dropped() int {
	t.inboxMu.Lock()
	defer t.inboxMu.Unlock()
	return t.inbox.Dropped()
}

// awaitReply registers a report that waits for its reply. It returns false if the term
// has ended.
func (t *term) awaitReply() (token uint64, reply chan work.Reply, ok bool) {
	t.repliesMu.Lock()
	defer t.repliesMu.Unlock()
	if t.replies == nil {
		return 0, nil, false
	}
	t.lastToken++
	ch := make(chan work.Reply, 1)
	t.replies[t.lastToken] = ch
	return t.lastToken, ch, true
}

// end closes the waits for replies.
func (t *term) end() {
	t.repliesMu.Lock()
	defer t.repliesMu.Unlock()
	for _, ch := range t.replies {
		close(ch)
	}
	t.replies = nil
}

// loopEvents passes the waiting events to the core and performs the effects, until the
// term ends.
func (l *Leader) loopEvents(t *term) {
	for {
		now := l.Clock.Now()
		l.noteLag(t, t.lag(now))
		if batch := t.take(now); len(batch) > 0 {
			if l.BeforeBatch != nil {
				l.BeforeBatch(len(batch))
			}
			l.handle(t, batch)
			t.limitDemand(l.Clock.Now() - now)
			continue
		}
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		}
	}
}

// longBatch is the time from which on a batch has too much in it: what arrives meanwhile
// waits for as long.
const longBatch = 60 * time.Millisecond

// limitDemand adapts the number of hints in a batch to the time that the last one took.
// Otherwise an overloaded owner would take new jobs up for seconds before it starts the
// tasks of those that it has.
func (t *term) limitDemand(took time.Duration) {
	switch {
	case took > longBatch:
		t.maxDemand = max(1, t.maxDemand/2)
	case took < longBatch/4:
		t.maxDemand = min(inbox.MaxDemand, 2*t.maxDemand)
	}
}

// behindAfter is the lag from which on an owner counts as behind, and caughtUpAt the lag
// at which it no longer does.
const (
	behindAfter = time.Second
	caughtUpAt  = 200 * time.Millisecond
)

// noteLag logs when the owner falls behind and when it has caught up.
func (l *Leader) noteLag(t *term, lag time.Duration) {
	switch {
	case !t.behind && lag >= behindAfter:
		t.behind = true
		l.Log.Info(logs.OwnerBehind, logs.Fields{"term": t.number, "ms": lag.Milliseconds()})
	case t.behind && lag <= caughtUpAt:
		t.behind = false
		l.Log.Info(logs.OwnerCaughtUp, logs.Fields{"term": t.number})
	}
}

// handle passes events to the core and performs the resulting effects. It drops them if
// the term has ended. A term that is resigning only handles completed commits.
func (l *Leader) handle(t *term, events []sched.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer l.endAfterPanic(t)
	if t.ctx.Err() != nil {
		return
	}
	if t.resigning.Load() {
		events = onlyCommitted(events)
	}
	if len(events) == 0 {
		return
	}
	if l.Zones != nil {
		// The newest, so that no start is ordered by an older one that waited.
		events = append([]sched.Event{sched.Evacuated{Zones: l.Zones()}}, events...)
	}
	for _, e := range events {
		if _, ok := e.(sched.Committed); ok {
			t.committing.Store(false)
		}
	}
	for _, f := range t.core.Step(l.Clock.Now(), events...) {
		l.perform(t, f)
	}
	t.confirmedAt.Store(int64(t.core.ConfirmedAt()))
	// A report that the core rejects has its reply by now. The others may be answered
	// before their ends are stored.
	t.markHandled(events)
	if slices.ContainsFunc(events, isTick) {
		pending := t.core.Pending()
		t.pending.Store(&pending)
	}
}

// endAfterPanic must be deferred. It ends the term if the core panicked: its state may be
// wrong, and the next owner loads it anew from the store.
func (l *Leader) endAfterPanic(t *term) {
	if v := recover(); v != nil {
		_ = guard.Guard{Log: l.Log, Tally: l.Tally}.Record("schedule", v)
		t.panicked.Store(true)
		t.cancel()
	}
}

// isTick reports whether an event is a tick.
func isTick(e sched.Event) bool {
	_, ok := e.(sched.Tick)
	return ok
}

// onlyCommitted returns the completed commits among the events.
func onlyCommitted(events []sched.Event) []sched.Event {
	var out []sched.Event
	for _, e := range events {
		if _, ok := e.(sched.Committed); ok {
			out = append(out, e)
		}
	}
	return out
}
