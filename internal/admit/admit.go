// Package admit decides at an agent which calls its minion runs.
//
// Model. Core is the state of the agent's side of the request path. A call is
// started at once if a slot is free, waits in a very short queue, or is
// refused; a refusal is certain, because the agent remembers the attempt and
// never starts it later. Every attempt is remembered for as long as a copy of
// it may still arrive. A slot that comes free while entries have requests
// waiting is kept, for a moment, for the entry whose request has waited
// longest.
//
// Step takes the time and an event and returns effects. It does no I/O.
package admit

import (
	_ "embed"
	"time"

	"lagoonrack/internal/chart"
	"lagoonrack/internal/wire"
)

//go:embed call.chart.yaml
var callFile []byte

var callChart = chart.Must(callFile)

// Defaults for zero fields of Core.
const (
	// defaultKeep is how long an attempt is remembered after its end.
	defaultKeep = time.Minute
	// defaultHold is how long a slot is kept for an entry.
	defaultHold = 20 * time.Millisecond
	// bidLife is the age at which a bid that is not repeated lapses.
	bidLife = 100 * time.Millisecond
	// resultBytes bounds the bodies that are kept for a later Kill.
	resultBytes = 4 << 20
)

// Core is the admission state of one agent. Slots must be set before use.
type Core struct {
	// Slots is the number of requests that the minion runs at a time.
	Slots int
	// Queue is the number of accepted calls that may wait for a slot.
	Queue int
	// Ahead is the number of slots promised beyond the free ones, so that a
	// request is on its way when a slot comes free.
	Ahead int
	// Incarnation names this start of the agent.
	Incarnation string
	// Keep and Hold default to a minute and 20 ms.
	Keep, Hold time.Duration

	now   time.Duration
	calls map[key]*call
	// begun holds each non-idempotent request of which some attempt started.
	begun    map[string]bool
	ended    []*call
	kept     []*call
	keptSize int
	waiting  []*call
	running  int
	reserved int
	entries  map[string]*entry
	order    []*entry
	seq      uint64
	leaving  bool
	effects  []Effect
}

// key names one attempt of a request.
type key struct {
	id      string
	attempt int
}

// call is what the agent remembers of an attempt.
type call struct {
	key
	state      string
	entry      *entry
	idempotent bool
	deadline   time.Duration
	// result is the answer while it is kept; has tells whether it is.
	result wire.Result
	has    bool
	// forget is when the record may be dropped, once it has ended.
	forget time.Duration
}

// entry is what the agent knows of one entry.
type entry struct {
	name string
	// seen is the highest serial received; it only grows.
	seen uint64
	// waiting and oldest are the entry's newest bid.
	waiting int
	oldest  time.Duration
	bidAt   time.Duration
	// granted counts grants that are not emitted yet.
	granted int
	// holds lists when the slots kept for the entry are given up.
	holds []time.Duration
}

// Step takes one event and returns what is to be done. The returned slice is
// valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.prepare()
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Call:
		c.call(e)
	case Done:
		c.done(e)
	case Kill:
		c.kill(e)
	case Bid:
		c.bid(e)
	case Tick:
		c.tick()
	case Leave:
		c.leave()
	}
	return c.effects
}

func (c *Core) prepare() {
	if c.calls != nil {
		return
	}
	c.calls = map[key]*call{}
	c.begun = map[string]bool{}
	c.entries = map[string]*entry{}
	if c.Keep == 0 {
		c.Keep = defaultKeep
	}
	if c.Hold == 0 {
		c.Hold = defaultHold
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// State returns the slots as one entry is to see them. Each call returns a
// newer sequence number.
func (c *Core) State(name string) wire.Slots {
	c.seq++
	s := wire.Slots{Seq: c.seq, Free: c.free(), Queued: len(c.waiting)}
	if e := c.entries[name]; e != nil {
		s.Seen = e.seen
	}
	return s
}

// Trace returns what is remembered of a request over all its attempts.
func (c *Core) Trace(id string) wire.RequestState {
	var t wire.RequestState
	for n := 1; n <= maxAttempts; n++ {
		cl := c.calls[key{id, n}]
		if cl == nil {
			continue
		}
		t.Running = t.Running || cl.state == "queued" || cl.state == "running"
		if cl.has && cl.result.Broken == "" {
			t.Ended, t.Result = true, cl.result
		}
	}
	return t
}

// maxAttempts is more than any request has.
const maxAttempts = 128

// Waiting reports whether calls or grants wait for something that time changes.
func (c *Core) Waiting() bool { return len(c.waiting) > 0 || c.reserved > 0 }

// Busy returns the number of calls that run or wait.
func (c *Core) Busy() int { return c.running + len(c.waiting) }

func (c *Core) free() int { return max(0, c.Slots-c.running-len(c.waiting)) }

func (c *Core) from(name string) *entry {
	e := c.entries[name]
	if e == nil {
		e = &entry{name: name}
		c.entries[name] = e
		c.order = append(c.order, e)
	}
	return e
}

func (c *Core) call(e Call) {
	en := c.from(e.Entry)
	en.seen = max(en.seen, e.Serial)
	c.note(en, e.Waiting, e.Age)
	c.unhold(en)
	k := key{e.ID, e.Attempt}
	if old := c.calls[k]; old != nil {
		c.repeat(old, en)
		return
	}
	if !e.Idempotent && c.begun[e.ID] {
		c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.stamp(wire.Result{Broken: "duplicate"}, en)})
		return
	}
	if reason := c.refusal(e); reason != "" {
		c.refuse(e, en, reason)
		c.grants()
		return
	}
	cl := c.record(e, en)
	if c.running < c.Slots {
		c.start(cl)
	} else {
		c.waiting = append(c.waiting, cl)
	}
	c.grants()
}

