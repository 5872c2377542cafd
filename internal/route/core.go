// Package route decides where an entry sends each request and when it answers.
//
// Model. Core is the state of one entry. Step takes the time and an event and
// returns effects; it does no I/O and reads no clock, so a log of events and a
// seed reproduce every decision. A request waits in the queue of its service
// until some agent has a free slot for it, is sent to that agent as an attempt,
// and is answered with the first whole reply. An attempt whose end is not known
// is resolved by asking its agent for a tombstone. A request is answered
// "not-run" only if every attempt has ended as certain, and a non-idempotent
// request has at most one attempt that isn't certain.
//
// Time is the span since the process started, from a monotonic clock.
package route

import (
	_ "embed"
	"math/rand/v2"
	"time"

	"lagoonrack/internal/chart"
	"lagoonrack/internal/wire"
)

//go:embed attempt.chart.yaml
var attemptFile []byte

var attemptChart = chart.Must(attemptFile)

// fateWait is how long after its deadline a request waits for a tombstone
// before it is answered as unknown.
const fateWait = 100 * time.Millisecond

// rebid is how often a bid is repeated while requests wait.
const rebid = 20 * time.Millisecond

// Core is the routing state of one entry. The zero value has no services; use
// Configure before the first Arrive.
type Core struct {
	// Seed makes the choices among equal minions repeatable.
	Seed uint64

	rng      *rand.Rand
	services map[string]*service
	order    []*service
	requests map[string]*request
	timers   timers
	leaving  bool
	now      time.Duration
	effects  []Effect
}

// Configure replaces the limits of all services. Requests of a service that is
// gone end as if their time were over.
func (c *Core) Configure(all []Limits) {
	old := c.services
	c.services = map[string]*service{}
	c.order = nil
	for _, l := range all {
		s := old[l.Service]
		if s == nil {
			s = &service{tokens: tokenCap / 5}
		}
		s.limits = l.withDefaults()
		c.services[l.Service] = s
		c.order = append(c.order, s)
	}
}

// Step takes one event and returns what is to be done. The returned slice is
// valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.prepare()
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Arrive:
		c.arrive(e)
	case Reply:
		c.reply(e)
	case Break:
		c.broken(e)
	case Fate:
		c.fate(e)
	case Offer:
		c.offer(e)
	case Grant:
		c.grant(e)
	case Tick:
		c.tick()
	case Leave:
		c.leaving = true
	}
	return c.effects
}

func (c *Core) prepare() {
	if c.requests != nil {
		return
	}
	c.requests = map[string]*request{}
	c.rng = rand.New(rand.NewPCG(c.Seed, 1))
}

// Open returns the number of requests that are not answered yet.
func (c *Core) Open() int {
	n := 0
	for _, r := range c.requests {
		if !r.answered {
			n++
		}
	}
	return n
}

// Busy reports whether the core has to be told of the time often.
func (c *Core) Busy() bool { return len(c.requests) > 0 }

// Waiting returns the number of requests of a service without a slot.
func (c *Core) Waiting(name string) int {
	if s := c.services[name]; s != nil {
		return s.queue.length
	}
	return 0
}

// Agents returns the addresses of the agents of a service.
func (c *Core) Agents(name string) []string {
	var out []string
	if s := c.services[name]; s != nil {
		for _, m := range s.minions {
			out = append(out, m.agent)
		}
	}
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) arrive(e Arrive) {
	s := c.services[e.Service]
	if s == nil {
		c.emit(Answer{ID: e.ID, Outcome: wire.NotRun, Reason: "service"})
		return
	}
	if c.requests[e.ID] != nil {
		c.emit(Answer{ID: e.ID, Outcome: wire.NotRun, Reason: "duplicate"})
		return
	}
	r := c.admit(s, e)
	if reason := c.refusal(s, r); reason != "" {
		c.emit(Answer{ID: e.ID, Outcome: wire.NotRun, Reason: reason})
		return
	}
	s.tokens = min(s.tokens+s.limits.Rate, tokenCap)
	c.requests[r.id] = r
	c.timers.add(r.deadline, r)
	c.enqueue(r, false)
	c.dispatch(s)
}

