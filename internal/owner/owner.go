// Package owner runs one process's part in the ownership of one cell: it watches
// the cell's rows in the table, takes the cell over when it has no live owner, and
// then runs the cell's core.
//
// The table alone decides who the owner is. The ownership row names the owner and
// its term, and changes only by a transaction that checks its version. Each write
// of a page or of the owner's heartbeat row checks that version too, so an owner
// that was replaced can write nothing more. A watcher takes over once the
// heartbeat row has not changed for the owner lease, by the watcher's own clock.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/wire"
)

// ErrNotOwner is returned if this process does not own the cell.
var ErrNotOwner = errors.New("not the owner")

const (
	// watchInterval is how often a process that may take the cell over reads its
	// rows, and idleWatchInterval how often any other process does.
	watchInterval     = time.Second
	idleWatchInterval = 10 * time.Second
	// tickInterval is the time between two Ticks of the core.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one operation of the table or the object store. A
	// takeover may take four times as long.
	callTimeout = 2 * time.Second
	// retryInterval is the pause after a failed write.
	retryInterval = 100 * time.Millisecond
)

// Owner watches one cell for a process and owns it when needed. The fields from
// Cell to Limits must be set before Run.
type Owner struct {
	// Cell is the name of the cell.
	Cell string
	// Name and Addr are the name and address of this process.
	Name, Addr string
	Table      plat.Table
	Store      plat.Store
	Log        logs.Log
	Tally      *tally.Set
	Limits     cell.Limits
	// Seed makes placements repeatable.
	Seed uint64
	// IsCandidate reports whether this process is one of the few that may take the
	// cell over and so watch it more often. If it is nil, the process may.
	Close func() bool
	// OnDecision is called with each decision. It may be nil.
	Watch func(cell.Note)

	// mu guards the fields below and the core of the current ownership.
	mu sync.Mutex
	// current is the ownership of the cell by this process, or nil.
	current *ownership
	// knownOwner is the newest ownership row that was read.
	knownOwner ownerRow
	// unchangedSince is since when the heartbeat row has had the version
	// heartbeatVersion, or zero if the wait has to start anew.
	unchangedSince   time.Time
	heartbeatVersion uint64
	// leaving is set by Leave; the cell is not taken over any more.
	leaving bool
	// ownerAsked is signalled when OwnerAddr is called.
	ownerAsked chan struct{}
}

// ownership is the state of this process while it owns the cell, for one term.
type ownership struct {
	core  *cell.Core
	clock clock.Clock
	// ownerRow is the ownership row as this process wrote it. Every write checks
	// its version.
	ownerRow plat.Row
	term     uint64
	// pages and snapshots pass the core's effects to the loops that write them.
	pages     chan ledger.Page
	snapshots chan cell.Snapshot
	// waiters holds the callers that wait for an answer of the core, by token.
	waiters   map[uint64]chan any
	lastToken uint64
	// heartbeat is the newest content of the heartbeat row.
	heartbeat heartbeatRow
	// ended is closed when the ownership has ended.
	ended chan struct{}
	// release is closed when the core releases the cell.
	release chan struct{}
	endOnce sync.Once
}

// Run watches the cell, and owns it when needed, until the context ends. To hand
// the cell over before a planned stop, call Leave first.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if o.takeoverDue(ctx) && o.mayTakeOver() && !o.isLeaving() {
			if r := o.takeOver(ctx); r != nil {
				o.runCore(ctx, r)
			}
		}
		o.waitForNextRead(ctx)
	}
}

func (o *Owner) mayTakeOver() bool { return o.Close == nil || o.Close() }

// waitForNextRead waits until the cell's rows are to be read again: after
// watchInterval if this process may take the cell over, otherwise after
// idleWatchInterval or, once watchInterval has passed, when OwnerAddr is called.
func (o *Owner) waitForNextRead(ctx context.Context) {
	o.mu.Lock()
	o.ownerAsked = make(chan struct{}, 1)
	asked := o.ownerAsked
	o.mu.Unlock()
	clock.Sleep(ctx, watchInterval)
	if o.mayTakeOver() {
		return
	}
	t := time.NewTimer(idleWatchInterval - watchInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-asked:
	}
}

func (o *Owner) isLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving
}

func (o *Owner) storeFailed(step string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	o.Tally.Inc("lagoon_store_errors_total", "step", step)
	o.Log.Error(logs.StoreDown, fault.At(step, o.Cell).Wrap(err), logs.Fields{"cell": o.Cell})
}

