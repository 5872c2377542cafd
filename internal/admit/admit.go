// Package admit decides which calls an agent passes to its minion.
//
// Model. Core is the state of the agent's side of the request path. A call, which
// is one attempt of a request, is started at once if a slot is free, waits in a
// very short queue, or is refused. A refusal is certain: the agent records the
// attempt and never starts it later. Every attempt is recorded for as long as a
// duplicate of its call may still arrive. If a slot becomes free while requests
// wait at entries, the slot is reserved for a short time for the entry whose
// request has waited longest.
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

// Defaults for zero fields of Core, and fixed limits.
const (
	// defaultRetention is how long an attempt is recorded after its end.
	defaultRetention = time.Minute
	// defaultReservation is how long a slot is reserved for an entry.
	defaultReservation = 20 * time.Millisecond
	// demandValidity is how long an entry's demand is used if it is not repeated.
	demandValidity = 100 * time.Millisecond
	// maxResultBytes bounds the result bodies that are kept for a later Kill or a
	// duplicate call.
	maxResultBytes = 4 << 20
)

// Core is the admission state of one agent. Slots must be set before use.
type Core struct {
	// Slots is the number of requests that the minion runs at a time.
	Slots int
	// Queue is the number of accepted calls that may wait for a slot.
	Queue int
	// ExtraGrants is the number of slots that are reserved for entries beyond the
	// free ones, so that a request is already on its way when a slot becomes free.
	ExtraGrants int
	// Incarnation identifies this start of the agent process.
	Incarnation string
	// Retention is how long an attempt is recorded after its end, by default a
	// minute, and ReservationTime how long a slot is reserved for an entry, by
	// default 20 ms.
	Retention, ReservationTime time.Duration

	now   time.Duration
	calls map[attemptKey]*call
	// started holds the ID of each non-idempotent request of which an attempt has
	// started.
	started map[string]bool
	// ended lists the calls whose records will be dropped, and withResult those
	// whose results are kept, both oldest first. keptBytes is the size of the kept
	// result bodies.
	ended      []*call
	withResult []*call
	keptBytes  int
	waiting    []*call
	running    int
	reserved   int
	entries    map[string]*entry
	entryOrder []*entry
	seq        uint64
	draining   bool
	effects    []Effect
}

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	id      string
	attempt int
}

// call is the record of an attempt.
type call struct {
	attemptKey
	state      string
	entry      *entry
	idempotent bool
	deadline   time.Duration
	// result is the result of an ended attempt. It is valid only while hasResult
	// is set; see dropResult.
	result    wire.Result
	hasResult bool
	// forgetAt is when the record of an ended attempt may be dropped.
	forgetAt time.Duration
}

// entry is what the agent knows of one entry, a front-end proxy.
type entry struct {
	name string
	// maxSerial is the highest serial number received from the entry.
	maxSerial uint64
	// waiting is the number of requests that wait at the entry, and oldestSince
	// when the oldest of them began to wait. Both were received at demandAt.
	waiting     int
	oldestSince time.Duration
	demandAt    time.Duration
	// unsentGrants counts the slots reserved for the entry of which it has not been
	// notified yet.
	unsentGrants int
	// reservations lists when the reservations of slots for the entry expire,
	// earliest first.
	reservations []time.Duration
}

// Step handles one event and returns the effects that the caller must carry out.
// The returned slice is valid until the next call.
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
	case Demand:
		c.demand(e)
	case Tick:
		c.tick()
	case Drain:
		c.drain()
	}
	return c.effects
}

