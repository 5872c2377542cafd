package route

import "lagoonrack/internal/wire"

// transition applies an event of the state chart to an attempt and reports
// whether its state changed.
func (c *Core) transition(a *attempt, event string) bool {
	before := a.state
	after, ok := attemptChart.Next(before, event)
	if !ok {
		return false
	}
	a.state = after
	if before == "sent" && after != "killing" || before == "killing" {
		a.minion.openAttempts--
	}
	return true
}

func (c *Core) findAttempt(id string, number int) (*request, *attempt) {
	r := c.requests[id]
	if r == nil {
		return nil, nil
	}
	return r, r.findAttempt(number)
}

func (c *Core) reply(e Reply) {
	r, a := c.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	m := a.minion
	m.lastContact = c.now
	m.updateSlots(e.Result.Slots)
	switch {
	case e.Result.Refused != "":
		c.refused(r, a, e.Result.Refused)
	case e.Result.Broken != "":
		c.markUnknown(r, a, e.Result.Broken)
	default:
		c.complete(r, a, e.Result)
	}
	c.dispatch(r.service)
}

// complete handles the complete answer to an attempt, from a Reply or a
// KillReply.
func (c *Core) complete(r *request, a *attempt, res wire.Result) {
	if !c.transition(a, "ran") {
		return
	}
	m := a.minion
	m.failures = 0
	m.backoff = 0
	m.recordRunTime(c.now - a.sentAt)
	r.service.recordRunTime(r.class, c.now-a.sentAt)
	c.answer(r, wire.Ran, "", res)
}

// refused handles an agent's confirmation that the attempt did not and will not
// start. The request may then be sent to another agent even if it is not
// idempotent.
func (c *Core) refused(r *request, a *attempt, reason string) {
	if !c.transition(a, "refused") {
		return
	}
	if reason != "full" {
		c.recordFailure(r.service, a.minion, reason)
	}
	r.refusals++
	c.retryOrAnswer(r, reason, r.refusals <= r.service.limits.Retries)
}

// recordFailure counts a failure of a minion and ejects the minion after
// EjectAfter consecutive failures.
func (c *Core) recordFailure(s *service, m *minion, reason string) {
	m.failures++
	if m.failures >= s.limits.EjectAfter && s.mayEject(c.now) {
		m.eject(c.now)
		c.emit(Decision{Kind: "eject", Reason: reason, Agent: m.agent})
	}
}

// retryOrAnswer handles the end of an attempt that brought no answer. Once no
// attempt of the request is open, it queues the request again if a retry is
// allowed, and otherwise answers it.
func (c *Core) retryOrAnswer(r *request, reason string, mayRetry bool) {
	if r.answered {
		c.removeIfFinished(r)
		return
	}
	if r.openAttempts() > 0 {
		return
	}
	if mayRetry && c.now < r.deadline && !c.draining {
		c.emit(Decision{Kind: "retry", Reason: reason, ID: r.id})
		c.enqueue(r, true)
		return
	}
	if c.now >= r.deadline {
		reason = "late"
	}
	c.answer(r, r.outcomeWithoutAnswer(), reason, wire.Result{})
}

// sendFailed handles a Send that got no complete answer. Since the attempt may
// have started, the agent is asked for a tombstone.
func (c *Core) sendFailed(e SendFailed) {
	r, a := c.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	if c.transition(a, "broken") {
		c.recordFailure(r.service, a.minion, "broken")
		c.kill(r, a)
	}
}

// kill asks the agent of an attempt for a tombstone.
func (c *Core) kill(r *request, a *attempt) {
	a.killSentAt = c.now
	c.emit(Kill{ID: r.id, Attempt: a.number, Agent: a.minion.agent, Incarnation: a.minion.incarnation})
}

// killReply handles the result of a Kill: the attempt has ended with an answer,
// it certainly never starts, or its outcome is unknown.
func (c *Core) killReply(e KillReply) {
	r, a := c.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	switch {
	case e.Found && e.Result.Broken == "":
		c.complete(r, a, e.Result)
	case e.Certain:
		if c.transition(a, "confirmed") {
			c.retryOrAnswer(r, "tombstone", r.refusals <= r.service.limits.Retries)
		}
	default:
		c.markUnknown(r, a, "lost")
	}
	c.dispatch(r.service)
}

// markUnknown records that an attempt may have started and that its answer is
// lost. Only an idempotent request is sent again, and only if the retry budget
// has a token.
func (c *Core) markUnknown(r *request, a *attempt, reason string) {
	c.transition(a, "broken")
	if !c.transition(a, "lost") {
		return
	}
	c.recordFailure(r.service, a.minion, reason)
	mayRetry := r.idempotent && !r.answered && len(r.attempts) <= r.service.limits.Retries && r.service.spendToken()
	c.retryOrAnswer(r, reason, mayRetry)
}
