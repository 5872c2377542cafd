// Package route decides where an entry sends each request and when it answers.
//
// Core holds the routing state of one entry. Step takes the current time and an
// event and returns effects for the caller to carry out. It does no I/O and
// reads no clock, so a log of events and a seed reproduce every decision.
//
// A request waits in the queue of its service until some agent has a free slot
// for it. It is then sent to that agent as an attempt, and is answered with the
// first complete reply. If the outcome of an attempt is unknown, the agent is
// asked for a tombstone, which ensures that the attempt never starts. A request
// is answered "not-run" only if every attempt is in the state "certain" (it did
// not start and never will). A non-idempotent request has at most one attempt
// in any other state.
//
// Times are durations since the start of the process, from a monotonic clock.
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

// killWait is how long after its deadline a request waits for the replies to
// its kills before its open attempts count as unknown and it is answered.
const killWait = 100 * time.Millisecond

// bidInterval is how often a bid is repeated to an agent while requests wait.
const bidInterval = 20 * time.Millisecond

// Core is the routing state of one entry. The zero value has no services; call
// Configure before the first Arrive event.
type Core struct {
	// Seed makes the random choice among equally good minions reproducible.
	Seed uint64

	rng         *rand.Rand
	services    map[string]*service
	serviceList []*service
	requests    map[string]*request
	timers      timers
	draining    bool
	now         time.Duration
	effects     []Effect
}

// Configure replaces the limits of all services. Waiting requests of a service
// that was removed are no longer sent and end at their deadlines.
func (c *Core) Configure(all []Limits) {
	old := c.services
	c.services = map[string]*service{}
	c.serviceList = nil
	for _, l := range all {
		s := old[l.Service]
		if s == nil {
			s = &service{retryTokens: maxRetryTokens / 5}
		}
		s.limits = l.withDefaults()
		c.services[l.Service] = s
		c.serviceList = append(c.serviceList, s)
	}
}

// Step handles one event and returns the effects to carry out. The returned
// slice is valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.prepare()
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Arrive:
		c.arrive(e)
	case Reply:
		c.reply(e)
	case SendFailed:
		c.sendFailed(e)
	case KillReply:
		c.killReply(e)
	case Offer:
		c.offer(e)
	case Grant:
		c.grant(e)
	case Tick:
		c.tick()
	case Drain:
		c.draining = true
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

// Open returns the number of requests that have not been answered yet.
func (c *Core) Open() int {
	n := 0
	for _, r := range c.requests {
		if !r.answered {
			n++
		}
	}
	return n
}

// Busy reports whether the core holds requests and so needs frequent Tick events.
func (c *Core) Busy() bool { return len(c.requests) > 0 }

// Waiting returns the number of queued requests of a service.
func (c *Core) Waiting(name string) int {
	if s := c.services[name]; s != nil {
		return s.queue.length
	}
	return 0
}

// Agents returns the addresses of the known agents of a service.
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
	r := c.newRequest(s, e)
	if reason := c.rejectReason(s, r); reason != "" {
		c.emit(Answer{ID: e.ID, Outcome: wire.NotRun, Reason: reason})
		return
	}
	s.retryTokens = min(s.retryTokens+s.limits.TokensPerRequest, maxRetryTokens)
	c.requests[r.id] = r
	c.timers.add(r.deadline, r)
	c.enqueue(r, false)
	c.dispatch(s)
}

// newRequest returns the state of a request that arrives now.
func (c *Core) newRequest(s *service, e Arrive) *request {
	budget := e.Budget
	if budget <= 0 || budget > s.limits.Timeout {
		budget = s.limits.Timeout
	}
	return &request{
		id:         e.ID,
		service:    s,
		class:      e.Class,
		team:       e.Team,
		idempotent: e.Idempotent,
		long:       s.isLong(e.Class),
		arrived:    c.now,
		deadline:   c.now + budget,
	}
}

