package trial

import (
	"fmt"
	"time"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/check"
	"lagoonrack/internal/route"
	"lagoonrack/internal/sim"
	"lagoonrack/internal/wire"
)

const (
	service = "torhaus"
	// coreTick is how often the shells tell the cores of the time.
	coreTick = 5 * time.Millisecond
	beat     = time.Second
	// breakAfter is how long after its budget a shell gives a call up.
	breakAfter = 200 * time.Millisecond
)

// late is a run of the system's own cores.
type late struct {
	sim.Loop
	cfg     Config
	rec     *recorder
	check   check.Check
	entries []*entry
	agents  []*agent
	idle    idleClock
	// open holds the callers' requests in progress.
	open map[string]*asked
	left int
}

type entry struct {
	world *late
	index int
	core  route.Core
}

type agent struct {
	world *late
	index int
	core  admit.Core
}

// asked is one try of a caller.
type asked struct {
	arrival
	try    int
	idleAt time.Duration
	idle   time.Duration
	// transit is the one-way delay of the attempt that started.
	transit time.Duration
}

func runLate(c Config, entries int, load float64, seed uint64) Outcome {
	w := &late{cfg: c, open: map[string]*asked{}}
	w.rec = newRecorder(c, "late", entries, load, seed)
	w.idle.slots = c.Minions * c.Slots
	for i := range entries {
		w.entries = append(w.entries, w.entry(i, seed))
	}
	for i := range c.Minions {
		w.agents = append(w.agents, w.agent(i))
	}
	all := c.arrivals(load, seed)
	w.left = len(all)
	for _, a := range all {
		w.At(a.at, func() { w.arrive(a, 1) })
	}
	for w.left > 0 && w.Step() {
	}
	w.rec.Bad = w.check.Failures()
	return w.rec.Outcome
}

func (w *late) entry(i int, seed uint64) *entry {
	e := &entry{world: w, index: i}
	e.core.Seed = seed*100 + uint64(i)
	e.core.Configure([]route.Limits{{
		Service:          service,
		Timeout:          w.cfg.Timeout.Std(),
		Queue:            1 << 20,
		Hedge:            w.cfg.Hedge,
		TokensPerRequest: w.cfg.Rate,
		AgentQueue:       w.cfg.Push,
	}})
	// Ticks of the entries are not in step.
	w.After(time.Duration(i)*time.Millisecond, func() {
		w.Every(coreTick, func() bool {
			e.step(route.Tick{})
			return w.left > 0
		})
	})
	return e
}

func (w *late) agent(i int) *agent {
	a := &agent{world: w, index: i}
	a.core.Slots = w.cfg.Slots
	a.core.Queue = w.cfg.Spare
	a.core.ExtraGrants = w.cfg.Spare
	a.core.Incarnation = "1"
	a.announce()
	w.After(time.Duration(i)*beat/time.Duration(w.cfg.Minions), func() {
		w.Every(beat, func() bool {
			a.announce()
			return w.left > 0
		})
	})
	w.Every(coreTick, func() bool {
		a.step(admit.Tick{})
		return w.left > 0
	})
	return a
}

func (w *late) arrive(a arrival, try int) {
	e := w.entries[(a.number+try-1)%len(w.entries)]
	id := fmt.Sprintf("%d.%d", a.number, try)
	w.open[id] = &asked{arrival: a, try: try, idleAt: w.idle.read(w.Now())}
	w.check.Asked(id, w.cfg.Hedge)
	e.step(route.Arrive{ID: id, Service: service, Class: "any", Idempotent: w.cfg.Hedge})
}

func (e *entry) step(ev route.Event) {
	// Effects are copied, since carrying one out may step the core again.
	effects := append([]route.Effect(nil), e.core.Step(e.world.Now(), ev)...)
	for _, f := range effects {
		e.do(f)
	}
}

func (e *entry) do(f route.Effect) {
	switch f := f.(type) {
	case route.Send:
		e.send(f)
	case route.Kill:
		a := e.world.agentAt(f.Agent)
		e.to(a, func() { a.step(admit.Kill{Kill: wire.Kill{ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation}}) })
	case route.Bid:
		a := e.world.agentAt(f.Agent)
		msg := wire.Demand{Entry: fmt.Sprint(e.index), Incarnation: f.Incarnation, Waiting: f.Waiting, Age: f.Age}
		e.to(a, func() { a.step(admit.Demand{Demand: msg}) })
	case route.Answer:
		e.world.answer(f)
	}
}

// to carries a message to an agent.
func (e *entry) to(a *agent, do func()) {
	w := e.world
	w.rec.Messages++
	w.After(w.cfg.delay(e.index, a.index), func() { a.whenAwake(do) })
}

