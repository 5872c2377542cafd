// Package cell decides, as the owner of one cell, which task runs on which
// worker.
//
// Core is the state of one owner during one term. Step takes the time and an
// event and returns effects for the caller to carry out; it does no I/O. A
// decision changes the ledger in memory at once and adds a record to the pending
// ones. A page commits all pending records in one transaction. Effects that show
// a decision to others, such as the start of a task or the acceptance of a job,
// are deferred until its page is committed. If a page can't be committed because
// another process has become the owner, the core and its uncommitted decisions
// are discarded.
//
// A worker receives orders only in answers to its own heartbeats, and its leases
// end a fixed duration after the clock reading in the heartbeat. The owner
// therefore knows an upper bound, by its own clock, of the end of every lease it
// has granted: the time at which it received the last heartbeat that it
// answered, plus the lease. A task may be placed again only after that bound, or
// after the worker has reported the end of the attempt.
package cell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// Core is the state of a cell's owner. Use New.
type Core struct {
	limits Limits
	term   uint64
	// epoch is the wall-clock time, in milliseconds, of time zero.
	epoch int64
	rng   *rand.Rand
	// now is the time of the present step, since the takeover.
	now time.Duration

	ledger ledger.Ledger
	// workers holds the workers by workerKey.
	workers map[string]*worker
	// ordered holds the workers in the order in which they became known.
	ordered []*worker
	backlog backlog
	// teamUsage holds the resources that each team's running tasks take up.
	teamUsage map[string]vect.Size
	// kinds holds what was learned of each kind of job.
	kinds map[string]kindStats

	// pending holds the records that are in no page yet, and deferred the effects
	// that wait until they are committed.
	pending  []ledger.Record
	deferred []Effect
	// inflight is the page whose commit is in progress, or nil.
	inflight *page
	// lastPageAt is when the last page was sent, if pageSent is set.
	lastPageAt time.Duration
	pageSent   bool
	// renewedAt is when the last successful write of the owner's heartbeat row
	// was sent.
	renewedAt time.Duration
	// snapSeq is the page of the newest snapshot that is stored or being
	// stored, and stored that of the newest one that is known to be stored.
	snapSeq, stored uint64
	// recentlyFreed lists workers whose capacity was freed lately, newest last.
	// In a full cell a random sample would rarely include them.
	recentlyFreed []*worker
	// shortEvictionAt is when a long task was last evicted for a short one.
	shortEvictionAt time.Duration
	// leaving is set once the owner was asked to hand the cell over.
	leaving bool
	// inactive is set once the owner was deposed or has released the cell; events
	// have no effect then.
	inactive bool
	// changed lists workers whose orders have changed since their last answer.
	changed []*worker
	// needsScheduling is set when a placement that failed before may succeed.
	needsScheduling bool
	// effects holds the effects of the present step.
	effects []Effect
}

// page is a page whose commit is in progress, and the effects that wait for it.
type page struct {
	ledger.Page
	deferred []Effect
}

// maxPagesSinceSnapshot is the largest number of pages after the newest stored
// snapshot. It is less than the number of table rows that pages rotate through,
// so that no page is overwritten before a snapshot covers it.
const maxPagesSinceSnapshot = 1000

// New returns the core of an owner that took the cell over at time zero. Found is
// the state that it loaded, epoch the wall-clock time of time zero in
// milliseconds, and stored the page of the newest stored snapshot.
func New(l Limits, term uint64, epoch int64, seed uint64, found ledger.Ledger, stored uint64) *Core {
	c := &Core{
		limits:          l.withDefaults(),
		term:            term,
		epoch:           epoch,
		rng:             rand.New(rand.NewPCG(seed, term)),
		ledger:          found,
		workers:         map[string]*worker{},
		teamUsage:       map[string]vect.Size{},
		kinds:           map[string]kindStats{},
		snapSeq:         stored,
		stored:          stored,
		needsScheduling: true,
	}
	c.rebuild()
	return c
}

// rebuild restores placements and queues from the ledger. A worker that runs a
// task of an earlier owner may hold a lease for as long as that owner could have
// renewed it, which is Limits.Outage.
func (c *Core) rebuild() {
	for _, name := range slices.Sorted(maps.Keys(c.ledger.Jobs)) {
		j := c.ledger.Jobs[name]
		for _, i := range j.OpenIndexes() {
			if t := j.Open[i]; t.Placed() {
				c.restorePlacement(j, i, t)
			}
		}
		c.enqueue(j)
	}
}

// restorePlacement adds the placement of a task that an earlier owner started. The
// worker may or may not have received the orders to start it.
func (c *Core) restorePlacement(j *ledger.Job, index int, t *ledger.Task) {
	w := c.workerFor(t.Worker, t.Incarnation)
	w.leasesEnd = c.limits.Outage + c.limits.leaseBound()
	p := c.newPlacement(j, index, t, w)
	p.committed = true
	p.sent = true
	if t.State == "cancelling" {
		p.stopReason = "cancelled"
	}
	w.add(p)
	c.addUsage(j, p.size, 1)
}

