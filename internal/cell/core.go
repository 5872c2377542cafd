// Package cell decides, as the owner of one cell, which task runs on which
// worker.
//
// Model. Core is the state of one owner during one term. Step takes the time
// and an event and returns effects; it does no I/O. Decisions change the
// ledger in memory at once and are drafted as records. A page commits all
// records since the last one. What others can see of a decision, such as the
// start of a task or the acceptance of a job, waits until its page is
// committed. If the page can't be committed because another owner has the
// cell, the whole core is dropped.
//
// A worker learns of orders only in answers to its own beats, and its leases
// end at a fixed span after the clock reading in the beat. The owner therefore
// knows an upper bound of every lease it ever granted, by its own clock: the
// time it received the last beat that it answered, plus the lease. Only after
// that bound, or after the worker's own word that an attempt has ended, may
// the task go elsewhere.
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
	now   time.Duration

	led     ledger.Ledger
	workers map[string]*worker
	// list holds the workers in order of their first beat.
	list    []*worker
	backlog backlog
	usage   map[string]vect.Size
	kinds   map[string]kind

	draft    []ledger.Record
	held     []Effect
	inflight *page
	lastPage time.Duration
	paged    bool
	// granted is when the last successful write of the owner's row was sent.
	granted time.Duration
	// snapped is the page of the newest snapshot that is stored or under way,
	// and saved that of the newest one that is certainly stored.
	snapped, saved uint64
	// freed lists workers that have had room given back lately, newest last. In
	// a full cell a random sample would hardly find them.
	freed []*worker
	// roomAt is when a long task was last evicted for a short one.
	roomAt  time.Duration
	leaving bool
	dropped bool
	// news lists workers with news and a beat to answer.
	news []*worker
	// dirty says that a placement may succeed that failed before.
	dirty   bool
	effects []Effect
}

// page is a commit in progress and what it holds back.
type page struct {
	ledger.Page
	held []Effect
}

// pagesKept is the most pages after the newest stored snapshot. It is less than
// the number of rows that pages rotate through.
const pagesKept = 1000

// New returns the core of an owner that took the cell over at time zero, from
// the state that it found. Epoch is the wall-clock time of time zero in
// milliseconds, and saved the page of the newest stored snapshot.
func New(l Limits, term uint64, epoch int64, seed uint64, found ledger.Ledger, saved uint64) *Core {
	c := &Core{
		limits:  l.withDefaults(),
		term:    term,
		epoch:   epoch,
		rng:     rand.New(rand.NewPCG(seed, term)),
		led:     found,
		workers: map[string]*worker{},
		usage:   map[string]vect.Size{},
		kinds:   map[string]kind{},
		snapped: saved,
		saved:   saved,
		dirty:   true,
	}
	c.recover()
	return c
}

// recover rebuilds places and queues. A worker that runs a task under an
// earlier owner may hold a lease for as long as that owner could renew it.
func (c *Core) recover() {
	for _, name := range slices.Sorted(maps.Keys(c.led.Jobs)) {
		j := c.led.Jobs[name]
		for _, i := range j.OpenIndexes() {
			if t := j.Open[i]; t.Placed() {
				c.restore(j, i, t)
			}
		}
		c.queue(j)
	}
}

func (c *Core) restore(j *ledger.Job, index int, t *ledger.Task) {
	w := c.worker(t.Worker, t.Incarnation)
	w.until = c.limits.Outage + c.limits.lapse()
	p := c.place(j, index, t, w)
	p.ready = true
	p.sent = true
	if t.State == "cancelling" {
		p.stop = "cancelled"
	}
	w.add(p)
	c.charge(j, p.size, 1)
}

func (c *Core) place(j *ledger.Job, index int, t *ledger.Task, w *worker) *place {
	return &place{
		Ref:    plat.Ref{Task: ledger.TaskID(j.Spec.Name, index), Attempt: t.Attempt},
		job:    j.Spec.Name,
		index:  index,
		size:   j.Spec.Size,
		worker: w,
		saved:  t.Saved,
	}
}

