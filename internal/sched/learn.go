package sched

import (
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/work"
)

// table holds what was learned of run times. The zero value works.
type table struct {
	queues map[string]learn.Value
}

// run takes in a run that ended well.
func (t *table) run(p *place, now time.Duration) {
	if p.okay == 0 || p.saved != "" {
		return
	}
	if t.queues == nil {
		t.queues = map[string]learn.Value{}
	}
	q := p.task.step.job.Queue
	t.queues[q] = t.queues[q].With((now - p.okay).Seconds())
}

// estimate returns the expected run time of a task of a step.
func (t *table) estimate(queue string, s *work.Step) time.Duration {
	declared := time.Duration(s.Estimate) * time.Millisecond
	v := t.queues[queue]
	if !v.Known() {
		return declared
	}
	learned := time.Duration(v.Median * float64(time.Second))
	if declared == 0 {
		return learned
	}
	return (declared + learned) / 2
}