// takeoverDue reads the cell's rows and reports whether the cell was released or
// its owner's lease has expired.
func (o *Owner) takeoverDue(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, _, err := readRow[ownerRow](ctx, o.Table, ownerKey(o.Cell))
	if err != nil {
		o.storeFailed("read title", err)
		o.resetWait()
		return false
	}
	_, row, err := readRow[heartbeatRow](ctx, o.Table, heartbeatKey(o.Cell))
	if err != nil {
		o.storeFailed("read head", err)
		o.resetWait()
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.knownOwner = t
	if row.Version != o.heartbeatVersion || o.unchangedSince.IsZero() {
		o.heartbeatVersion = row.Version
		o.unchangedSince = time.Now()
	}
	if t.Addr == "" {
		return true
	}
	return time.Since(o.unchangedSince) > time.Duration(float64(o.Limits.Owner)*(1+clockDrift))
}

// clockDrift is the largest share by which the clocks of two processes may differ
// in speed.
const clockDrift = 0.02

// resetWait restarts the wait for the owner lease after a failed read: the owner
// may have been unable to write its heartbeat row for the same reason.
func (o *Owner) resetWait() {
	o.mu.Lock()
	o.unchangedSince = time.Time{}
	o.mu.Unlock()
}

// takeOver tries to make this process the owner. It returns nil if that failed.
// After a failed claim it still reads the ownership row, as the claim may have
// taken effect although its answer was lost.
func (o *Owner) takeOver(ctx context.Context) *ownership {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	old, row, err := readRow[ownerRow](ctx, o.Table, ownerKey(o.Cell))
	if err != nil {
		o.storeFailed("read title", err)
		return nil
	}
	h, hrow, err := readRow[heartbeatRow](ctx, o.Table, heartbeatKey(o.Cell))
	if err != nil || hrow.Version != o.heartbeatVersion {
		return nil
	}
	mine := ownerRow{Term: old.Term + 1, Name: o.Name, Addr: o.Addr, Nonce: ulid.Make().String()}
	if err := o.claim(ctx, mine, row, h, hrow); err != nil {
		o.storeFailed("take over", err)
	}
	return o.loadOwnership(ctx, mine, old)
}

// claim writes the ownership row and the heartbeat row in one transaction, on the
// condition that neither has changed since it was read. The write of the heartbeat
// row makes other watchers wait for the owner lease again.
func (o *Owner) claim(ctx context.Context, mine ownerRow, row plat.Row, h heartbeatRow, hrow plat.Row) error {
	h.Count++
	tw, err := encodeWrite(ownerKey(o.Cell), mine)
	if err != nil {
		return err
	}
	hw, err := encodeWrite(heartbeatKey(o.Cell), h)
	if err != nil {
		return err
	}
	return o.Table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: row.Key, Version: row.Version}, {Key: hrow.Key, Version: hrow.Version}},
		Writes: []plat.Write{tw, hw},
	})
}

// loadOwnership reads back whether the claim took effect, and if so loads the
// cell's state and returns the new ownership.
func (o *Owner) loadOwnership(ctx context.Context, mine, old ownerRow) *ownership {
	got, row, err := readRow[ownerRow](ctx, o.Table, ownerKey(o.Cell))
	if err != nil || got != mine {
		return nil
	}
	c := clock.New()
	led, err := loadLedger(ctx, o.Cell, o.Table, o.Store)
	if err != nil {
		o.storeFailed("load", err)
		return nil
	}
	h, _, err := readRow[heartbeatRow](ctx, o.Table, heartbeatKey(o.Cell))
	if err != nil {
		return nil
	}
	l := o.Limits
	if old.Addr == "" {
		// The last owner released the cell, and so has renewed no leases since; there
		// is no outage to wait for.
		l.Outage = time.Nanosecond
	}
	core := cell.New(l, mine.Term, c.Epoch(), o.Seed, led, h.Seq)
	core.Configure(o.Limits)
	o.Log.Info(logs.Owned, logs.Fields{"cell": o.Cell, "term": mine.Term, "jobs": len(led.Jobs), "seq": led.Seq})
	o.Tally.Inc("lagoon_takeovers_total", "cell", o.Cell)
	return &ownership{
		core:      core,
		clock:     c,
		ownerRow:  row,
		term:      mine.Term,
		heartbeat: h,
		pages:     make(chan ledger.Page, 1),
		snapshots: make(chan cell.Snapshot, 1),
		waiters:   map[uint64]chan any{},
		ended:     make(chan struct{}),
		release:   make(chan struct{}),
	}
}

// runCore runs the core until another process takes the cell over, the cell is
// released or the context ends. Callers that still wait get ErrNotOwner.
func (o *Owner) runCore(ctx context.Context, r *ownership) {
	o.mu.Lock()
	o.current = r
	o.knownOwner = ownerRow{Term: r.term, Name: o.Name, Addr: o.Addr}
	o.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() { o.loopPages(ctx, r) })
	all.Go(func() { o.loopHeartbeat(ctx, r) })
	all.Go(func() { o.loopTicks(ctx, r) })
	all.Wait()
	o.mu.Lock()
	o.current = nil
	o.unchangedSince = time.Time{}
	for _, ch := range r.waiters {
		close(ch)
	}
	r.waiters = nil
	o.mu.Unlock()
}