// record remembers a call that is accepted.
func (c *Core) record(e Call, en *entry) *call {
	cl := &call{
		key:        key{e.ID, e.Attempt},
		state:      callChart.Initial(),
		entry:      en,
		idempotent: e.Idempotent,
		deadline:   c.now + e.Budget,
	}
	c.calls[cl.key] = cl
	return cl
}

// repeat handles a second copy of an attempt.
func (c *Core) repeat(old *call, en *entry) {
	r := wire.Result{Broken: "duplicate"}
	switch {
	case old.state == "queued" || old.state == "running":
		// The answer of the first copy serves this one too.
		return
	case old.state == "tombstone":
		r = wire.Result{Refused: "tombstone"}
	case old.has:
		r = old.result
	}
	c.emit(Reply{ID: old.id, Attempt: old.attempt, Result: c.stamp(r, en)})
}

func (c *Core) refusal(e Call) string {
	switch {
	case e.Incarnation != c.Incarnation:
		return "incarnation"
	case c.leaving:
		return "leaving"
	case e.Budget <= 0:
		return "late"
	case c.running+len(c.waiting) >= c.Slots && !e.Queue, c.running+len(c.waiting) >= c.Slots+c.Queue:
		return "full"
	}
	return ""
}

// refuse answers that an attempt will not run, and makes that true for later
// copies of it.
func (c *Core) refuse(e Call, en *entry, reason string) {
	if e.Incarnation == c.Incarnation {
		c.bury(key{e.ID, e.Attempt})
	}
	c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.stamp(wire.Result{Refused: reason}, en)})
}

// bury records that an attempt never starts here.
func (c *Core) bury(k key) {
	cl := &call{key: k, state: "tombstone"}
	c.calls[k] = cl
	c.end(cl)
}

func (c *Core) stamp(r wire.Result, en *entry) wire.Result {
	name := ""
	if en != nil {
		name = en.name
	}
	r.Slots = c.State(name)
	return r
}

func (c *Core) move(cl *call, event string) bool {
	next, ok := callChart.Next(cl.state, event)
	cl.state = next
	return ok
}

func (c *Core) start(cl *call) {
	if c.move(cl, "start") {
		c.running++
		if !cl.idempotent {
			c.begun[cl.id] = true
		}
		c.emit(Start{ID: cl.id, Attempt: cl.attempt, Budget: cl.deadline - c.now})
	}
}

func (c *Core) done(e Done) {
	cl := c.calls[key{e.ID, e.Attempt}]
	if cl == nil || !c.move(cl, "done") {
		return
	}
	c.running--
	cl.result = e.Result
	cl.has = true
	c.keep(cl)
	c.end(cl)
	c.next()
	c.grants()
	c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.stamp(cl.result, cl.entry)})
}

// next starts calls that wait, and refuses those whose time is over.
func (c *Core) next() {
	for len(c.waiting) > 0 && c.running < c.Slots {
		cl := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.now >= cl.deadline {
			c.cancel(cl, "late")
			continue
		}
		c.start(cl)
	}
}

func (c *Core) cancel(cl *call, reason string) {
	if c.move(cl, "kill") {
		c.end(cl)
		c.emit(Reply{ID: cl.id, Attempt: cl.attempt, Result: c.stamp(wire.Result{Refused: reason}, cl.entry)})
	}
}

// keep holds a result for a while, within a bound of bytes for all.
func (c *Core) keep(cl *call) {
	c.kept = append(c.kept, cl)
	c.keptSize += len(cl.result.Body)
	for c.keptSize > resultBytes {
		old := c.kept[0]
		c.kept = c.kept[1:]
		c.release(old)
	}
}

func (c *Core) release(cl *call) {
	c.keptSize -= len(cl.result.Body)
	cl.result = wire.Result{}
	cl.has = false
}

// end notes when the record of a call may be dropped.
func (c *Core) end(cl *call) {
	cl.forget = c.now + c.Keep
	c.ended = append(c.ended, cl)
}

func (c *Core) kill(e Kill) {
	if e.Incarnation != c.Incarnation {
		// The attempt was meant for an earlier start, whose record is gone.
		c.emit(Fate{Kill: e.Kill})
		return
	}
	k := key{e.ID, e.Attempt}
	cl := c.calls[k]
	if cl == nil {
		c.bury(k)
		c.emit(Fate{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
		return
	}
	c.killKnown(e, cl)
}

func (c *Core) killKnown(e Kill, cl *call) {
	switch cl.state {
	case "queued":
		c.unqueue(cl)
		c.cancel(cl, "tombstone")
		c.emit(Fate{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
	case "tombstone":
		c.emit(Fate{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
	default:
		f := wire.KillResult{Found: cl.has}
		if cl.has {
			f.Result = c.stamp(cl.result, cl.entry)
		}
		c.emit(Fate{Kill: e.Kill, KillResult: f})
	}
}

func (c *Core) unqueue(cl *call) {
	for i, w := range c.waiting {
		if w == cl {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

func (c *Core) leave() {
	c.leaving = true
	for _, e := range c.order {
		c.reserved -= len(e.holds)
		e.holds = nil
		e.waiting = 0
	}
}

// Leaving reports whether the agent takes no new calls.
func (c *Core) Leaving() bool { return c.leaving }

func (c *Core) tick() {
	for len(c.ended) > 0 && c.now >= c.ended[0].forget {
		cl := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.calls, cl.key)
		if cl.state == "ended" {
			delete(c.begun, cl.id)
		}
	}
	for len(c.kept) > 0 && c.now >= c.kept[0].forget {
		c.release(c.kept[0])
		c.kept = c.kept[1:]
	}
	c.next()
	c.lapse()
	c.grants()
}
