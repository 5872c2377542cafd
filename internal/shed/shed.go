// Package shed controls the overload of a service by what it costs callers. It measures the
// demand of jobs as the work that they bring, at learned run times, orders the jobs of one
// priority, and decides whether a job is accepted.
package shed

import (
	"maps"
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
	// refusing holds the priorities of which the last job was rejected.
	refusing map[int]bool
	// promises holds, by job, what rejected callers were told.
	promises map[string]Promise
}

// Load is the capacity of a service, in thousandths of a core, and its backlog.
type Load struct {
	// Capacity is the size of all workers that can be used.
	Capacity float64
	// Idle is what long-running jobs leave of the capacity at their expected use, and Free what
	// they do not reserve. They bound the rates at which other work can be done.
	Idle, Free float64
	// Backlog is the remaining work of all jobs that are not long-running.
	Backlog []Backlog
}

// Observe records the load of the service.
func (g *Gate) Observe(l Load) { g.load = l }

// Clone returns a copy on which Observe, Admit and Promise do not change g.
func (g *Gate) Clone() *Gate {
	c := *g
	c.refusing, c.promises = maps.Clone(g.refusing), maps.Clone(g.promises)
	c.arrivals = maps.Clone(g.arrivals)
	return &c
}

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
	return g.demand(now, func(int) bool { return true })
}

// demand returns the work that jobs of the given priorities bring in a second.
func (g *Gate) demand(now time.Duration, includes func(priority int) bool) float64 {
	var sum float64
	for p, m := range g.arrivals {
		if includes(p) {
			sum += m.rate * decay(max(0, now-m.at))
		}
	}
	return sum
}

// Backlog returns the remaining work of all jobs as last observed.
func (g *Gate) Backlog() float64 {
	var sum float64
	for _, b := range g.load.Backlog {
		sum += b.Work
	}
	return sum
}
