package sched

import (
	"time"

	"lagoonrack/internal/advice"
)

// AskAdvisor asks the advisor a question. It is answered once, by Advice or AdviceFailed.
type AskAdvisor struct{ advice.Question }

func (AskAdvisor) effect() {}

// Advice is the advisor's answer to a question: a ticket for each worker that may run the
// step.
type Advice struct {
	advice.Question
	Tickets map[string]string
	Valid   time.Duration
}

// AdviceFailed reports that a question was given up, or got no usable answer.
type AdviceFailed struct{ advice.Question }

func (Advice) event()       {}
func (AdviceFailed) event() {}

// handleAdvice stores an answer of the advisor.
func (c *Core) handleAdvice(e Advice) {
	c.advice.Answer(c.now, e.Question, e.Tickets, e.Valid)
	c.changes.all = true
}

// ticket returns the valid ticket of a step for a worker, if there is one.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	return c.advice.Ticket(c.now, s.name(), w.ID)
}

// consult asks the advisor which of the workers may run a step, unless it is busy with other
// questions. Passes call it in the order of the steps' ranks. Workers that can take a task now
// are named first, since a question names only some; if a step has tickets already, for workers
// that are full, no others are named.
func (c *Core) consult(s *step, workers []*worker, hasTickets bool) {
	if !c.advice.MayAsk(c.now, s.name()) {
		return
	}
	var ids, full []string
	for _, w := range workers {
		if o := c.evaluate(s, w); o.idle {
			ids = append(ids, w.ID)
		} else {
			full = append(full, w.ID)
		}
	}
	if !hasTickets {
		ids = append(ids, full...)
	}
	terms := &s.job.inForce
	pace := advice.Pace{Question: time.Duration(terms.Decide) * time.Millisecond, Worker: time.Duration(terms.Each) * time.Millisecond}
	if q, ok := c.advice.Ask(c.now, s.name(), ids, pace); ok {
		c.emit(AskAdvisor{q})
	}
}
