package sched

import (
	"cmp"
	"slices"
	"time"
)

// The load that these rules answer: a service is full of work that can wait when
// work comes that can't. A queue's priority says which is which; what is stopped
// starts again, from its checkpoint if it has one.

const (
	// preemptAfter is how long a task waits for room to come up by itself. Short
	// tasks end within a second, so that most never need more.
	preemptAfter = 300 * time.Millisecond
	// preemptMost bounds the tasks that are made room for in one tick, so that
	// their effect is seen before more is stopped.
	preemptMost = 4
	// preemptLoss is how many times its own work a task may cost others.
	preemptLoss = 2
)

// preempt makes room for tasks that wait although work of a lower priority has
// it.
func (c *Core) preempt() {
	if !c.mixed {
		return
	}
	urgent := c.urgent()
	if len(urgent) == 0 {
		return
	}
	open := c.opened()
	left := preemptMost
	for _, t := range urgent {
		if left == 0 {
			return
		}
		if c.makeWay(t, open) {
			left--
		}
	}
}

// urgent lists the tasks that have waited for a while and may take the room of
// others.
func (c *Core) urgent() []*task {
	var out []*task
	for _, j := range c.active {
		if j.over() || c.queues[j.Queue].Priority >= c.lowest {
			continue
		}
		for _, s := range j.turns() {
			if s.Fills || s.Gang {
				continue
			}
			for _, t := range s.tasks {
				if t.waits() && c.waited(t) >= preemptAfter {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// makeWay stops the runs whose loss is least so that a task fits on some worker.
// It reports whether it stopped any.
func (c *Core) makeWay(t *task, open []*worker) bool {
	var best []*place
	bestLoss := preemptLoss * c.cost(t)
	for _, w := range c.candidates(t.step, open) {
		if w.suspect() || t.step.Apart > 0 && t.step.on(w) >= t.step.Apart {
			continue
		}
		victims, loss, fits := c.victims(t, w)
		if fits && len(victims) == 0 {
			return false
		}
		if fits && (best == nil || loss < bestLoss) && loss <= bestLoss {
			best, bestLoss = victims, loss
		}
	}
	for _, p := range best {
		c.takeOff(p, "preempted")
	}
	return len(best) > 0
}

// cost is the expected work of a task, in core-seconds.
func (c *Core) cost(t *task) float64 {
	usual, _ := c.learned.estimate(t.step.job.Queue, t.step.Step)
	if t.step.Lasts {
		usual = max(usual, lastingWorth)
	}
	return usual.Seconds() * float64(t.step.Size.Cores) / 1000
}

// lastingWorth is the run time that a lasting task counts for where it is
// weighed against work that would be thrown away.
const lastingWorth = 10 * time.Second

// victims returns the runs on a worker to stop for a task, and the work that
// they lose in core-seconds. It returns none if room is coming up anyway.
func (c *Core) victims(t *task, w *worker) (out []*place, loss float64, fits bool) {
	room := w.room()
	var can []*place
	for _, p := range sorted(w.places) {
		s := p.task.step
		switch {
		case p.stop != "":
			room = room.Add(s.Reserved())
		case c.queues[s.job.Queue].Priority <= c.queues[t.step.job.Queue].Priority:
		case s.Gang || !p.stored || !p.known || s.Lasts && !c.movable(p):
		default:
			can = append(can, p)
		}
	}
	need := t.step.Reserved()
	if need.Fits(room) {
		return nil, 0, true
	}
	slices.SortStableFunc(can, func(a, b *place) int { return cmp.Compare(lost(a), lost(b)) })
	for _, p := range can {
		if !spared(append(slices.Clone(out), p)) {
			continue
		}
		out = append(out, p)
		loss += lost(p)
		room = room.Add(p.task.step.Reserved())
		if need.Fits(room) {
			return out, loss, true
		}
	}
	return nil, 0, false
}

// lost is the work that a run loses if it is stopped, in core-seconds.
func lost(p *place) float64 {
	if p.task.step.Saves || p.task.step.Lasts {
		return 0
	}
	return p.task.work.Seconds() * float64(p.task.step.Size.Cores) / 1000
}
