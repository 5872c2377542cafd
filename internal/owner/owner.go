// Package owner keeps a process's part in one cell: it watches the cell's rows
// in the table, takes the cell over when it has no living owner, and then runs
// the cell's core.
//
// Ownership is decided by the table alone. The title row names the owner and
// its term, and changes only by a transaction that checks its version. Each
// page and each sign of life checks the title's version too, so an owner that
// was replaced can write nothing more. A watcher takes over once the head row
// has not changed for the owner lease by the watcher's own clock.
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

// ErrNotOwner says that this process does not own the cell.
var ErrNotOwner = errors.New("not the owner")

const (
	// watchEvery is how often a close watcher reads the cell's rows, and
	// lookEvery how often any other process does, which is never the one to
	// take the cell over.
	watchEvery = time.Second
	lookEvery  = 10 * time.Second
	// tickEvery is how often the core is told of the time.
	tickEvery = 50 * time.Millisecond
	// callTimeout bounds one operation of the platform.
	callTimeout = 2 * time.Second
	// retryEvery is the pause after a failed operation.
	retryEvery = 100 * time.Millisecond
)

// Owner is one process's part in a cell. Cell to Limits must be set before
// Run.
type Owner struct {
	Cell string
	// Name and Addr are those of this process.
	Name, Addr string
	Table      plat.Table
	Store      plat.Store
	Log        logs.Log
	Tally      *tally.Set
	Limits     cell.Limits
	// Seed makes placements repeatable.
	Seed uint64
	// Close reports whether this process is one of the few that watch the cell
	// closely and may take it over. If it is nil, it is.
	Close func() bool
	// Watch is told of each decision. It may be nil.
	Watch func(cell.Note)

	mu   sync.Mutex
	term *term
	// known is the newest title that was read.
	known title
	// quiet is since when the head has not changed, and version the head's.
	quiet   time.Time
	version uint64
	leaving bool
	// asked is signalled when somebody wants to know the owner.
	asked chan struct{}
}

// term is the time during which this process owns the cell.
type term struct {
	core    *cell.Core
	clock   clock.Clock
	title   plat.Row
	number  uint64
	pages   chan ledger.Page
	snaps   chan cell.Snapshot
	tokens  map[uint64]chan any
	next    uint64
	head    head
	ended   chan struct{}
	release chan struct{}
	once    sync.Once
}

// Run watches the cell until the context ends. A planned stop calls Leave
// first.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if o.vacant(ctx) && o.close() && !o.isLeaving() {
			if r := o.takeOver(ctx); r != nil {
				o.rule(ctx, r)
			}
		}
		o.pause(ctx)
	}
}

func (o *Owner) close() bool { return o.Close == nil || o.Close() }

// pause waits until the rows are worth another look.
func (o *Owner) pause(ctx context.Context) {
	o.mu.Lock()
	o.asked = make(chan struct{}, 1)
	asked := o.asked
	o.mu.Unlock()
	clock.Sleep(ctx, watchEvery)
	if o.close() {
		return
	}
	t := time.NewTimer(lookEvery - watchEvery)
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

func (o *Owner) failed(step string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	o.Tally.Inc("lagoon_store_errors_total", "step", step)
	o.Log.Error(logs.StoreDown, fault.At(step, o.Cell).Wrap(err), logs.Fields{"cell": o.Cell})
}

// vacant reads the cell's rows and reports whether the cell may be taken.
func (o *Owner) vacant(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, _, err := readRow[title](ctx, o.Table, titleKey(o.Cell))
	if err != nil {
		o.failed("read title", err)
		o.unread()
		return false
	}
	_, row, err := readRow[head](ctx, o.Table, headKey(o.Cell))
	if err != nil {
		o.failed("read head", err)
		o.unread()
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known = t
	if row.Version != o.version || o.quiet.IsZero() {
		o.version = row.Version
		o.quiet = time.Now()
	}
	if t.Addr == "" {
		return true
	}
	return time.Since(o.quiet) > time.Duration(float64(o.Limits.Owner)*(1+clockDrift))
}

// clockDrift bounds how much clocks of two processes differ in speed.
const clockDrift = 0.02

// unread starts the wait anew: while the table can't be read, an owner can't
// write to it either.
func (o *Owner) unread() {
	o.mu.Lock()
	o.quiet = time.Time{}
	o.mu.Unlock()
}

// takeOver makes this process the owner, or returns nil.
func (o *Owner) takeOver(ctx context.Context) *term {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	old, row, err := readRow[title](ctx, o.Table, titleKey(o.Cell))
	if err != nil {
		o.failed("read title", err)
		return nil
	}
	h, hrow, err := readRow[head](ctx, o.Table, headKey(o.Cell))
	if err != nil || hrow.Version != o.version {
		return nil
	}
	mine := title{Term: old.Term + 1, Name: o.Name, Addr: o.Addr, Nonce: ulid.Make().String()}
	if err := o.claim(ctx, mine, row, h, hrow); err != nil {
		o.failed("take over", err)
	}
	return o.begin(ctx, mine, old)
}

func (o *Owner) claim(ctx context.Context, mine title, row plat.Row, h head, hrow plat.Row) error {
	h.Beat++
	tw, err := put(titleKey(o.Cell), mine)
	if err != nil {
		return err
	}
	hw, err := put(headKey(o.Cell), h)
	if err != nil {
		return err
	}
	return o.Table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: row.Key, Version: row.Version}, {Key: hrow.Key, Version: hrow.Version}},
		Writes: []plat.Write{tw, hw},
	})
}

