package sched

import (
	"maps"
	"strings"
	"time"
)

// advisor keeps what the advisor answered for each step. The zero value works.
type adviceCache struct {
	steps map[string]*stepAdvice
}

// advised is what is known for one step.
type stepAdvice struct {
	tickets    map[string]string
	validUntil time.Duration
	lastAsked  time.Duration
	// refused lists workers that may not run the step.
	refused map[string]bool
}

const (
	// adviceRetry is the wait for an answer before the advisor is asked again.
	adviceRetry = 800 * time.Millisecond
	// adviceMargin is kept before the end of a ticket's validity.
	adviceMargin = 300 * time.Millisecond
	// adviceMost is the number of workers that one question names.
	adviceMaxWorkers = 30
)

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

// drop forgets the steps of a job.
func (a *adviceCache) dropJob(job string) {
	maps.DeleteFunc(a.steps, func(step string, _ *stepAdvice) bool { return strings.HasPrefix(step, job+".") })
}

// forget drops the ticket of a place that was refused for it.
func (a *adviceCache) dropTicket(p *placement) {
	delete(a.forStep(p.task.step.name()).tickets, p.worker.ID)
}

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

// ticket returns the ticket for a worker. Without one the advisor is asked, if
// that is due, about workers that could take the step.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	d := c.advice.forStep(s.name())
	if t := d.tickets[w.ID]; t != "" && c.now < d.validUntil {
		return t, true
	}
	return "", false
}

// consult asks the advisor about the workers that could run a step.
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
	c.emit(Ask{Step: s.name(), Workers: ids})
}