func (c *Core) newPlacement(j *ledger.Job, index int, t *ledger.Task, w *worker) *placement {
	return &placement{
		Ref:        plat.Ref{Task: ledger.TaskID(j.Spec.Name, index), Attempt: t.Attempt},
		job:        j.Spec.Name,
		index:      index,
		size:       j.Spec.Size,
		worker:     w,
		checkpoint: t.Saved,
	}
}

func (c *Core) workerFor(name, incarnation string) *worker {
	k := workerKey(name, incarnation)
	w := c.workers[k]
	if w == nil {
		w = &worker{name: name, incarnation: incarnation, placements: map[plat.Ref]*placement{}}
		c.workers[k] = w
		c.ordered = append(c.ordered, w)
	}
	return w
}

// Step handles one event and returns the effects to carry out. The returned slice
// is valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	if c.inactive {
		return nil
	}
	switch e := e.(type) {
	case Submit:
		c.submit(e)
	case Cancel:
		c.cancel(e)
	case Drain:
		c.drain(e)
	case Beat:
		c.heartbeat(e)
	case Committed:
		c.pageCommitted(e)
	case Held:
		c.renewedAt = max(c.renewedAt, time.Duration(e.Sent))
	case Saved:
		c.stored = max(c.stored, e.Seq)
	case Deposed:
		c.inactive = true
		return nil
	case Tick:
		c.tick()
	case Leave:
		c.leaving = true
	}
	c.schedule()
	c.answerChanged()
	c.sendPage()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// wall returns the wall-clock time in milliseconds.
func (c *Core) wall() int64 { return c.epoch + c.now.Milliseconds() }

// record applies a record to the ledger and adds it to the pending ones. It
// reports whether the record was valid.
func (c *Core) record(r ledger.Record) bool {
	r.At = c.wall()
	if !c.ledger.Apply(r) {
		return false
	}
	c.pending = append(c.pending, r)
	return true
}

// emitCommitted emits an effect once all records so far are committed.
func (c *Core) emitCommitted(e Effect) {
	switch {
	case len(c.pending) > 0:
		c.deferred = append(c.deferred, e)
	case c.inflight != nil:
		c.inflight.deferred = append(c.inflight.deferred, e)
	default:
		c.emit(e)
	}
}

// sendPage starts the commit of the pending records. Only one commit is in
// progress at a time, and pages are at least Limits.CommitInterval apart. After
// a Leave it releases the cell when nothing is left to commit.
func (c *Core) sendPage() {
	if c.inflight != nil {
		return
	}
	if len(c.pending) == 0 {
		if c.leaving && !c.inactive {
			c.inactive = true
			c.emit(Release{})
		}
		return
	}
	if c.ledger.Seq-c.stored >= maxPagesSinceSnapshot {
		// The next page could overwrite one that no stored snapshot covers.
		return
	}
	if c.pageSent && c.now-c.lastPageAt < c.limits.Gap && !c.leaving {
		return
	}
	c.ledger.Seq++
	c.inflight = &page{
		Page:     ledger.Page{Seq: c.ledger.Seq, Term: c.term, Records: c.pending},
		deferred: c.deferred,
	}
	c.pending, c.deferred = nil, nil
	c.lastPageAt = c.now
	c.pageSent = true
	if c.ledger.Seq-c.snapSeq >= c.limits.Snap {
		c.takeSnapshot()
	}
	c.emit(Commit{Page: c.inflight.Page})
}

func (c *Core) pageCommitted(e Committed) {
	pg := c.inflight
	if pg == nil || pg.Seq != e.Seq {
		return
	}
	c.inflight = nil
	for _, r := range pg.Records {
		c.applyCommitted(r)
	}
	for _, h := range pg.deferred {
		c.emit(h)
	}
}

// applyCommitted has the worker that a committed record concerns notified: of a
// start, or of an end that the worker may forget.
func (c *Core) applyCommitted(r ledger.Record) {
	switch r.Op {
	case ledger.Start:
		w := c.workers[workerKey(r.Worker, r.Incarnation)]
		if p := c.placementOf(w, r); p != nil {
			p.committed = true
			c.propagate(p)
		}
	case ledger.End, ledger.Fail, ledger.Requeue, ledger.Lose:
		w := c.workers[workerKey(r.Worker, r.Incarnation)]
		if p := c.placementOf(w, r); p != nil && p.ended {
			delete(w.placements, p.Ref)
			w.acks = append(w.acks, p.Ref)
			c.markChanged(w)
		}
	}
}

func (c *Core) placementOf(w *worker, r ledger.Record) *placement {
	if w == nil {
		return nil
	}
	return w.placements[plat.Ref{Task: ledger.TaskID(r.Name, r.Task), Attempt: r.Attempt}]
}