// begin reads back whether the claim took effect and loads the state.
func (o *Owner) begin(ctx context.Context, mine, old title) *term {
	got, row, err := readRow[title](ctx, o.Table, titleKey(o.Cell))
	if err != nil || got != mine {
		return nil
	}
	c := clock.New()
	led, err := load(ctx, o.Cell, o.Table, o.Store)
	if err != nil {
		o.failed("load", err)
		return nil
	}
	h, _, err := readRow[head](ctx, o.Table, headKey(o.Cell))
	if err != nil {
		return nil
	}
	l := o.Limits
	if old.Addr == "" {
		// The last owner gave the cell up and renews no lease any more.
		l.Outage = time.Nanosecond
	}
	core := cell.New(l, mine.Term, c.Epoch(), o.Seed, led, h.Seq)
	core.Configure(o.Limits)
	o.Log.Info(logs.Owned, logs.Fields{"cell": o.Cell, "term": mine.Term, "jobs": len(led.Jobs), "seq": led.Seq})
	o.Tally.Inc("lagoon_takeovers_total", "cell", o.Cell)
	return &term{
		core:    core,
		clock:   c,
		title:   row,
		number:  mine.Term,
		head:    h,
		pages:   make(chan ledger.Page, 1),
		snaps:   make(chan cell.Snapshot, 1),
		tokens:  map[uint64]chan any{},
		ended:   make(chan struct{}),
		release: make(chan struct{}),
	}
}

// rule runs the core until another process takes the cell or it is released.
func (o *Owner) rule(ctx context.Context, r *term) {
	o.mu.Lock()
	o.term = r
	o.known = title{Term: r.number, Name: o.Name, Addr: o.Addr}
	o.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() { o.loopPages(ctx, r) })
	all.Go(func() { o.loopHead(ctx, r) })
	all.Go(func() { o.loopTicks(ctx, r) })
	all.Wait()
	o.mu.Lock()
	o.term = nil
	o.quiet = time.Time{}
	for _, ch := range r.tokens {
		close(ch)
	}
	r.tokens = nil
	o.mu.Unlock()
}

func (r *term) end() { r.once.Do(func() { close(r.ended) }) }

// step passes an event to the core and carries out its effects. It must be
// called with the mutex held.
func (o *Owner) step(r *term, e cell.Event) {
	for _, f := range r.core.Step(r.clock.Now(), e) {
		o.do(r, f)
	}
}

func (o *Owner) do(r *term, f cell.Effect) {
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
		case r.snaps <- f:
		default:
			r.core.Unsaved()
		}
	case cell.Release:
		close(r.release)
	case cell.Note:
		o.note(f)
	}
}

func (r *term) reply(token uint64, v any) {
	if ch := r.tokens[token]; ch != nil {
		delete(r.tokens, token)
		ch <- v
	}
}

func (o *Owner) note(n cell.Note) {
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

// ask passes an event with a token to the core and waits for the answer.
func (o *Owner) ask(ctx context.Context, event func(token uint64) cell.Event) (any, error) {
	o.mu.Lock()
	r := o.term
	if r == nil {
		o.mu.Unlock()
		return nil, ErrNotOwner
	}
	r.next++
	token := r.next
	ch := make(chan any, 1)
	r.tokens[token] = ch
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

// Beat answers a worker's report.
func (o *Owner) Beat(ctx context.Context, b wire.Heartbeat) (wire.Orders, error) {
	v, err := o.ask(ctx, func(t uint64) cell.Event { return cell.Beat{Token: t, Heartbeat: b} })
	if err != nil {
		return wire.Orders{}, err
	}
	return v.(wire.Orders), nil
}

// Submit accepts a job.
func (o *Owner) Submit(ctx context.Context, j wire.Job) (cell.Done, error) {
	return o.operate(ctx, func(t uint64) cell.Event { return cell.Submit{Token: t, Job: j} })
}

// Cancel withdraws a job.
func (o *Owner) Cancel(ctx context.Context, name string) (cell.Done, error) {
	return o.operate(ctx, func(t uint64) cell.Event { return cell.Cancel{Token: t, Name: name} })
}

// Drain empties a worker, or uses it again.
func (o *Owner) Drain(ctx context.Context, worker string, off bool) (cell.Done, error) {
	return o.operate(ctx, func(t uint64) cell.Event { return cell.Drain{Token: t, Worker: worker, Restore: off} })
}

func (o *Owner) operate(ctx context.Context, event func(uint64) cell.Event) (cell.Done, error) {
	v, err := o.ask(ctx, event)
	if err != nil {
		return cell.Done{}, err
	}
	return v.(cell.Done), nil
}

// View calls f with the core, if this process owns the cell. The core must not
// be kept.
func (o *Owner) View(f func(*cell.Core)) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return false
	}
	f(o.term.core)
	return true
}

// Holder returns the address of the cell's owner as last read, or an empty
// string. It also has the rows read again soon.
func (o *Owner) Holder() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.asked <- struct{}{}:
	default:
	}
	return o.known.Addr
}

// Configure replaces the limits.
func (o *Owner) Configure(l cell.Limits) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Limits = l
	if o.term != nil {
		o.term.core.Configure(l)
	}
}

// Leave hands the cell over and returns when that is done or the context ends.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	r := o.term
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
