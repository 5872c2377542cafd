package route

import "lagoonrack/internal/wire"

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
