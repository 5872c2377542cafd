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

// chaos is one sequence of events over a few entries and agents, in which
// messages are late, lost, repeated and reordered, and processes pause, crash
// and leave. A call is repeated only towards the same start of an agent: a
// connection does not outlive a process, and repeats no message on another.
type chaos struct {
	sim.Loop
	rng     *rand.Rand
	check   check.Check
	entries []*chaosEntry
	agents  []*chaosAgent
	asked   int
	answers map[string]int
	// keep shortens the agents' memory, to show that the check can fail.
	keep time.Duration
}

type chaosEntry struct {
	*chaos
	index int
	life  int
	core  *route.Core
	mine  map[string]bool
}

type chaosAgent struct {
	*chaos
	index  int
	life   int
	core   *admit.Core
	paused time.Duration
}

const (
	chaosEntries  = 2
	chaosAgents   = 3
	chaosSlots    = 2
	chaosRequests = 8
	chaosBudget   = 60 * time.Millisecond
	chaosLength   = 400 * time.Millisecond
	// chaosTail is long enough for every late message to arrive.
	chaosTail = 3 * time.Second
)

func newChaos(seed uint64, keep time.Duration) *chaos {
	c := &chaos{rng: rand.New(rand.NewPCG(seed, 17)), answers: map[string]int{}, keep: keep}
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

func (c *chaos) run() {
	for _, a := range c.agents {
		a.announce()
		c.Every(20*time.Millisecond, func() bool { a.announce(); return c.Now() < chaosLength })
	}
	c.Every(5*time.Millisecond, func() bool { c.ticks(); return c.Now() < chaosLength+chaosTail/2 })
	for range chaosRequests {
		c.After(c.upTo(chaosLength/2), c.arrive)
	}
	for range c.rng.IntN(4) {
		c.After(c.upTo(chaosLength/2), c.disturb)
	}
	c.Run(chaosLength + chaosTail)
}

func (c *chaos) upTo(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

func (c *chaos) ticks() {
	for _, e := range c.entries {
		e.step(e.life, route.Tick{})
	}
	for _, a := range c.agents {
		a.step(a.life, admit.Tick{})
	}
}

// disturb lets one process pause, crash or leave.
func (c *chaos) disturb() {
	a := c.agents[c.rng.IntN(len(c.agents))]
	e := c.entries[c.rng.IntN(len(c.entries))]
	switch c.rng.IntN(5) {
	case 0:
		a.boot()
		a.announce()
	case 1:
		a.paused = c.Now() + c.upTo(200*time.Millisecond)
	case 2:
		a.step(a.life, admit.Drain{})
	case 3:
		e.boot()
	case 4:
		e.step(e.life, route.Drain{})
	}
}

func (c *chaos) arrive() {
	e := c.entries[c.rng.IntN(len(c.entries))]
	id := fmt.Sprintf("r%d", c.asked)
	c.asked++
	idempotent := c.rng.IntN(2) == 0
	c.check.Asked(id, idempotent)
	e.mine[id] = idempotent
	e.step(e.life, route.Arrive{ID: id, Service: service, Class: "any", Idempotent: idempotent})
}

// carry delivers a message late, never, or twice.
func (c *chaos) carry(do func()) {
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

func (e *chaosEntry) boot() {
	e.life++
	e.mine = map[string]bool{}
	e.core = &route.Core{Seed: e.rng.Uint64()}
	e.core.Configure([]route.Limits{{Service: service, Timeout: chaosBudget, Hedge: e.rng.IntN(2) == 0, TokensPerRequest: 0.5, AgentQueue: e.rng.IntN(2)}})
}

func (e *chaosEntry) step(life int, ev route.Event) {
	if life != e.life {
		return
	}
	for _, f := range append([]route.Effect(nil), e.core.Step(e.Now(), ev)...) {
		e.do(f)
	}
}

func (e *chaosEntry) do(f route.Effect) {
	life := e.life
	switch f := f.(type) {
	case route.Send:
		a := e.agents[int(f.Agent[0]-'0')]
		to := a.life
		msg := wire.Call{
			ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation, Entry: fmt.Sprint(e.index),
			Serial: f.Serial, Queue: f.Queue, Waiting: f.Waiting, Age: f.Age, Budget: f.Budget, Idempotent: e.mine[f.ID],
		}
		e.carry(func() { a.step(to, admit.Call{Call: msg}) })
		e.After(f.Budget+e.upTo(50*time.Millisecond), func() { e.step(life, route.SendFailed{ID: f.ID, Attempt: f.Attempt}) })
	case route.Kill:
		a := e.agents[int(f.Agent[0]-'0')]
		k := wire.Kill{ID: f.ID, Attempt: f.Attempt, Incarnation: f.Incarnation}
		e.carry(func() { a.step(a.life, admit.Kill{Kill: k}) })
		e.After(e.upTo(300*time.Millisecond), func() { e.step(life, route.KillReply{ID: f.ID, Attempt: f.Attempt, Lost: true}) })
	case route.Bid:
		a := e.agents[int(f.Agent[0]-'0')]
		b := wire.Demand{Entry: fmt.Sprint(e.index), Incarnation: f.Incarnation, Waiting: f.Waiting, Age: f.Age}
		e.carry(func() { a.step(a.life, admit.Demand{Demand: b}) })
	case route.Answer:
		e.answers[f.ID]++
		e.check.Answered(f.ID, f.Outcome, f.Outcome != wire.Ran || string(f.Result.Body) == f.ID)
	}
}

func (a *chaosAgent) boot() {
	a.life++
	a.core = &admit.Core{Slots: chaosSlots, Queue: 1, ExtraGrants: 1, Incarnation: fmt.Sprint(a.life), Retention: a.keep}
}

func (a *chaosAgent) step(life int, ev admit.Event) {
	if life != a.life {
		return
	}
	if a.Now() < a.paused {
		a.At(a.paused, func() { a.step(life, ev) })
		return
	}
	for _, f := range append([]admit.Effect(nil), a.core.Step(a.Now(), ev)...) {
		a.do(f)
	}
}

func (a *chaosAgent) do(f admit.Effect) {
	life := a.life
	switch f := f.(type) {
	case admit.Start:
		a.check.Started(f.ID)
		res := wire.Result{Status: 200, Body: []byte(f.ID)}
		if a.rng.IntN(15) == 0 {
			res = wire.Result{Broken: "minion"}
		}
		a.After(a.upTo(40*time.Millisecond), func() { a.step(life, admit.Done{ID: f.ID, Attempt: f.Attempt, Result: res}) })
	case admit.Reply:
		a.toAll(route.Reply{ID: f.ID, Attempt: f.Attempt, Result: f.Result}, f.ID)
	case admit.KillReply:
		a.toAll(route.KillReply{ID: f.ID, Attempt: f.Attempt, KillResult: f.KillResult}, f.ID)
	case admit.Grant:
		e := a.entries[int(f.Entry[0]-'0')]
		a.to(e, route.Grant{Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation, Service: service, Count: f.Count, Slots: f.Slots})
	}
}

// toAll carries an answer to the entry that has the request.
func (a *chaosAgent) toAll(ev route.Event, id string) {
	for _, e := range a.entries {
		if _, ok := e.mine[id]; ok {
			a.to(e, ev)
		}
	}
}

func (a *chaosAgent) to(e *chaosEntry, ev route.Event) {
	life := e.life
	a.carry(func() { e.step(life, ev) })
}

func (a *chaosAgent) announce() {
	if a.Now() < a.paused {
		return
	}
	for _, e := range a.entries {
		o := wire.Offer{
			Service: service, Agent: fmt.Sprint(a.index), Incarnation: a.core.Incarnation,
			Size: chaosSlots, Leaving: a.core.Draining(), Slots: a.core.SlotsFor(fmt.Sprint(e.index)),
		}
		a.to(e, route.Offer{Offer: o})
	}
}

func chaosRun(seed uint64, keep time.Duration) []string {
	c := newChaos(seed, keep)
	c.run()
	bad := c.check.Failures()
	for id, n := range c.answers {
		if n > 1 {
			bad = append(bad, fmt.Sprintf("request %s: answered %d times", id, n))
		}
	}
	return bad
}

func TestRequestsUnderChaos(t *testing.T) {
	n := 100_000
	if race.Enabled || testing.Short() {
		n = 2_000
	}
	r := fuzz.Run(n, func(seed uint64) []string { return chaosRun(seed, 0) })
	NewWithT(t).Expect(r.Failed).To(BeZero(), r.First)
}

// TestChaosCanFail shows that the check sees an agent that forgets too early
// what it must not start.
func TestChaosCanFail(t *testing.T) {
	r := fuzz.Run(2_000, func(seed uint64) []string { return chaosRun(seed, time.Nanosecond) })
	NewWithT(t).Expect(r.Failed).To(BeNumerically(">", 0))
}