// rejectReason returns the reason for rejecting a new request, or an empty
// string if it is accepted.
func (c *Core) rejectReason(s *service, r *request) string {
	switch {
	case c.draining:
		return "leaving"
	case s.queue.length >= s.limits.Queue:
		return "full"
	case c.now+s.predictedWait()+s.expectedRunTime() >= r.deadline:
		return "late"
	}
	return ""
}

// enqueue puts a request into the queue of its service. A request that is retried
// goes to the front.
func (c *Core) enqueue(r *request, front bool) {
	r.queued = true
	r.queuedSince = c.now
	r.service.queue.push(r, front)
}

// dispatch sends waiting requests while there are free slots. It then updates
// the bids, by which agents know how many requests still wait here.
func (c *Core) dispatch(s *service) {
	for s.queue.length > 0 {
		m := s.pick(c.now, c.rng, nil)
		if m == nil {
			break
		}
		r := s.queue.pop()
		if c.now+s.expectedRunTime() > r.deadline {
			c.shed(r)
			continue
		}
		c.send(r, m)
	}
	c.updateBids(s)
}

// shed answers a dequeued request that is not expected to end before its
// deadline, so that it does not occupy a slot that another request could use.
func (c *Core) shed(r *request) {
	r.queued = false
	r.waited += c.now - r.queuedSince
	c.answer(r, r.outcomeWithoutAnswer(), "late", wire.Result{})
}

// send sends a request to a minion as a new attempt.
func (c *Core) send(r *request, m *minion) {
	if r.queued {
		r.queued = false
		r.waited += c.now - r.queuedSince
	}
	mayQueue := m.freeSlots(0) <= 0
	m.lastSerial++
	m.openAttempts++
	m.grantedSlots = max(0, m.grantedSlots-1)
	a := &attempt{number: len(r.attempts) + 1, minion: m, state: attemptChart.Initial(), sentAt: c.now}
	r.attempts = append(r.attempts, a)
	var age time.Duration
	if oldest, ok := r.service.queue.oldest(); ok {
		age = c.now - oldest
	}
	c.emit(Send{
		ID:          r.id,
		Attempt:     a.number,
		Agent:       m.agent,
		Incarnation: m.incarnation,
		Budget:      r.deadline - c.now,
		Serial:      m.lastSerial,
		Queue:       mayQueue,
		Waiting:     r.service.queue.length,
		Age:         age,
	})
	c.scheduleHedge(r)
}

// updateBids sends usable agents the number of waiting requests, and withdraws
// earlier bids if none wait.
func (c *Core) updateBids(s *service) {
	oldest, ok := s.queue.oldest()
	for _, m := range s.minions {
		if !ok {
			c.withdrawBid(m)
			continue
		}
		if !m.usable(c.now, s.limits.UnresponsiveAfter) || m.lastBid > 0 && c.now-m.lastBidAt < bidInterval {
			continue
		}
		m.lastBid = s.queue.length
		m.lastBidAt = c.now
		c.emit(Bid{Agent: m.agent, Incarnation: m.incarnation, Waiting: m.lastBid, Age: c.now - oldest})
	}
}

// withdrawBid notifies an agent that no requests wait any more, if the last bid
// sent to it said otherwise.
func (c *Core) withdrawBid(m *minion) {
	if m.lastBid > 0 {
		m.lastBid = 0
		c.emit(Bid{Agent: m.agent, Incarnation: m.incarnation})
	}
}

// answer emits the answer to a request unless it is answered already, and removes
// the request if it is finished.
func (c *Core) answer(r *request, o wire.Outcome, reason string, res wire.Result) {
	if !r.answered {
		r.answered = true
		if r.queued {
			r.queued = false
			r.service.queue.remove(r)
			r.waited += c.now - r.queuedSince
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
	c.removeIfFinished(r)
}

// removeIfFinished removes a request that is answered and has no open attempts.
func (c *Core) removeIfFinished(r *request) {
	if r.answered && r.openAttempts() == 0 {
		delete(c.requests, r.id)
	}
}
