package trial

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/check"
	"lagoonrack/internal/fuzz"
	"lagoonrack/internal/race"
	"lagoonrack/internal/route"
	"lagoonrack/internal/sim"
	"lagoonrack/internal/wire"
)

// chaos simulates a few entries and agents in virtual time, with random
// faults: messages are delayed, lost, duplicated and reordered, and processes
// pause, crash and drain. A call is duplicated only to the same incarnation of
// an agent, because a connection ends with its process and messages are not
// sent again on a new connection.
type chaos struct {
	sim.Loop
	rng     *rand.Rand
	check   check.Check
	entries []*chaosEntry
	agents  []*chaosAgent
	// requestCount is the number of requests so far, and answers counts the
	// answers to each.
	requestCount int
	answers      map[string]int
	// retention is how long agents keep tombstones and ended calls; 0 is the
	// default. A short one makes the check fail.
	retention time.Duration
}

// chaosEntry is an entry with the core of package route.
type chaosEntry struct {
	*chaos
	index       int
	incarnation int
	core        *route.Core
	// requests tells for each request of the incarnation whether it is idempotent.
	requests map[string]bool
}

// chaosAgent is an agent with the core of package admit.
type chaosAgent struct {
	*chaos
	index       int
	incarnation int
	core        *admit.Core
	pausedUntil time.Duration
}

const (
	chaosEntries  = 2
	chaosAgents   = 3
	chaosSlots    = 2
	chaosRequests = 8
	chaosBudget   = 60 * time.Millisecond
	chaosLength   = 400 * time.Millisecond
	// chaosSettleTime is simulated after the faults and is long enough for
	// every delayed message to arrive.
	chaosSettleTime = 3 * time.Second
)

// newChaos creates the entries and agents of one simulation.
func newChaos(seed uint64, retention time.Duration) *chaos {
	c := &chaos{rng: rand.New(rand.NewPCG(seed, 17)), answers: map[string]int{}, retention: retention}
	for i := range chaosAgents {
		a := &chaosAgent{chaos: c, index: i}
		a.boot()
		c.agents = append(c.agents, a)
	}
	for i := range chaosEntries {
		e := &chaosEntry{chaos: c, index: i}
		e.boot()
		c.entries = append(c.entries, e)
	}
	return c
}

// run simulates random requests and faults until all messages have arrived.
func (c *chaos) run() {
	for _, a := range c.agents {
		a.announce()
		c.Every(20*time.Millisecond, func() bool { a.announce(); return c.Now() < chaosLength })
	}
	c.Every(5*time.Millisecond, func() bool { c.tickAll(); return c.Now() < chaosLength+chaosSettleTime/2 })
	for range chaosRequests {
		c.After(c.upTo(chaosLength/2), c.arrive)
	}
	for range c.rng.IntN(4) {
		c.After(c.upTo(chaosLength/2), c.injectFault)
	}
	c.Run(chaosLength + chaosSettleTime)
}