// prepare creates the maps and sets the defaults at the first event.
func (c *Core) prepare() {
	if c.calls != nil {
		return
	}
	c.calls = map[attemptKey]*call{}
	c.started = map[string]bool{}
	c.entries = map[string]*entry{}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.ReservationTime == 0 {
		c.ReservationTime = defaultReservation
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// SlotsFor returns the state of the slots to be sent to an entry. Each call
// returns a higher sequence number.
func (c *Core) SlotsFor(name string) wire.Slots {
	c.seq++
	s := wire.Slots{Seq: c.seq, Free: c.free(), Queued: len(c.waiting)}
	if e := c.entries[name]; e != nil {
		s.Seen = e.maxSerial
	}
	return s
}

// RequestState returns what is recorded of a request over all its attempts.
func (c *Core) RequestState(id string) wire.RequestState {
	var t wire.RequestState
	for n := 1; n <= maxAttempts; n++ {
		cl := c.calls[attemptKey{id, n}]
		if cl == nil {
			continue
		}
		t.Running = t.Running || cl.state == "queued" || cl.state == "running"
		if cl.hasResult && cl.result.Broken == "" {
			t.Ended, t.Result = true, cl.result
		}
	}
	return t
}

// maxAttempts is above the number of attempts of any request.
const maxAttempts = 128

// NeedsTick reports whether calls wait or slots are reserved, so that Tick events
// are needed.
func (c *Core) NeedsTick() bool { return len(c.waiting) > 0 || c.reserved > 0 }

// OpenCalls returns the number of calls that run or wait.
func (c *Core) OpenCalls() int { return c.running + len(c.waiting) }

// free returns the number of slots that no running or waiting call needs.
func (c *Core) free() int { return max(0, c.Slots-c.running-len(c.waiting)) }

// entryFor returns the record of an entry and creates it if needed.
func (c *Core) entryFor(name string) *entry {
	e := c.entries[name]
	if e == nil {
		e = &entry{name: name}
		c.entries[name] = e
		c.entryOrder = append(c.entryOrder, e)
	}
	return e
}

// call starts, queues or refuses a call, or answers a duplicate.
func (c *Core) call(e Call) {
	en := c.entryFor(e.Entry)
	en.maxSerial = max(en.maxSerial, e.Serial)
	c.setDemand(en, e.Waiting, e.Age)
	c.useReservation(en)
	k := attemptKey{e.ID, e.Attempt}
	if old := c.calls[k]; old != nil {
		c.answerDuplicate(old, en)
		return
	}
	if !e.Idempotent && c.started[e.ID] {
		c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.withSlots(wire.Result{Broken: "duplicate"}, en)})
		return
	}
	if reason := c.refusalReason(e); reason != "" {
		c.refuse(e, en, reason)
		c.grantSlots()
		return
	}
	cl := c.addRecord(e, en)
	if c.running < c.Slots {
		c.start(cl)
	} else {
		c.waiting = append(c.waiting, cl)
	}
	c.grantSlots()
}

// addRecord records a call that is accepted.
func (c *Core) addRecord(e Call, en *entry) *call {
	cl := &call{
		attemptKey: attemptKey{e.ID, e.Attempt},
		state:      callChart.Initial(),
		entry:      en,
		idempotent: e.Idempotent,
		deadline:   c.now + e.Budget,
	}
	c.calls[cl.attemptKey] = cl
	return cl
}

// answerDuplicate handles another call of a recorded attempt.
func (c *Core) answerDuplicate(old *call, en *entry) {
	r := wire.Result{Broken: "duplicate"}
	switch {
	case old.state == "queued" || old.state == "running":
		// The agent sends the Reply to the first call to the caller of the
		// duplicate too.
		return
	case old.state == "tombstone":
		r = wire.Result{Refused: "tombstone"}
	case old.hasResult:
		r = old.result
	}
	c.emit(Reply{ID: old.id, Attempt: old.attempt, Result: c.withSlots(r, en)})
}

// refusalReason returns why a call must be refused, or "" if it can be accepted.
func (c *Core) refusalReason(e Call) string {
	switch {
	case e.Incarnation != c.Incarnation:
		return "incarnation"
	case c.draining:
		return "leaving"
	case e.Budget <= 0:
		return "late"
	case c.running+len(c.waiting) >= c.Slots && !e.Queue, c.running+len(c.waiting) >= c.Slots+c.Queue:
		return "full"
	}
	return ""
}

// refuse replies that an attempt will not run, and records a tombstone so that a
// duplicate of the call does not run either.
func (c *Core) refuse(e Call, en *entry, reason string) {
	if e.Incarnation == c.Incarnation {
		c.addTombstone(attemptKey{e.ID, e.Attempt})
	}
	c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.withSlots(wire.Result{Refused: reason}, en)})
}

// addTombstone records that an attempt never starts at this agent.
func (c *Core) addTombstone(k attemptKey) {
	cl := &call{attemptKey: k, state: "tombstone"}
	c.calls[k] = cl
	c.scheduleForget(cl)
}

// withSlots returns a result with the state of the slots for an entry.
func (c *Core) withSlots(r wire.Result, en *entry) wire.Result {
	name := ""
	if en != nil {
		name = en.name
	}
	r.Slots = c.SlotsFor(name)
	return r
}

// transition moves a call to its next state and reports whether the chart has a
// transition for the event.
func (c *Core) transition(cl *call, event string) bool {
	next, ok := callChart.Next(cl.state, event)
	cl.state = next
	return ok
}

