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

// move applies an event to an attempt and reports whether its state changed.
func (c *Core) move(a *attempt, event string) bool {
	was := a.state
	next, ok := attemptChart.Next(was, event)
	if !ok {
		return false
	}
	a.state = next
	if was == "sent" && next != "killing" || was == "killing" {
		a.minion.live--
	}
	return true
}

func (c *Core) attempt(id string, number int) (*request, *attempt) {
	r := c.requests[id]
	if r == nil {
		return nil, nil
	}
	return r, r.find(number)
}

func (c *Core) reply(e Reply) {
	r, a := c.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	m := a.minion
	m.heard = c.now
	m.report(e.Result.Slots)
	switch {
	case e.Result.Refused != "":
		c.refused(r, a, e.Result.Refused)
	case e.Result.Broken != "":
		c.doubt(r, a, e.Result.Broken)
	default:
		c.ran(r, a, e.Result)
	}
	c.dispatch(r.svc)
}

func (c *Core) ran(r *request, a *attempt, res wire.Result) {
	if !c.move(a, "ran") {
		return
	}
	m := a.minion
	m.failures = 0
	m.backoff = 0
	m.learn(c.now - a.sent)
	r.svc.learn(r.class, c.now-a.sent)
	c.answer(r, wire.Ran, "", res)
}

// refused takes an agent's certain word that the attempt did not start. The
// request may go elsewhere, whether idempotent or not.
func (c *Core) refused(r *request, a *attempt, reason string) {
	if !c.move(a, "refused") {
		return
	}
	if reason != "full" {
		c.failure(r.svc, a.minion, reason)
	}
	r.refusals++
	c.resume(r, reason, r.refusals <= r.svc.limits.Retries)
}

func (c *Core) failure(s *service, m *minion, reason string) {
	m.failures++
	if m.failures >= s.limits.Eject && s.ejectable(c.now) {
		m.eject(c.now)
		c.emit(Note{Kind: "eject", Reason: reason, Agent: m.agent})
	}
}

// resume sends a request again whose attempt has ended without an answer, or
// answers it.
func (c *Core) resume(r *request, reason string, again bool) {
	if r.answered {
		c.forget(r)
		return
	}
	if r.open() > 0 {
		return
	}
	if again && c.now < r.deadline && !c.leaving {
		c.emit(Note{Kind: "retry", Reason: reason, ID: r.id})
		c.enqueue(r, true)
		return
	}
	if c.now >= r.deadline {
		reason = "late"
	}
	c.answer(r, r.outcome(), reason, wire.Result{})
}

// broken handles a Send without a whole answer: the agent is asked whether it
// started the attempt.
func (c *Core) broken(e Break) {
	r, a := c.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	if c.move(a, "broken") {
		c.failure(r.svc, a.minion, "broken")
		c.kill(r, a)
	}
}

func (c *Core) kill(r *request, a *attempt) {
	a.killed = c.now
	c.emit(Kill{ID: r.id, Attempt: a.number, Agent: a.minion.agent, Incarnation: a.minion.incarnation})
}

func (c *Core) fate(e Fate) {
	r, a := c.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	switch {
	case e.Found && e.Result.Broken == "":
		c.ran(r, a, e.Result)
	case e.Certain:
		if c.move(a, "confirmed") {
			c.resume(r, "tombstone", r.refusals <= r.svc.limits.Retries)
		}
	default:
		c.doubt(r, a, "lost")
	}
	c.dispatch(r.svc)
}

// doubt takes that an attempt may have started and no answer will come.
func (c *Core) doubt(r *request, a *attempt, reason string) {
	c.move(a, "broken")
	if !c.move(a, "lost") {
		return
	}
	c.failure(r.svc, a.minion, reason)
	again := r.idempotent && !r.answered && len(r.attempts) <= r.svc.limits.Retries && r.svc.spend()
	c.resume(r, reason, again)
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

func (c *Core) offer(e Offer) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.find(e.Agent)
	if m != nil && m.incarnation != e.Incarnation {
		c.replaced(s, m)
		m = nil
	}
	if m == nil {
		// The agent may remember this entry from before it was forgotten here.
		m = &minion{agent: e.Agent, incarnation: e.Incarnation, serial: e.Slots.Seen, offered: e.Slots.Seen}
		s.minions = append(s.minions, m)
	}
	m.heard = c.now
	m.seen = max(m.seen, m.offered)
	m.offered = m.serial
	m.size = e.Size
	m.leaving = m.leaving || e.Leaving
	m.report(e.Slots)
	c.dispatch(s)
}

// replaced drops a minion whose agent was started anew. Its open attempts can
// bring no answer any more.
func (c *Core) replaced(s *service, m *minion) {
	c.drop(s, m)
	for _, r := range c.sorted() {
		for _, a := range r.attempts {
			if a.minion == m && c.move(a, "silent") {
				c.kill(r, a)
			}
		}
	}
}

func (c *Core) drop(s *service, m *minion) {
	for i, o := range s.minions {
		if o == m {
			s.minions = append(s.minions[:i], s.minions[i+1:]...)
			return
		}
	}
}

func (c *Core) grant(e Grant) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.find(e.Agent)
	if m == nil || m.incarnation != e.Incarnation {
		return
	}
	m.heard = c.now
	m.report(e.Slots)
	m.granted += max(0, e.Count)
	c.dispatch(s)
	if m.granted > 0 && s.queue.length == 0 {
		c.withdraw(m)
	}
	m.granted = 0
}
