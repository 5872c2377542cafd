// Package shed controls the overload of a service by what it costs callers. It measures the
// demand of jobs as the work that they bring, at learned run times, and orders the jobs of one
// priority.
package shed

import (
	"math"
	"time"
)

// Gate is the overload control of one service. The zero value has observed nothing.
//
// Work is in thousandths of a core times seconds, so that work in a second is in thousandths
// of a core as capacities are.
type Gate struct {
	// arrivals measures the work that has arrived, by priority.
	arrivals map[int]meter
	load     Load
}

// Load is the capacity of a service, in thousandths of a core.
type Load struct {
	// Idle is what long-running jobs leave of the capacity of all workers at their expected
	// use. It bounds the rate at which other work can be done.
	Idle float64
}

// Observe records the load of the service.
func (g *Gate) Observe(l Load) { g.load = l }

// meter is an exponential average of work in a second.
type meter struct {
	rate float64
	at   time.Duration
}

// demandWindow is the time constant of the average of arriving work. It is longer than the
// longest bursts of a queue (7 s), which thus raise the average by half of their excess, and
// covers some 15 large jobs of a typical cell (1.8 a second), so that one of them moves the
// average little.
const demandWindow = 10 * time.Second

// decay returns the factor by which an average falls in a duration.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / demandWindow.Seconds()) }

// Arrive records that a job with a priority and its work arrived at a time, which may be
// before that of earlier calls: a new owner learns of the jobs that its predecessor accepted.
func (g *Gate) Arrive(at time.Duration, priority int, work float64) {
	if g.arrivals == nil {
		g.arrivals = map[int]meter{}
	}
	m, ok := g.arrivals[priority]
	if !ok {
		m.at = at
	}
	if at < m.at {
		work *= decay(m.at - at)
	} else {
		m.rate *= decay(at - m.at)
		m.at = at
	}
	m.rate += work / demandWindow.Seconds()
	g.arrivals[priority] = m
}

// Demand returns the work that jobs of all priorities bring in a second, in thousandths of a
// core.
func (g *Gate) Demand(now time.Duration) float64 {
	var sum float64
	for _, m := range g.arrivals {
		sum += m.rate * decay(max(0, now-m.at))
	}
	return sum
}
