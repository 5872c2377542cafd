package sched

import (
	"slices"
	"time"
)

// This file finds tasks that are held back although a worker has the capacity for them, and
// says what holds them back.

const (
	// heldAfter is how long a task waits before it counts as held back, and heldInterval how
	// often that is logged again.
	heldAfter    = time.Second
	heldInterval = 10 * time.Second
	// heldCheckInterval is the time between two looks for such tasks.
	heldCheckInterval = 500 * time.Millisecond
	// heldMaxSteps bounds the steps of one look, and heldMaxLogged those of them that are
	// logged.
	heldMaxSteps  = 20
	heldMaxLogged = 5
)

// The reasons for which a task is held back.
const (
	heldLabel    = "label"    // no worker has the label that the step needs
	heldAdvice   = "advice"   // the advisor has not answered or not been asked yet
	heldRefused  = "refused"  // the advisor allows none of the workers with the capacity
	heldMoving   = "moving"   // the task is to go to a worker that can't take it yet
	heldAvoided  = "avoided"  // the task was moved off the only worker that can take it
	heldSuspect  = "suspect"  // only suspect workers can take it
	heldSpread   = "spread"   // the step's tasks have to be apart
	heldHeadroom = "headroom" // latency-critical tasks would suffer
	heldGang     = "gang"     // not all members of the gang fit at a time
	heldZone     = "zone"     // only workers of evacuated zones have the capacity
)

// HeldReasons lists the reasons for which a task may be held back.
func HeldReasons() []string {
	return []string{heldLabel, heldAdvice, heldRefused, heldMoving, heldAvoided, heldSuspect, heldSpread, heldHeadroom, heldGang, heldZone}
}

// noteHeld counts the tasks that are held back by reason, and logs some of them. It must follow
// a scheduling pass over all workers.
func (c *Core) noteHeld() {
	c.held = map[string]int{}
	schedulable := c.schedulableWorkers()
	bounds := c.boundsOf(append(slices.Clone(schedulable), c.evacuatedWorkers()...))
	looked, logged := 0, 0
	for i := range c.ranking.entries {
		e := &c.ranking.entries[i]
		if !bounds.admit(&e.needs) {
			continue
		}
		for _, s := range e.steps {
			t := s.firstWaiting()
			if t == nil || !e.ready(s) || s.job.finished() || c.waitTime(t) < heldAfter {
				continue
			}
			if looked++; looked > heldMaxSteps {
				return
			}
			reason := c.heldReason(t, schedulable)
			if reason == "" {
				continue
			}
			c.held[reason] += s.waiting
			if logged < heldMaxLogged && (s.heldLoggedAt == 0 || c.now-s.heldLoggedAt >= heldInterval) {
				logged++
				s.heldLoggedAt = max(1, c.now)
				c.emit(Decision{Kind: "held", Task: t.name(), Reason: reason, Took: c.waitTime(t)})
			}
		}
	}
}

// firstWaiting returns the first task of the step that needs a placement, or nil.
func (s *step) firstWaiting() *task {
	if s.waiting == 0 {
		return nil
	}
	for _, t := range s.tasks {
		if t.waiting() {
			return t
		}
	}
	return nil
}

// heldReason returns why a waiting task is not placed, or "" if no worker of its service has
// the capacity.
func (c *Core) heldReason(t *task, schedulable []*worker) string {
	s := t.step
	eligible := c.eligible(s, schedulable)
	if c.onlyEvacuatedFit(s, eligible) {
		return heldZone
	}
	if len(eligible) == 0 && slices.ContainsFunc(schedulable, func(w *worker) bool { return w.Service == s.job.service }) {
		return heldLabel
	}
	reason := ""
	for _, w := range eligible {
		if !s.Reserved().Fits(w.free()) {
			continue
		}
		if reason = c.refusal(t, w); reason == heldSuspect || reason == heldHeadroom || reason == heldGang {
			// But for a ticket, this worker meets all other conditions.
			return reason
		}
	}
	return reason
}

// refusal returns why a worker with the capacity does not get a task.
func (c *Core) refusal(t *task, w *worker) string {
	s := t.step
	if s.job.inForce.Advised && c.advice.Refused(s.name(), w.ID) {
		return heldRefused
	}
	if s.Apart > 0 && s.countOn(w) >= s.Apart {
		return heldSpread
	}
	if reason := c.exclusion(t, w); reason != "" {
		return reason
	}
	if s.job.inForce.Advised {
		if _, ok := c.ticket(s, w); !ok {
			return heldAdvice
		}
	}
	switch {
	case s.Fills:
		return heldHeadroom
	case s.Gang:
		return heldGang
	}
	return ""
}
