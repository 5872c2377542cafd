package route

import (
	"container/heap"
	"sort"
	"time"

	"lagoonrack/internal/wire"
)

// timer is a time at which handleTimer is to be called for a request.
type timer struct {
	at      time.Duration
	request *request
}

// timers is a heap of timers, earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

func (t *timers) add(at time.Duration, r *request) { heap.Push(t, timer{at, r}) }

// popDue removes the earliest timer and returns its request, or nil if no timer
// is due.
func (t *timers) popDue(now time.Duration) *request {
	if len(*t) == 0 || (*t)[0].at > now {
		return nil
	}
	return heap.Pop(t).(timer).request
}

// Next returns the time of the earliest timer, and false if there is none.
func (c *Core) Next() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *Core) tick() {
	for r := c.timers.popDue(c.now); r != nil; r = c.timers.popDue(c.now) {
		c.handleTimer(r)
	}
	for _, s := range c.serviceList {
		s.updateEndRate(c.now)
		c.removeUnresponsive(s)
		c.dispatch(s)
	}
}

// handleTimer handles a request whose timer is due.
func (c *Core) handleTimer(r *request) {
	switch {
	case r.answered:
		c.removeIfFinished(r)
	case c.now >= r.deadline+killWait:
		c.timeOut(r)
	case c.now >= r.deadline:
		c.expire(r)
	case r.hedgeAt > 0 && c.now >= r.hedgeAt:
		c.hedge(r)
	}
}

// expire handles the deadline of a request. Without open attempts the request
// is answered now; otherwise it waits up to killWait for the tombstones of its
// attempts.
func (c *Core) expire(r *request) {
	if r.openAttempts() == 0 {
		c.answer(r, r.outcomeWithoutAnswer(), "late", wire.Result{})
		return
	}
	for _, a := range r.attempts {
		if c.transition(a, "expire") {
			c.kill(r, a)
		}
	}
	c.timers.add(r.deadline+killWait, r)
}

// timeOut answers a request whose kills were not all answered within killWait.
func (c *Core) timeOut(r *request) {
	for _, a := range r.attempts {
		c.transition(a, "lost")
	}
	c.answer(r, r.outcomeWithoutAnswer(), "timeout", wire.Result{})
}

// scheduleHedge sets the time of a second, parallel attempt of an idempotent
// request: when the first attempt has taken longer than tailRunTime.
func (c *Core) scheduleHedge(r *request) {
	s := r.service
	if !s.limits.Hedge || !r.idempotent || r.long || s.tailRunTime == 0 || len(r.attempts) > 1 {
		return
	}
	r.hedgeAt = c.now + time.Duration(s.tailRunTime*float64(time.Second))
	c.timers.add(r.hedgeAt, r)
}

// hedge sends a second attempt to another minion, if one has a free slot and no
// request waits for it.
func (c *Core) hedge(r *request) {
	r.hedgeAt = 0
	s := r.service
	if s.queue.length > 0 || r.openAttempts() != 1 {
		return
	}
	m := s.pick(c.now, c.rng, r)
	if m == nil || !s.spendToken() {
		return
	}
	c.emit(Decision{Kind: "hedge", Reason: "slow", ID: r.id, Agent: m.agent})
	c.send(r, m)
}

// removeUnresponsive removes minions without open attempts whose agents have
// been unresponsive for so long that every request sent to them has passed its
// deadline.
func (c *Core) removeUnresponsive(s *service) {
	for i := len(s.minions) - 1; i >= 0; i-- {
		m := s.minions[i]
		if c.now-m.lastContact > s.limits.UnresponsiveAfter+2*s.limits.Timeout && m.openAttempts == 0 {
			s.minions = append(s.minions[:i], s.minions[i+1:]...)
			c.emit(Decision{Kind: "silent", Reason: "silent", Agent: m.agent})
		}
	}
}

// sortedRequests returns all requests in order of their IDs, so that the order
// of effects does not depend on the iteration order of a map.
func (c *Core) sortedRequests() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