// whenAwake runs do once the agent is not paused.
func (a *agent) whenAwake(do func()) {
	if until, ok := a.world.cfg.Fault.paused(a.index, a.world.Now()); ok {
		a.world.At(until, do)
		return
	}
	do()
}

func (e *entry) send(s route.Send) {
	w := e.world
	w.rec.Sends++
	a := w.agentAt(s.Agent)
	msg := wire.Call{
		ID:          s.ID,
		Attempt:     s.Attempt,
		Incarnation: s.Incarnation,
		Entry:       fmt.Sprint(e.index),
		Serial:      s.Serial,
		Queue:       s.Queue,
		Waiting:     s.Waiting,
		Age:         s.Age,
		Service:     service,
		Budget:      s.Budget,
		Idempotent:  w.cfg.Hedge,
	}
	e.to(a, func() {
		if w.cfg.Fault.refuses(a.index, w.Now()) {
			a.toEntry(e, route.Reply{ID: s.ID, Attempt: s.Attempt, Result: wire.Result{Refused: "broken"}})
			return
		}
		a.step(admit.Call{Call: msg})
	})
	w.After(s.Budget+breakAfter, func() { e.step(route.SendFailed{ID: s.ID, Attempt: s.Attempt}) })
}

func (w *late) agentAt(name string) *agent {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return w.agents[i]
}

func (w *late) entryAt(name string) *entry {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return w.entries[i]
}

func (a *agent) step(ev admit.Event) {
	effects := append([]admit.Effect(nil), a.core.Step(a.world.Now(), ev)...)
	for _, f := range effects {
		a.do(f)
	}
}

func (a *agent) do(f admit.Effect) {
	w := a.world
	switch f := f.(type) {
	case admit.Start:
		a.start(f)
	case admit.Reply:
		if r := w.open[f.ID]; r != nil {
			e := w.entries[(r.number+r.try-1)%len(w.entries)]
			a.toEntry(e, route.Reply{ID: f.ID, Attempt: f.Attempt, Result: f.Result})
		}
	case admit.KillReply:
		if r := w.open[f.ID]; r != nil {
			e := w.entries[(r.number+r.try-1)%len(w.entries)]
			a.toEntry(e, route.KillReply{ID: f.ID, Attempt: f.Attempt, KillResult: f.KillResult})
		}
	case admit.Grant:
		e := w.entryAt(f.Entry)
		a.toEntry(e, route.Grant{Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation, Service: service, Count: f.Count, Slots: f.Slots})
	}
}

// toEntry carries a message to an entry.
func (a *agent) toEntry(e *entry, ev route.Event) {
	w := a.world
	w.rec.Messages++
	w.After(w.cfg.delay(e.index, a.index), func() { e.step(ev) })
}

func (a *agent) start(s admit.Start) {
	w := a.world
	r := w.open[s.ID]
	w.check.Started(s.ID)
	work := w.cfg.Median.Std()
	if r != nil {
		r.idle = w.idle.read(w.Now()) - r.idleAt
		work = r.work
		r.transit = w.cfg.delay((r.number+r.try-1)%len(w.entries), a.index)
	}
	w.idle.change(w.Now(), 1)
	end := w.Now() + time.Duration(float64(work)*w.cfg.Fault.slowdown(a.index, w.Now()))
	if until, ok := w.cfg.Fault.paused(a.index, end); ok {
		end = until
	}
	w.At(end, func() {
		w.idle.change(w.Now(), -1)
		a.step(admit.Done{ID: s.ID, Attempt: s.Attempt, Result: wire.Result{Status: 200}})
	})
}

func (a *agent) announce() {
	w := a.world
	if _, ok := w.cfg.Fault.paused(a.index, w.Now()); ok {
		return
	}
	for _, e := range w.entries {
		o := wire.Offer{
			Service:     service,
			Agent:       fmt.Sprint(a.index),
			Incarnation: a.core.Incarnation,
			Size:        w.cfg.Slots,
			Slots:       a.core.SlotsFor(fmt.Sprint(e.index)),
		}
		a.toEntry(e, route.Offer{Offer: o})
	}
}

func (w *late) answer(f route.Answer) {
	r := w.open[f.ID]
	if r == nil {
		return
	}
	w.check.Answered(f.ID, f.Outcome, true)
	if f.Outcome == wire.NotRun && r.try < w.cfg.Tries {
		delete(w.open, f.ID)
		w.arrive(r.arrival, r.try+1)
		return
	}
	w.left--
	if f.Outcome != wire.Ran {
		w.rec.Reasons[string(f.Outcome)+" "+f.Reason]++
	}
	w.rec.add(r.arrival, w.Now(), f.Outcome, r.idle > w.cfg.roundTrip()+r.transit)
	delete(w.open, f.ID)
}