func (c *Core) worker(name, incarnation string) *worker {
	k := key(name, incarnation)
	w := c.workers[k]
	if w == nil {
		w = &worker{name: name, incarnation: incarnation, places: map[plat.Ref]*place{}}
		c.workers[k] = w
		c.list = append(c.list, w)
	}
	return w
}

// Step takes one event and returns what is to be done. The returned slice is
// valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	if c.dropped {
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
		c.beat(e)
	case Committed:
		c.committed(e)
	case Held:
		c.granted = max(c.granted, time.Duration(e.Sent))
	case Saved:
		c.saved = max(c.saved, e.Seq)
	case Deposed:
		c.dropped = true
		return nil
	case Tick:
		c.tick()
	case Leave:
		c.leaving = true
	}
	c.schedule()
	c.answers()
	c.flush()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// wall returns the wall-clock time in milliseconds.
func (c *Core) wall() int64 { return c.epoch + c.now.Milliseconds() }

// record drafts a record and applies it. It reports whether it fitted.
func (c *Core) record(r ledger.Record) bool {
	r.At = c.wall()
	if !c.led.Apply(r) {
		return false
	}
	c.draft = append(c.draft, r)
	return true
}

// after emits an effect once everything drafted so far is committed.
func (c *Core) after(e Effect) {
	switch {
	case len(c.draft) > 0:
		c.held = append(c.held, e)
	case c.inflight != nil:
		c.inflight.held = append(c.inflight.held, e)
	default:
		c.emit(e)
	}
}

// flush commits the draft, at most one page at a time and not too often.
func (c *Core) flush() {
	if c.inflight != nil {
		return
	}
	if len(c.draft) == 0 {
		if c.leaving && !c.dropped {
			c.dropped = true
			c.emit(Release{})
		}
		return
	}
	if c.led.Seq-c.saved >= pagesKept {
		// The next page would overwrite one that no snapshot covers.
		return
	}
	if c.paged && c.now-c.lastPage < c.limits.Gap && !c.leaving {
		return
	}
	c.led.Seq++
	c.inflight = &page{
		Page: ledger.Page{Seq: c.led.Seq, Term: c.term, Records: c.draft},
		held: c.held,
	}
	c.draft, c.held = nil, nil
	c.lastPage = c.now
	c.paged = true
	if c.led.Seq-c.snapped >= c.limits.Snap {
		c.snapshot()
	}
	c.emit(Commit{Page: c.inflight.Page})
}

func (c *Core) committed(e Committed) {
	pg := c.inflight
	if pg == nil || pg.Seq != e.Seq {
		return
	}
	c.inflight = nil
	for _, r := range pg.Records {
		c.visible(r)
	}
	for _, h := range pg.held {
		c.emit(h)
	}
}

// visible lets a committed record be seen by the worker concerned.
func (c *Core) visible(r ledger.Record) {
	switch r.Op {
	case ledger.Start:
		w := c.workers[key(r.Worker, r.Incarnation)]
		if p := c.placeOf(w, r); p != nil {
			p.ready = true
			c.press(p)
		}
	case ledger.End, ledger.Fail, ledger.Requeue, ledger.Lose:
		w := c.workers[key(r.Worker, r.Incarnation)]
		if p := c.placeOf(w, r); p != nil && p.ended {
			delete(w.places, p.Ref)
			w.acks = append(w.acks, p.Ref)
			c.tell(w)
		}
	}
}

func (c *Core) placeOf(w *worker, r ledger.Record) *place {
	if w == nil {
		return nil
	}
	return w.places[plat.Ref{Task: ledger.TaskID(r.Name, r.Task), Attempt: r.Attempt}]
}