// upTo returns a random duration below d.
func (c *chaos) upTo(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

// tickAll sends a tick to the cores of all entries and agents.
func (c *chaos) tickAll() {
	for _, e := range c.entries {
		e.step(e.incarnation, route.Tick{})
	}
	for _, a := range c.agents {
		a.step(a.incarnation, admit.Tick{})
	}
}

// injectFault restarts, pauses or drains one randomly chosen process.
func (c *chaos) injectFault() {
	a := c.agents[c.rng.IntN(len(c.agents))]
	e := c.entries[c.rng.IntN(len(c.entries))]
	switch c.rng.IntN(5) {
	case 0:
		a.boot()
		a.announce()
	case 1:
		a.pausedUntil = c.Now() + c.upTo(200*time.Millisecond)
	case 2:
		a.step(a.incarnation, admit.Drain{})
	case 3:
		e.boot()
	case 4:
		e.step(e.incarnation, route.Drain{})
	}
}

// arrive sends a new request to a randomly chosen entry.
func (c *chaos) arrive() {
	e := c.entries[c.rng.IntN(len(c.entries))]
	id := fmt.Sprintf("r%d", c.requestCount)
	c.requestCount++
	idempotent := c.rng.IntN(2) == 0
	c.check.RequestSent(id, idempotent)
	e.requests[id] = idempotent
	e.step(e.incarnation, route.Arrive{ID: id, Service: service, Class: "any", Idempotent: idempotent})
}

// deliver calls do after a random delay, as a network does with a message:
// once, twice, or not at all.
func (c *chaos) deliver(do func()) {
	for range 1 + c.rng.IntN(8)/7 {
		if c.rng.IntN(12) == 0 {
			continue
		}
		d := c.upTo(4 * time.Millisecond)
		if c.rng.IntN(10) == 0 {
			d = c.upTo(time.Second)
		}
		c.After(d, do)
	}
}

// boot starts a new incarnation of the entry, without any state.
func (e *chaosEntry) boot() {
	e.incarnation++
	e.requests = map[string]bool{}
	e.core = &route.Core{Seed: e.rng.Uint64()}
	e.core.Configure([]route.Limits{{Service: service, Timeout: chaosBudget, Hedge: e.rng.IntN(2) == 0, TokensPerRequest: 0.5, AgentQueue: e.rng.IntN(2)}})
}

// step passes an event to the core and executes its effects. Events for an
// earlier incarnation are dropped.
func (e *chaosEntry) step(incarnation int, ev route.Event) {
	if incarnation != e.incarnation {
		return
	}
	for _, f := range append([]route.Effect(nil), e.core.Step(e.Now(), ev)...) {
		e.execute(f)
	}
}

// execute carries out an effect of the core. A call fails at its entry a
// random time after its budget, and a kill that is not answered counts as lost.
func (e *chaosEntry) execute(f route.Effect) {
	incarnation := e.incarnation
	switch f := f.(type) {
	case route.Send:
		a := e.agents[int(f.Agent[0]-'0')]
		target := a.incarnation
		msg := wire.Call{
			ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation, Entry: fmt.Sprint(e.index),
			Serial: f.Serial, Queue: f.Queue, Waiting: f.Waiting, Age: f.Age, Budget: f.Budget, Idempotent: e.requests[f.ID],
		}
		e.deliver(func() { a.step(target, admit.Call{Call: msg}) })
		e.After(f.Budget+e.upTo(50*time.Millisecond), func() { e.step(incarnation, route.SendFailed{ID: f.ID, Attempt: f.Attempt}) })
	case route.Kill:
		a := e.agents[int(f.Agent[0]-'0')]
		k := wire.Kill{ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation}
		e.deliver(func() { a.step(a.incarnation, admit.Kill{Kill: k}) })
		e.After(e.upTo(300*time.Millisecond), func() { e.step(incarnation, route.KillReply{ID: f.ID, Attempt: f.Attempt, Lost: true}) })
	case route.Bid:
		a := e.agents[int(f.Agent[0]-'0')]
		b := wire.Demand{Entry: fmt.Sprint(e.index), Incarnation: f.Incarnation, Waiting: f.Waiting, Age: f.Age}
		e.deliver(func() { a.step(a.incarnation, admit.Demand{Demand: b}) })
	case route.Answer:
		e.answers[f.ID]++
		e.check.RequestAnswered(f.ID, f.Outcome, f.Outcome != wire.Ran || string(f.Result.Body) == f.ID)
	}
}

// boot starts a new incarnation of the agent, without any state.
func (a *chaosAgent) boot() {
	a.incarnation++
	a.core = &admit.Core{Slots: chaosSlots, Queue: 1, ExtraGrants: 1, Incarnation: fmt.Sprint(a.incarnation), Retention: a.retention}
}

// step passes an event to the core and executes its effects. Events for an
// earlier incarnation are dropped, and events during a pause are delayed until
// its end.
func (a *chaosAgent) step(incarnation int, ev admit.Event) {
	if incarnation != a.incarnation {
		return
	}
	if a.Now() < a.pausedUntil {
		a.At(a.pausedUntil, func() { a.step(incarnation, ev) })
		return
	}
	for _, f := range append([]admit.Effect(nil), a.core.Step(a.Now(), ev)...) {
		a.execute(f)
	}
}

// execute carries out an effect of the core. A started call ends after a random
// run time, and one in 15 with a broken connection to the minion.
func (a *chaosAgent) execute(f admit.Effect) {
	incarnation := a.incarnation
	switch f := f.(type) {
	case admit.Start:
		a.check.RequestStarted(f.ID)
		res := wire.Result{Status: 200, Body: []byte(f.ID)}
		if a.rng.IntN(15) == 0 {
			res = wire.Result{Broken: "minion"}
		}
		a.After(a.upTo(40*time.Millisecond), func() { a.step(incarnation, admit.Done{ID: f.ID, Attempt: f.Attempt, Result: res}) })
	case admit.Reply:
		a.sendToRequester(route.Reply{ID: f.ID, Attempt: f.Attempt, Result: f.Result}, f.ID)
	case admit.KillReply:
		a.sendToRequester(route.KillReply{ID: f.ID, Attempt: f.Attempt, KillResult: f.KillResult}, f.ID)
	case admit.Grant:
		e := a.entries[int(f.Entry[0]-'0')]
		a.sendTo(e, route.Grant{Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation, Service: service, Count: f.Count, Slots: f.Slots})
	}
}

// sendToRequester sends an answer to the entry that received the request.
func (a *chaosAgent) sendToRequester(ev route.Event, id string) {
	for _, e := range a.entries {
		if _, ok := e.requests[id]; ok {
			a.sendTo(e, ev)
		}
	}
}

// sendTo sends an event to the present incarnation of an entry.
func (a *chaosAgent) sendTo(e *chaosEntry, ev route.Event) {
	incarnation := e.incarnation
	a.deliver(func() { e.step(incarnation, ev) })
}

// announce sends the agent's slots to every entry.
func (a *chaosAgent) announce() {
	if a.Now() < a.pausedUntil {
		return
	}
	for _, e := range a.entries {
		o := wire.Offer{
			Service: service, Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation,
			Size: chaosSlots, Leaving: a.core.Draining(), Slots: a.core.SlotsFor(fmt.Sprint(e.index)),
		}
		a.sendTo(e, route.Offer{Offer: o})
	}
}

// chaosRun runs one simulation and returns the violated invariants: those that
// package check finds, and requests that were answered more than once.
func chaosRun(seed uint64, retention time.Duration) []string {
	c := newChaos(seed, retention)
	c.run()
	violations := c.check.Failures()
	for id, n := range c.answers {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %s: answered %d times", id, n))
		}
	}
	return violations
}

// TestRequestsUnderChaos guards against requests that are started twice,
// answered twice or answered with a wrong outcome when messages and processes
// fail. It runs the simulation with many seeds.
func TestRequestsUnderChaos(t *testing.T) {
	n := 100_000
	if race.Enabled || testing.Short() {
		n = 2_000
	}
	r := fuzz.Run(n, func(seed uint64) []string { return chaosRun(seed, 0) })
	NewWithT(t).Expect(r.Failed).To(BeZero(), r.First)
}

// TestChaosDetectsShortRetention guards against a check that never fails:
// agents that drop their tombstones too early start attempts that must not
// start, and the check has to find some of them.
func TestChaosDetectsShortRetention(t *testing.T) {
	r := fuzz.Run(2_000, func(seed uint64) []string { return chaosRun(seed, time.Nanosecond) })
	NewWithT(t).Expect(r.Failed).To(BeNumerically(">", 0))
}
