package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/evac"
)

// This file keeps starts out of evacuated zones. What is known of the zones is decided in
// package evac. A start is ordered only while the knowledge is recent, and its order expires, so
// that nothing starts later than Limits.Evacuation after a zone's row was acknowledged, whatever
// messages are lost, delayed or repeated.

// zoneOpen reports whether runs may be started on a worker as far as its zone is concerned. The
// zone of a worker is not known before its first report to this owner.
func (c *Core) zoneOpen(w *worker) bool {
	return c.limits.Evacuation <= 0 || w.reported && c.zones.Recent(c.now, evac.MaxAge(c.limits.Evacuation)) && !c.zones.Closed(w.Zone)
}

// setZones records which zones are evacuated and withdraws the starts there that were decided
// and not ordered yet. Runs that were ordered go on.
func (c *Core) setZones(z evac.Zones) {
	same := z.Same(c.zones)
	c.zones = z
	if same {
		return
	}
	c.changes.all = true
	for _, w := range c.workerList {
		if z.Closed(w.Zone) {
			c.withdrawStarts(w)
		}
	}
}

// withdrawStarts releases the placements on a worker whose start was never ordered.
func (c *Core) withdrawStarts(w *worker) {
	for _, p := range w.placements.sorted() {
		if p.sentAt > 0 || p.stopReason != "" || !w.placements.contains(p) {
			continue
		}
		c.emit(Decision{Kind: "withdrawn", Task: p.name(), Run: p.run, Worker: w.ID, Reason: "evacuated"})
		c.release(p)
		c.stopGang(p.task.step)
		c.updateJob(p.task.step.job)
	}
}

// startBy returns the time by the clock of the worker's agent until which starts that are
// ordered now may be sent to the worker, or 0 for no limit. The least transit time of the
// agent's reports contains the difference of the clocks and is above it.
func (c *Core) startBy(w *worker) time.Duration {
	if c.limits.Evacuation <= 0 {
		return 0
	}
	return max(1, c.now-w.minTransit+evac.OrderLifetime)
}

// neverStarted reports whether a run in an evacuated zone, whose start was ordered with unknown
// outcome, is missing from a list that was requested after its order had expired. The order is
// not repeated there, so that nothing else would tell.
func (c *Core) neverStarted(p *placement, proven time.Duration) bool {
	return c.zones.Closed(p.worker.Zone) && !p.confirmed && p.stopReason == "" && p.sentAt > 0 && proven > p.sentAt+evac.OrderLifetime+evac.StartMargin
}

// mayLeave reports whether a run may be stopped to be moved. One in an evacuated zone may only
// if another worker can take it.
func (c *Core) mayLeave(p *placement) bool {
	return !c.zones.Closed(p.worker.Zone) || c.fitsElsewhere(p)
}

// evacuatedWorkers lists the workers that may get no new runs only because their zone is
// evacuated.
func (c *Core) evacuatedWorkers() []*worker {
	if len(c.zones.Names()) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.workerList), func(w *worker) bool {
		return !c.zones.Closed(w.Zone) || !c.usable(w)
	})
}

// onlyEvacuatedFit reports whether only workers of evacuated zones have the capacity for a task
// of a step. The eligible workers are those of the other zones.
func (c *Core) onlyEvacuatedFit(s *step, eligible []*worker) bool {
	hasCapacity := func(w *worker) bool { return s.Reserved().Fits(w.free()) }
	return !slices.ContainsFunc(eligible, hasCapacity) && slices.ContainsFunc(c.eligible(s, c.evacuatedWorkers()), hasCapacity)
}

const (
	// coldTie decides between workers that fit equally well. Differences of the fit below a
	// hundredth of a worker are below what run time estimates allow to tell.
	coldTie = 0.01
	// coldWeight ranks a cold worker below every warm one for work that can't wait for it to
	// warm up: above preferredWeight, and below failedWeight.
	coldWeight = 50
)

// coldFor returns for how much longer a worker is slower than usual after a start or an
// evacuation.
func (c *Core) coldFor(w *worker) time.Duration {
	if c.limits.Evacuation <= 0 {
		return 0
	}
	return max(0, time.Duration(w.Cold)*time.Millisecond-(c.now-w.lastReport))
}

// coldPenalty returns by how much a cold worker ranks lower for a step.
func (c *Core) coldPenalty(s *step, w *worker) float64 {
	remaining := c.coldFor(w)
	switch {
	case remaining <= 0:
		return 0
	case s.Lasts || s.occurrence.slack < remaining:
		// A run loses at most what remains.
		return coldWeight
	}
	return coldTie
}