// end marks the ownership as ended, which stops its loops.
func (r *ownership) end() { r.endOnce.Do(func() { close(r.ended) }) }

// step passes an event to the core and carries out its effects. The caller must
// hold o.mu.
func (o *Owner) step(r *ownership, e cell.Event) {
	for _, f := range r.core.Step(r.clock.Now(), e) {
		o.perform(r, f)
	}
}

func (o *Owner) perform(r *ownership, f cell.Effect) {
	switch f := f.(type) {
	case cell.Commit:
		f.Page.Txn = ulid.Make().String()
		r.pages <- f.Page
	case cell.Orders:
		r.reply(f.Token, f.Orders)
	case cell.Done:
		if f.Reason != "" {
			o.Tally.Inc("lagoon_job_refusals_total", "reason", f.Reason)
		}
		r.reply(f.Token, f)
	case cell.Snapshot:
		select {
		case r.snapshots <- f:
		default:
			r.core.Unsaved()
		}
	case cell.Release:
		close(r.release)
	case cell.Note:
		o.logDecision(f)
	}
}

func (r *ownership) reply(token uint64, v any) {
	if ch := r.waiters[token]; ch != nil {
		delete(r.waiters, token)
		ch <- v
	}
}

func (o *Owner) logDecision(n cell.Note) {
	o.Tally.Inc("lagoon_task_decisions_total", "kind", n.Kind, "reason", n.Reason)
	e := logs.Decided
	switch n.Kind {
	case "quarantine":
		e = logs.Quarantine
	case "return":
		e = logs.Restored
	case "silent":
		e = logs.WorkerGone
	}
	o.Log.Info(e, logs.Fields{"cell": o.Cell, "kind": n.Kind, "reason": n.Reason, "task": n.Task, "worker": n.Worker})
	if o.Watch != nil {
		o.Watch(n)
	}
}

// ask passes an event with a new token to the core and waits for the answer.
func (o *Owner) ask(ctx context.Context, event func(token uint64) cell.Event) (any, error) {
	o.mu.Lock()
	r := o.current
	if r == nil {
		o.mu.Unlock()
		return nil, ErrNotOwner
	}
	r.lastToken++
	token := r.lastToken
	ch := make(chan any, 1)
	r.waiters[token] = ch
	o.step(r, event(token))
	o.mu.Unlock()
	select {
	case v, ok := <-ch:
		if !ok {
			return nil, ErrNotOwner
		}
		return v, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Beat passes a worker's heartbeat to the core and returns the orders that answer
// it.
func (o *Owner) Beat(ctx context.Context, b wire.Heartbeat) (wire.Orders, error) {
	v, err := o.ask(ctx, func(t uint64) cell.Event { return cell.Beat{Token: t, Heartbeat: b} })
	if err != nil {
		return wire.Orders{}, err
	}
	return v.(wire.Orders), nil
}

// Submit accepts or rejects a job.
func (o *Owner) Submit(ctx context.Context, j wire.Job) (cell.Done, error) {
	return o.askOperation(ctx, func(t uint64) cell.Event { return cell.Submit{Token: t, Job: j} })
}

// Cancel cancels a job.
func (o *Owner) Cancel(ctx context.Context, name string) (cell.Done, error) {
	return o.askOperation(ctx, func(t uint64) cell.Event { return cell.Cancel{Token: t, Name: name} })
}

// Drain drains a worker or, if restore is set, ends its draining.
func (o *Owner) Drain(ctx context.Context, worker string, restore bool) (cell.Done, error) {
	return o.askOperation(ctx, func(t uint64) cell.Event { return cell.Drain{Token: t, Worker: worker, Restore: restore} })
}

func (o *Owner) askOperation(ctx context.Context, event func(uint64) cell.Event) (cell.Done, error) {
	v, err := o.ask(ctx, event)
	if err != nil {
		return cell.Done{}, err
	}
	return v.(cell.Done), nil
}

// View calls f with the core and returns true, if this process owns the cell. f
// must not keep the core.
func (o *Owner) View(f func(*cell.Core)) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current == nil {
		return false
	}
	f(o.current.core)
	return true
}

// OwnerAddr returns the address of the cell's owner as last read, or an empty
// string. It also has a process that reads the cell's rows only rarely read them
// again soon.
func (o *Owner) Holder() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.ownerAsked <- struct{}{}:
	default:
	}
	return o.knownOwner.Addr
}

// Configure replaces the limits, also those of the running core.
func (o *Owner) Configure(l cell.Limits) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Limits = l
	if o.current != nil {
		o.current.core.Configure(l)
	}
}

// Leave hands the cell over, if this process owns it, and returns when that is done
// or the context ends. The process does not take the cell over again.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	r := o.current
	if r != nil {
		o.step(r, cell.Leave{})
	}
	o.mu.Unlock()
	if r == nil {
		return
	}
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
}