// start passes a call to the minion.
func (c *Core) start(cl *call) {
	if c.transition(cl, "start") {
		c.running++
		if !cl.idempotent {
			c.started[cl.id] = true
		}
		c.emit(Start{ID: cl.id, Attempt: cl.attempt, Budget: cl.deadline - c.now})
	}
}

// done handles the end of a started attempt.
func (c *Core) done(e Done) {
	cl := c.calls[attemptKey{e.ID, e.Attempt}]
	if cl == nil || !c.transition(cl, "done") {
		return
	}
	c.running--
	cl.result = e.Result
	cl.hasResult = true
	c.keepResult(cl)
	c.scheduleForget(cl)
	c.startWaiting()
	c.grantSlots()
	c.emit(Reply{ID: e.ID, Attempt: e.Attempt, Result: c.withSlots(cl.result, cl.entry)})
}

// startWaiting starts waiting calls while slots are free, and refuses those whose
// deadline has passed.
func (c *Core) startWaiting() {
	for len(c.waiting) > 0 && c.running < c.Slots {
		cl := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.now >= cl.deadline {
			c.refuseWaiting(cl, "late")
			continue
		}
		c.start(cl)
	}
}

// refuseWaiting refuses a call that has waited.
func (c *Core) refuseWaiting(cl *call, reason string) {
	if c.transition(cl, "kill") {
		c.scheduleForget(cl)
		c.emit(Reply{ID: cl.id, Attempt: cl.attempt, Result: c.withSlots(wire.Result{Refused: reason}, cl.entry)})
	}
}

// keepResult keeps the result of a call. Beyond maxResultBytes in total it drops
// the oldest results.
func (c *Core) keepResult(cl *call) {
	c.withResult = append(c.withResult, cl)
	c.keptBytes += len(cl.result.Body)
	for c.keptBytes > maxResultBytes {
		old := c.withResult[0]
		c.withResult = c.withResult[1:]
		c.dropResult(old)
	}
}

// dropResult drops the result of a call and leaves its record.
func (c *Core) dropResult(cl *call) {
	c.keptBytes -= len(cl.result.Body)
	cl.result = wire.Result{}
	cl.hasResult = false
}

// scheduleForget sets when the record of an ended call is dropped.
func (c *Core) scheduleForget(cl *call) {
	cl.forgetAt = c.now + c.Retention
	c.ended = append(c.ended, cl)
}

// kill answers a request for a tombstone, and records one unless the attempt has
// started.
func (c *Core) kill(e Kill) {
	if e.Incarnation != c.Incarnation {
		// The attempt was sent to an earlier incarnation, whose records are lost.
		c.emit(KillReply{Kill: e.Kill})
		return
	}
	k := attemptKey{e.ID, e.Attempt}
	cl := c.calls[k]
	if cl == nil {
		c.addTombstone(k)
		c.emit(KillReply{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
		return
	}
	c.killRecorded(e, cl)
}

// killRecorded answers a Kill of a recorded attempt.
func (c *Core) killRecorded(e Kill, cl *call) {
	switch cl.state {
	case "queued":
		c.removeWaiting(cl)
		c.refuseWaiting(cl, "tombstone")
		c.emit(KillReply{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
	case "tombstone":
		c.emit(KillReply{Kill: e.Kill, KillResult: wire.KillResult{Certain: true}})
	default:
		f := wire.KillResult{Found: cl.hasResult}
		if cl.hasResult {
			f.Result = c.withSlots(cl.result, cl.entry)
		}
		c.emit(KillReply{Kill: e.Kill, KillResult: f})
	}
}

// removeWaiting removes a call from the queue.
func (c *Core) removeWaiting(cl *call) {
	for i, w := range c.waiting {
		if w == cl {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// drain cancels all reservations; calls are refused from now on.
func (c *Core) drain() {
	c.draining = true
	for _, e := range c.entryOrder {
		c.reserved -= len(e.reservations)
		e.reservations = nil
		e.waiting = 0
	}
}

// Draining reports whether the agent refuses new calls because it is stopping.
func (c *Core) Draining() bool { return c.draining }

// tick drops old records and results, starts waiting calls and expires
// reservations.
func (c *Core) tick() {
	for len(c.ended) > 0 && c.now >= c.ended[0].forgetAt {
		cl := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.calls, cl.attemptKey)
		if cl.state == "ended" {
			delete(c.started, cl.id)
		}
	}
	for len(c.withResult) > 0 && c.now >= c.withResult[0].forgetAt {
		c.dropResult(c.withResult[0])
		c.withResult = c.withResult[1:]
	}
	c.startWaiting()
	c.expireReservations()
	c.grantSlots()
}
