package sched

import (
	"maps"
	"strings"
	"time"
)

// adviceCache holds the advisor's answers by step. The zero value is ready to use.
type adviceCache struct {
	steps map[string]*stepAdvice
}

// stepAdvice is the advice for one step: a ticket for each worker that may run it.
type stepAdvice struct {
	tickets    map[string]string
	validUntil time.Duration
	lastAsked  time.Duration
	// refused lists the workers that may not run the step.
	refused map[string]bool
}

const (
	// adviceRetry is the wait for an answer before the advisor is asked again.
	adviceRetry = 800 * time.Millisecond
	// adviceMargin is how long before its expiry a ticket is no longer used.
	adviceMargin = 300 * time.Millisecond
	// adviceMaxWorkers is the maximum number of workers in one question.
	adviceMaxWorkers = 30
)

// forStep returns the advice for a step and creates an empty one if needed.
func (a *adviceCache) forStep(step string) *stepAdvice {
	if a.steps == nil {
		a.steps = map[string]*stepAdvice{}
	}
	d := a.steps[step]
	if d == nil {
		d = &stepAdvice{tickets: map[string]string{}, refused: map[string]bool{}, lastAsked: -adviceRetry}
		a.steps[step] = d
	}
	return d
}

// dropJob drops the advice for all steps of a job.
func (a *adviceCache) dropJob(job string) {
	maps.DeleteFunc(a.steps, func(step string, _ *stepAdvice) bool { return strings.HasPrefix(step, job+".") })
}

// dropTicket drops the ticket of a placement that was refused because of it.
func (a *adviceCache) dropTicket(p *placement) {
	delete(a.forStep(p.task.step.name()).tickets, p.worker.ID)
}

// handleAdvice stores an answer of the advisor.
func (c *Core) handleAdvice(e Advice) {
	d := c.advice.forStep(e.Step)
	d.tickets = e.Tickets
	d.validUntil = c.now + e.Valid - adviceMargin
	for _, w := range e.Asked {
		if e.Tickets[w] == "" {
			d.refused[w] = true
		}
	}
	c.changes.all = true
}

// ticket returns the valid ticket of a step for a worker, if there is one.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	d := c.advice.forStep(s.name())
	if t := d.tickets[w.ID]; t != "" && c.now < d.validUntil {
		return t, true
	}
	return "", false
}

// consult asks the advisor which of the candidates may run a step unless it was
// asked a short time ago.
func (c *Core) consult(s *step, candidates []*worker) {
	d := c.advice.forStep(s.name())
	if c.now-d.lastAsked < adviceRetry || len(candidates) == 0 {
		return
	}
	var ids []string
	for _, w := range candidates {
		if !d.refused[w.ID] && len(ids) < adviceMaxWorkers {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	d.lastAsked = c.now
	c.emit(AskAdvisor{Step: s.name(), Workers: ids})
}