// takeSnapshot encodes the ledger as of the page that is about to be sent, to be
// stored once that page is committed.
func (c *Core) takeSnapshot() {
	c.ledger.Prune(c.wall())
	data, err := c.ledger.Encode()
	if err != nil {
		return
	}
	c.snapSeq = c.ledger.Seq
	c.inflight.deferred = append(c.inflight.deferred, Snapshot{Seq: c.ledger.Seq, Data: data})
}

// Unsaved must be called when the newest snapshot could not be stored. The
// next one is taken after half the usual number of pages.
func (c *Core) Unsaved() { c.snapSeq = max(c.stored, c.ledger.Seq-min(c.ledger.Seq, c.limits.Snap/2)) }

func (c *Core) tick() {
	for _, w := range c.ordered {
		c.expire(w)
	}
	c.ordered = c.pruneWorkers()
	for _, w := range c.ordered {
		if w.unanswered != nil && c.now-w.lastContact >= c.limits.Beat {
			c.answer(w)
		}
	}
	c.needsScheduling = true
}

// expire ends the placements on a worker whose leases have certainly expired.
func (c *Core) expire(w *worker) {
	if c.now <= w.leasesEnd || c.now-w.lastContact <= c.limits.Run && w.reported {
		return
	}
	for _, p := range w.sorted() {
		if !p.ended && p.committed {
			c.expirePlacement(p)
		}
	}
}

// expirePlacement requeues or ends a task whose worker is unresponsive and has
// lost its leases. The attempt no longer runs, but may have had effects, so a
// task that is not idempotent is lost.
func (c *Core) expirePlacement(p *placement) {
	j := c.ledger.Jobs[p.job]
	if j.Spec.Idempotent || !p.sent {
		c.requeue(p, "silent", false)
		return
	}
	c.finish(p, ledger.Lose, "silent")
}

// pruneWorkers returns the workers without those that have no placements, no
// leases and no recent contact.
func (c *Core) pruneWorkers() []*worker {
	out := c.ordered[:0]
	for _, w := range c.ordered {
		if len(w.placements) == 0 && c.now > w.leasesEnd && c.now-w.lastContact > c.limits.Run {
			delete(c.workers, workerKey(w.name, w.incarnation))
			if w.reported {
				c.emit(Note{Kind: "silent", Worker: w.name, Reason: "silent"})
			}
			continue
		}
		out = append(out, w)
	}
	clear(c.ordered[len(out):])
	return out
}

// mayRenew reports whether the owner may renew leases: the last successful write
// of its heartbeat row is less than Limits.Outage ago.
func (c *Core) mayRenew() bool { return c.now-c.renewedAt < c.limits.Outage }

// markChanged has the worker's next orders sent as soon as it has a heartbeat
// without an answer.
func (c *Core) markChanged(w *worker) {
	w.changed = true
	c.changed = append(c.changed, w)
}

// propagate has the worker notified of a change of a placement. An attempt that
// is to stop and was never part of any orders is requeued at once instead.
func (c *Core) propagate(p *placement) {
	if p.stopReason != "" && p.committed && !p.sent {
		c.requeue(p, p.stopReason, false)
		return
	}
	c.markChanged(p.worker)
}

// answerChanged answers the waiting heartbeats of workers whose orders have
// changed.
func (c *Core) answerChanged() {
	for _, w := range c.changed {
		if w.changed && w.unanswered != nil {
			c.answer(w)
		}
	}
	clear(c.changed)
	c.changed = c.changed[:0]
}

// answer sends a worker its orders as the answer to its last heartbeat, and renews
// its leases if this owner may still do so.
func (c *Core) answer(w *worker) {
	b := w.unanswered
	w.unanswered = nil
	if b == nil {
		return
	}
	o := wire.Orders{Lease: c.limits.Run}
	o.Term = c.term
	o.Incarnation = w.incarnation
	if c.mayRenew() {
		w.leasesEnd = max(w.leasesEnd, w.lastContact+c.limits.leaseBound())
		if w.confirmed {
			w.writeOrders(&o.Orders, c.runSpec)
		} else {
			c.keepReported(w, &o.Orders)
		}
	}
	c.emit(Orders{Token: b.Token, Worker: w.name, Orders: o})
}

// keepReported orders a worker that has not confirmed this owner's term to keep
// what it runs. It starts and stops nothing.
func (c *Core) keepReported(w *worker, o *plat.Orders) {
	for _, p := range w.sorted() {
		if p.reported && !p.ended {
			o.Keep = append(o.Keep, p.Ref)
		}
	}
}

func (c *Core) runSpec(p *placement) plat.Run {
	s := c.ledger.Jobs[p.job].Spec
	length := s.Actual
	if length == 0 {
		length = s.Runtime
	}
	return plat.Run{
		Ref:    p.Ref,
		Kind:   s.Kind,
		Size:   p.size,
		Length: length,
		Resume: p.checkpoint,
	}
}