// snapshot encodes the ledger as of the page that has just been formed, to be
// stored once that page is committed.
func (c *Core) snapshot() {
	c.led.Prune(c.wall())
	data, err := c.led.Encode()
	if err != nil {
		return
	}
	c.snapped = c.led.Seq
	c.inflight.held = append(c.inflight.held, Snapshot{Seq: c.led.Seq, Data: data})
}

// Unsaved says that the newest snapshot could not be stored.
func (c *Core) Unsaved() { c.snapped = max(c.saved, c.led.Seq-min(c.led.Seq, c.limits.Snap/2)) }

func (c *Core) tick() {
	for _, w := range c.list {
		c.lapse(w)
	}
	c.list = c.alive()
	for _, w := range c.list {
		if w.beat != nil && c.now-w.heard >= c.limits.Beat {
			c.answer(w)
		}
	}
	c.dirty = true
}

// lapse takes the tasks from a worker whose leases are certainly over.
func (c *Core) lapse(w *worker) {
	if c.now <= w.until || c.now-w.heard <= c.limits.Run && w.beaten {
		return
	}
	for _, p := range w.sorted() {
		if !p.ended && p.ready {
			c.vanished(p)
		}
	}
}

// vanished decides on a task whose worker fell silent. Its attempt certainly
// does not run any more, but may have had effects.
func (c *Core) vanished(p *place) {
	j := c.led.Jobs[p.job]
	if j.Spec.Idempotent || !p.sent {
		c.back(p, "silent", false)
		return
	}
	c.finish(p, ledger.Lose, "silent")
}

// alive returns the workers that are still of interest.
func (c *Core) alive() []*worker {
	out := c.list[:0]
	for _, w := range c.list {
		if len(w.places) == 0 && c.now > w.until && c.now-w.heard > c.limits.Run {
			delete(c.workers, key(w.name, w.incarnation))
			if w.beaten {
				c.emit(Note{Kind: "silent", Worker: w.name, Reason: "silent"})
			}
			continue
		}
		out = append(out, w)
	}
	clear(c.list[len(out):])
	return out
}

// authority reports whether the owner may renew leases.
func (c *Core) authority() bool { return c.now-c.granted < c.limits.Outage }

// tell notes that a worker's next orders say more than to go on.
func (c *Core) tell(w *worker) {
	w.news = true
	c.news = append(c.news, w)
}

// press moves a place on towards its worker: a start is told, and a stop of an
// attempt that no orders have named yet ends it at once.
func (c *Core) press(p *place) {
	if p.stop != "" && p.ready && !p.sent {
		c.back(p, p.stop, false)
		return
	}
	c.tell(p.worker)
}

// answers answers the beats of workers with news.
func (c *Core) answers() {
	for _, w := range c.news {
		if w.news && w.beat != nil {
			c.answer(w)
		}
	}
	clear(c.news)
	c.news = c.news[:0]
}

func (c *Core) answer(w *worker) {
	b := w.beat
	w.beat = nil
	if b == nil {
		return
	}
	o := wire.Orders{Lease: c.limits.Run}
	o.Term = c.term
	o.Incarnation = w.incarnation
	if c.authority() {
		w.until = max(w.until, w.heard+c.limits.lapse())
		if w.confirmed {
			w.fill(&o.Orders, c.run)
		} else {
			c.adopt(w, &o.Orders)
		}
	}
	c.emit(Orders{Token: b.Token, Worker: w.name, Orders: o})
}

// adopt keeps what an unconfirmed worker runs, and starts nothing yet.
func (c *Core) adopt(w *worker, o *plat.Orders) {
	for _, p := range w.sorted() {
		if p.seen && !p.ended {
			o.Keep = append(o.Keep, p.Ref)
		}
	}
}

func (c *Core) run(p *place) plat.Run {
	s := c.led.Jobs[p.job].Spec
	length := s.Actual
	if length == 0 {
		length = s.Runtime
	}
	return plat.Run{
		Ref:    p.Ref,
		Kind:   s.Kind,
		Size:   p.size,
		Length: length,
		Resume: p.saved,
	}
}
