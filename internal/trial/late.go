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
	// tickInterval is the time between two ticks of a core.
	tickInterval = 5 * time.Millisecond
	// announceInterval is the time between two offers of an agent to the entries.
	announceInterval = time.Second
	// sendGracePeriod is how long after its budget a call without an answer
	// counts as failed.
	sendGracePeriod = 200 * time.Millisecond
)

// lateBinding simulates one run of the cores of packages route and admit.
type lateBinding struct {
	sim.Loop
	cfg     Config
	results *recorder
	check   check.Check
	entries []*entry
	agents  []*agent
	idle    idleMeter
	// openTries holds the tries in progress by request ID.
	openTries map[string]*callerTry
	// unanswered counts the requests without a final answer.
	unanswered int
}

// entry is a simulated entry with the core of package route.
type entry struct {
	run   *lateBinding
	index int
	core  route.Core
}

// agent is a simulated agent and its minion, with the core of package admit.
type agent struct {
	run   *lateBinding
	index int
	core  admit.Core
}

// callerTry is one try of a caller to have a request served.
type callerTry struct {
	arrival
	try int
	// idleAtArrival is the reading of the idle meter at the arrival, and
	// idleWhileWaiting the increase until the start.
	idleAtArrival    time.Duration
	idleWhileWaiting time.Duration
	// transit is the one-way network delay of the attempt that started.
	transit time.Duration
}

// runLateBinding simulates one run until every request has its final answer.
func runLateBinding(c Config, entries int, load float64, seed uint64) Outcome {
	w := &lateBinding{cfg: c, openTries: map[string]*callerTry{}}
	w.results = newRecorder(c, "late", entries, load, seed)
	w.idle.slots = c.Minions * c.Slots
	for i := range entries {
		w.entries = append(w.entries, w.newEntry(i, seed))
	}
	for i := range c.Minions {
		w.agents = append(w.agents, w.newAgent(i))
	}
	all := c.arrivals(load, seed)
	w.unanswered = len(all)
	for _, a := range all {
		w.At(a.at, func() { w.arrive(a, 1) })
	}
	for w.unanswered > 0 && w.Step() {
	}
	w.results.Violations = w.check.Failures()
	return w.results.Outcome
}

// newEntry creates the i-th entry and schedules its ticks.
func (w *lateBinding) newEntry(i int, seed uint64) *entry {
	e := &entry{run: w, index: i}
	e.core.Seed = seed*100 + uint64(i)
	e.core.Configure([]route.Limits{{
		Service:          service,
		Timeout:          w.cfg.Timeout.Std(),
		Queue:            1 << 20,
		Hedge:            w.cfg.Hedge,
		TokensPerRequest: w.cfg.Rate,
		AgentQueue:       w.cfg.Push,
	}})
	// Entries tick at different times, as independent processes do.
	w.After(time.Duration(i)*time.Millisecond, func() {
		w.Every(tickInterval, func() bool {
			e.step(route.Tick{})
			return w.unanswered > 0
		})
	})
	return e
}

// newAgent creates the i-th agent and schedules its ticks and offers. Offers of
// different agents are spread over the interval.
func (w *lateBinding) newAgent(i int) *agent {
	a := &agent{run: w, index: i}
	a.core.Slots = w.cfg.Slots
	a.core.Queue = w.cfg.Spare
	a.core.ExtraGrants = w.cfg.Spare
	a.core.Incarnation = "1"
	a.announce()
	w.After(time.Duration(i)*announceInterval/time.Duration(w.cfg.Minions), func() {
		w.Every(announceInterval, func() bool {
			a.announce()
			return w.unanswered > 0
		})
	})
	w.Every(tickInterval, func() bool {
		a.step(admit.Tick{})
		return w.unanswered > 0
	})
	return a
}

// arrive sends a request to an entry. Each further try goes to the next entry.
func (w *lateBinding) arrive(a arrival, try int) {
	e := w.entries[(a.number+try-1)%len(w.entries)]
	id := fmt.Sprintf("%d.%d", a.number, try)
	w.openTries[id] = &callerTry{arrival: a, try: try, idleAtArrival: w.idle.read(w.Now())}
	w.check.RequestSent(id, w.cfg.Hedge)
	e.step(route.Arrive{ID: id, Service: service, Class: "any", Idempotent: w.cfg.Hedge})
}

// step passes an event to the core and executes its effects.
func (e *entry) step(ev route.Event) {
	// The effects are copied because executing one may step the core again,
	// which reuses the slice.
	effects := append([]route.Effect(nil), e.core.Step(e.run.Now(), ev)...)
	for _, f := range effects {
		e.execute(f)
	}
}

// execute carries out an effect of the core.
func (e *entry) execute(f route.Effect) {
	switch f := f.(type) {
	case route.Send:
		e.sendCall(f)
	case route.Kill:
		a := e.run.agentAt(f.Agent)
		e.sendToAgent(a, func() { a.step(admit.Kill{Kill: wire.Kill{ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation}}) })
	case route.Bid:
		a := e.run.agentAt(f.Agent)
		msg := wire.Demand{Entry: fmt.Sprint(e.index), Incarnation: f.Incarnation, Waiting: f.Waiting, Age: f.Age}
		e.sendToAgent(a, func() { a.step(admit.Demand{Demand: msg}) })
	case route.Answer:
		e.run.answer(f)
	}
}

