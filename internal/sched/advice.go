package sched

import (
	"maps"
	"strings"
	"time"
)

// advisor keeps what the advisor answered for each step. The zero value works.
type advisor struct {
	steps map[string]*advised
}

// advised is what is known for one step.
type advised struct {
	tickets map[string]string
	until   time.Duration
	asked   time.Duration
	// refused lists workers that may not run the step.
	refused map[string]bool
}

const (
	// adviceRetry is the wait for an answer before the advisor is asked again.
	adviceRetry = 800 * time.Millisecond
	// adviceMargin is kept before the end of a ticket's validity.
	adviceMargin = 300 * time.Millisecond
	// adviceMost is the number of workers that one question names.
	adviceMost = 30
)

func (a *advisor) of(step string) *advised {
	if a.steps == nil {
		a.steps = map[string]*advised{}
	}
	d := a.steps[step]
	if d == nil {
		d = &advised{tickets: map[string]string{}, refused: map[string]bool{}, asked: -adviceRetry}
		a.steps[step] = d
	}
	return d
}

// drop forgets the steps of a job.
func (a *advisor) drop(job string) {
	maps.DeleteFunc(a.steps, func(step string, _ *advised) bool { return strings.HasPrefix(step, job+".") })
}

// forget drops the ticket of a place that was refused for it.
func (a *advisor) forget(p *place) {
	delete(a.of(p.task.step.name()).tickets, p.worker.ID)
}

func (c *Core) advised(e Advice) {
	d := c.advice.of(e.Step)
	d.tickets = e.Tickets
	d.until = c.now + e.Valid - adviceMargin
	for _, w := range e.Asked {
		if e.Tickets[w] == "" {
			d.refused[w] = true
		}
	}
	c.news.all = true
}

// ticket returns the ticket for a worker. Without one the advisor is asked, if
// that is due, about workers that could take the step.
func (c *Core) ticket(s *step, w *worker) (string, bool) {
	d := c.advice.of(s.name())
	if t := d.tickets[w.ID]; t != "" && c.now < d.until {
		return t, true
	}
	return "", false
}

// consult asks the advisor about the workers that could run a step.
func (c *Core) consult(s *step, can []*worker) {
	d := c.advice.of(s.name())
	if c.now-d.asked < adviceRetry || len(can) == 0 {
		return
	}
	var ids []string
	for _, w := range can {
		if !d.refused[w.ID] && len(ids) < adviceMost {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	d.asked = c.now
	c.emit(Ask{Step: s.name(), Workers: ids})
}