func (c *Core) admit(s *service, e Arrive) *request {
	budget := e.Budget
	if budget <= 0 || budget > s.limits.Timeout {
		budget = s.limits.Timeout
	}
	return &request{
		id:         e.ID,
		svc:        s,
		class:      e.Class,
		team:       e.Team,
		idempotent: e.Idempotent,
		long:       s.isLong(e.Class),
		arrived:    c.now,
		deadline:   c.now + budget,
	}
}

// refusal returns the reason to refuse a new request, or an empty string.
func (c *Core) refusal(s *service, r *request) string {
	switch {
	case c.leaving:
		return "leaving"
	case s.queue.length >= s.limits.Queue:
		return "full"
	case c.now+s.wait()+s.need() >= r.deadline:
		return "late"
	}
	return ""
}

func (c *Core) enqueue(r *request, front bool) {
	r.queued = true
	r.since = c.now
	r.svc.queue.push(r, front)
}

// dispatch sends waiting requests while there are free slots, and bids for
// more where requests are left.
func (c *Core) dispatch(s *service) {
	for s.queue.length > 0 {
		m := s.pick(c.now, c.rng, nil)
		if m == nil {
			break
		}
		r := s.queue.pop()
		if c.now+s.need() > r.deadline {
			c.shed(r)
			continue
		}
		c.send(r, m)
	}
	c.bids(s)
}

// shed answers a waiting request that would hardly end in time, so that it
// takes no slot from one that can.
func (c *Core) shed(r *request) {
	r.queued = false
	r.waited += c.now - r.since
	c.answer(r, r.outcome(), "late", wire.Result{})
}

func (c *Core) send(r *request, m *minion) {
	if r.queued {
		r.queued = false
		r.waited += c.now - r.since
	}
	queue := m.free(0) <= 0
	m.serial++
	m.live++
	m.granted = max(0, m.granted-1)
	a := &attempt{number: len(r.attempts) + 1, minion: m, state: attemptChart.Initial(), sent: c.now}
	r.attempts = append(r.attempts, a)
	var age time.Duration
	if oldest, any := r.svc.queue.oldest(); any {
		age = c.now - oldest
	}
	c.emit(Send{
		ID:          r.id,
		Attempt:     a.number,
		Agent:       m.agent,
		Incarnation: m.incarnation,
		Budget:      r.deadline - c.now,
		Serial:      m.serial,
		Queue:       queue,
		Waiting:     r.svc.queue.length,
		Age:         age,
	})
	c.planHedge(r)
}

// bids tells agents that requests wait, or no longer do.
func (c *Core) bids(s *service) {
	oldest, any := s.queue.oldest()
	for _, m := range s.minions {
		if !any {
			c.withdraw(m)
			continue
		}
		if !m.usable(c.now, s.limits.Silent) || m.bid > 0 && c.now-m.bidAt < rebid {
			continue
		}
		m.bid = s.queue.length
		m.bidAt = c.now
		c.emit(Bid{Agent: m.agent, Incarnation: m.incarnation, Waiting: m.bid, Age: c.now - oldest})
	}
}

// withdraw tells an agent that nothing waits any more, if it believes so.
func (c *Core) withdraw(m *minion) {
	if m.bid > 0 {
		m.bid = 0
		c.emit(Bid{Agent: m.agent, Incarnation: m.incarnation})
	}
}

func (c *Core) answer(r *request, o wire.Outcome, reason string, res wire.Result) {
	if !r.answered {
		r.answered = true
		if r.queued {
			r.queued = false
			r.svc.queue.remove(r)
			r.waited += c.now - r.since
		}
		c.emit(Answer{
			ID:       r.id,
			Outcome:  o,
			Reason:   reason,
			Result:   res,
			Attempts: len(r.attempts),
			Wait:     r.waited,
			Total:    c.now - r.arrived,
		})
	}
	c.forget(r)
}

// forget drops an answered request once none of its attempts is open.
func (c *Core) forget(r *request) {
	if r.answered && r.open() == 0 {
		delete(c.requests, r.id)
	}
}
