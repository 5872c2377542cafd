package route

import (
	"container/heap"
	"sort"
	"time"

	"lagoonrack/internal/wire"
)

// timer is an instant at which a request needs attention.
type timer struct {
	at  time.Duration
	req *request
}

// timers is a heap of timers, soonest first.
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

// due takes the request of the soonest timer that has passed.
func (t *timers) due(now time.Duration) *request {
	if len(*t) == 0 || (*t)[0].at > now {
		return nil
	}
	return heap.Pop(t).(timer).req
}

// Next returns the time of the next timer.
func (c *Core) Next() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *Core) tick() {
	for r := c.timers.due(c.now); r != nil; r = c.timers.due(c.now) {
		c.attend(r)
	}
	for _, s := range c.order {
		s.measure(c.now)
		c.sweep(s)
		c.dispatch(s)
	}
}

// attend handles a request whose timer has passed.
func (c *Core) attend(r *request) {
	switch {
	case r.answered:
		c.forget(r)
	case c.now >= r.deadline+fateWait:
		c.giveUp(r)
	case c.now >= r.deadline:
		c.expire(r)
	case r.hedgeAt > 0 && c.now >= r.hedgeAt:
		c.hedge(r)
	}
}

// expire ends the wait for a slot and asks for tombstones of open attempts.
func (c *Core) expire(r *request) {
	if r.open() == 0 {
		c.answer(r, r.outcome(), "late", wire.Result{})
		return
	}
	for _, a := range r.attempts {
		if c.move(a, "expire") {
			c.kill(r, a)
		}
	}
	c.timers.add(r.deadline+fateWait, r)
}

// giveUp answers a request whose tombstones did not come.
func (c *Core) giveUp(r *request) {
	for _, a := range r.attempts {
		c.move(a, "lost")
	}
	c.answer(r, r.outcome(), "timeout", wire.Result{})
}

// planHedge sets the time of a second sending of an idempotent request.
func (c *Core) planHedge(r *request) {
	s := r.svc
	if !s.limits.Hedge || !r.idempotent || r.long || s.tail == 0 || len(r.attempts) > 1 {
		return
	}
	r.hedgeAt = c.now + time.Duration(s.tail*float64(time.Second))
	c.timers.add(r.hedgeAt, r)
}

// hedge sends a second attempt where a slot is free that nobody waits for.
func (c *Core) hedge(r *request) {
	r.hedgeAt = 0
	s := r.svc
	if s.queue.length > 0 || r.open() != 1 {
		return
	}
	m := s.pick(c.now, c.rng, r)
	if m == nil || !s.spend() {
		return
	}
	c.emit(Note{Kind: "hedge", Reason: "slow", ID: r.id, Agent: m.agent})
	c.send(r, m)
}

// sweep drops minions that have been silent long enough for every request
// sent to them to be over.
func (c *Core) sweep(s *service) {
	for i := len(s.minions) - 1; i >= 0; i-- {
		m := s.minions[i]
		if c.now-m.heard > s.limits.Silent+2*s.limits.Timeout && m.live == 0 {
			s.minions = append(s.minions[:i], s.minions[i+1:]...)
			c.emit(Note{Kind: "silent", Reason: "silent", Agent: m.agent})
		}
	}
}

// sorted returns the open requests in order of their identifiers, so that
// effects do not depend on the order of a map.
func (c *Core) sorted() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