// sendToAgent calls do after the network delay to an agent, and not before the
// end of a pause of the agent.
func (e *entry) sendToAgent(a *agent, do func()) {
	w := e.run
	w.results.Messages++
	w.After(w.cfg.delay(e.index, a.index), func() { a.afterPause(do) })
}

// afterPause calls do at once, or at the end of the pause if the agent is paused.
func (a *agent) afterPause(do func()) {
	if until, ok := a.run.cfg.Fault.pausedUntil(a.index, a.run.Now()); ok {
		a.run.At(until, do)
		return
	}
	do()
}

// sendCall sends a call to an agent and schedules the failure of the attempt
// for the case that no answer arrives.
func (e *entry) sendCall(s route.Send) {
	w := e.run
	w.results.Sends++
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
	e.sendToAgent(a, func() {
		if w.cfg.Fault.refuses(a.index, w.Now()) {
			a.sendToEntry(e, route.Reply{ID: s.ID, Attempt: s.Attempt, Result: wire.Result{Refused: "broken"}})
			return
		}
		a.step(admit.Call{Call: msg})
	})
	w.After(s.Budget+sendGracePeriod, func() { e.step(route.SendFailed{ID: s.ID, Attempt: s.Attempt}) })
}

// agentAt returns the agent with the given name, which is its index.
func (w *lateBinding) agentAt(name string) *agent {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return w.agents[i]
}

// entryAt returns the entry with the given name, which is its index.
func (w *lateBinding) entryAt(name string) *entry {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return w.entries[i]
}

// step passes an event to the core and executes its effects.
func (a *agent) step(ev admit.Event) {
	effects := append([]admit.Effect(nil), a.core.Step(a.run.Now(), ev)...)
	for _, f := range effects {
		a.execute(f)
	}
}

// execute carries out an effect of the core.
func (a *agent) execute(f admit.Effect) {
	w := a.run
	switch f := f.(type) {
	case admit.Start:
		a.start(f)
	case admit.Reply:
		if r := w.openTries[f.ID]; r != nil {
			e := w.entries[(r.number+r.try-1)%len(w.entries)]
			a.sendToEntry(e, route.Reply{ID: f.ID, Attempt: f.Attempt, Result: f.Result})
		}
	case admit.KillReply:
		if r := w.openTries[f.ID]; r != nil {
			e := w.entries[(r.number+r.try-1)%len(w.entries)]
			a.sendToEntry(e, route.KillReply{ID: f.ID, Attempt: f.Attempt, KillResult: f.KillResult})
		}
	case admit.Grant:
		e := w.entryAt(f.Entry)
		a.sendToEntry(e, route.Grant{Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation, Service: service, Count: f.Count, Slots: f.Slots})
	}
}

// sendToEntry passes an event to an entry after the network delay.
func (a *agent) sendToEntry(e *entry, ev route.Event) {
	w := a.run
	w.results.Messages++
	w.After(w.cfg.delay(e.index, a.index), func() { e.step(ev) })
}

// start runs a call on the minion for its run time, longer if the minion is slow
// or paused.
func (a *agent) start(s admit.Start) {
	w := a.run
	r := w.openTries[s.ID]
	w.check.RequestStarted(s.ID)
	runTime := w.cfg.Median.Std()
	if r != nil {
		r.idleWhileWaiting = w.idle.read(w.Now()) - r.idleAtArrival
		runTime = r.runTime
		r.transit = w.cfg.delay((r.number+r.try-1)%len(w.entries), a.index)
	}
	w.idle.addBusy(w.Now(), 1)
	end := w.Now() + time.Duration(float64(runTime)*w.cfg.Fault.slowdown(a.index, w.Now()))
	if until, ok := w.cfg.Fault.pausedUntil(a.index, end); ok {
		end = until
	}
	w.At(end, func() {
		w.idle.addBusy(w.Now(), -1)
		a.step(admit.Done{ID: s.ID, Attempt: s.Attempt, Result: wire.Result{Status: 200}})
	})
}

// announce sends an offer with the agent's free slots to every entry.
func (a *agent) announce() {
	w := a.run
	if _, ok := w.cfg.Fault.pausedUntil(a.index, w.Now()); ok {
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
		a.sendToEntry(e, route.Offer{Offer: o})
	}
}

// answer records the answer to a caller, or has the caller try again if the
// request did not run and tries remain.
func (w *lateBinding) answer(f route.Answer) {
	r := w.openTries[f.ID]
	if r == nil {
		return
	}
	w.check.RequestAnswered(f.ID, f.Outcome, true)
	if f.Outcome == wire.NotRun && r.try < w.cfg.Tries {
		delete(w.openTries, f.ID)
		w.arrive(r.arrival, r.try+1)
		return
	}
	w.unanswered--
	if f.Outcome != wire.Ran {
		w.results.Reasons[string(f.Outcome)+" "+f.Reason]++
	}
	w.results.add(r.arrival, w.Now(), f.Outcome, r.idleWhileWaiting > w.cfg.roundTrip()+r.transit)
	delete(w.openTries, f.ID)
}
