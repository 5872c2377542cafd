// Package intake decides whether a service accepts another long-running job.
//
// Model. A long-running job holds its resources until it is cancelled, so no
// other work can use them. A service therefore reserves part of its processors
// for the other work that it has seen recently, and rejects a long-running job
// that would need them. If such a job were accepted, it would wait for free
// capacity, delay short tasks and leave no idle CPU time for best-effort tasks.
// A rejected job is given a retry time: when, at the rate at which capacity
// becomes free, there should be enough for it and for all jobs that were
// rejected before it.
//
// This guards against long-running jobs that are submitted again and again
// while the earlier ones still run, until they hold all processors of a service.
package intake

import (
	"math"
	"slices"
	"time"
)

// Controller is the admission controller of one service. The zero value has
// observed no load and accepts every job.
type Controller struct {
	// FollowDemand says that the reserve follows Load.Demand instead of Load.Other, up to
	// maxDemandReserve.
	FollowDemand bool

	load Load
	// initialReserve is the share of the service that is reserved for other work
	// that may come but was not observed yet. peakOther is the highest recent
	// demand of other work. Both decay.
	initialReserve, peakOther float64
	// freed is the capacity that long-running jobs have released recently; it
	// decays.
	freed    float64
	updated  time.Duration
	observed bool
	retries  []retry
}

// retry is the time at which a rejected job may be submitted again, and the
// capacity that it needs.
type retry struct {
	at    time.Duration
	cores int64
	// job is set if the promise is to be known to the next owner.
	job string
}

// Load is the capacity and demand of a service, in thousandths of a core.
type Load struct {
	// Capacity is the size of all workers, LongRunning what long-running jobs hold
	// or wait for, and Other what all other running and waiting tasks ask for.
	Capacity, LongRunning, Other int64
	// Demand is the work, at learned run times, that other jobs have brought in a second:
	// the processor time that they need if none of them is to wait.
	Demand int64
}

const (
	// minReserve and maxReserve bound the share of a service that is reserved for
	// other work. A reserve of a third let services complete more jobs of every
	// kind than a quarter or none.
	minReserve, maxReserve = 0.05, 0.32
	// maxDemandReserve takes the place of maxReserve if the reserve follows the demand. In
	// trials with two deployments at high load, 0.45 instead of 0.32 let 61 instead of 53 of
	// 65, and 65 of 75 instead of 49 of 78, large best-effort jobs end within their objective,
	// while long-running tasks were at work for about as long in total. 0.6 gave no more.
	maxDemandReserve = 0.45
	// halfLife is the time in which decaying values fall to half.
	halfLife = 60 * time.Second
	// assumedRuntime is the time in which the present long-running jobs are
	// assumed to release their capacity.
	assumedRuntime = 60 * time.Second
	// minRetryAfter and maxRetryAfter bound the time until a rejected job may be
	// submitted again.
	minRetryAfter, maxRetryAfter = 2 * time.Second, time.Minute
)

// Observe records the load at a time.
func (g *Controller) Observe(now time.Duration, l Load) {
	if !g.observed && l.Capacity > 0 {
		g.observed = true
		g.initialReserve = g.maxReserve()
		g.updated = now
		g.load = l
	}
	left := decay(now - g.updated)
	g.initialReserve *= left
	g.peakOther = max(float64(g.other(l)), g.peakOther*left)
	g.freed = g.freed*left + float64(max(0, g.load.LongRunning-l.LongRunning))
	g.load, g.updated = l, now
}

// Clone returns a copy on which Observe and Admit do not change g.
func (g *Controller) Clone() *Controller {
	c := *g
	c.retries = slices.Clone(g.retries)
	return &c
}

// other returns the demand of other work that the reserve follows.
func (g *Controller) other(l Load) int64 {
	if g.FollowDemand {
		return l.Demand
	}
	return l.Other
}

// maxReserve returns the upper bound of the share that is reserved for other work.
func (g *Controller) maxReserve() float64 {
	if g.FollowDemand {
		return maxDemandReserve
	}
	return maxReserve
}

// decay returns the factor by which decaying values fall in a duration.
func decay(d time.Duration) float64 { return math.Exp2(-d.Seconds() / halfLife.Seconds()) }

// FreeCapacity returns the capacity left for long-running jobs, in thousandths
// of a core. It is negative if they hold part of the reserve.
func (g *Controller) FreeCapacity() int64 {
	size := float64(g.load.Capacity)
	reserve := min(g.maxReserve()*size, max(minReserve*size, g.initialReserve*size, g.peakOther))
	return int64(size-reserve) - g.load.LongRunning
}

// Admit reports whether a long-running job that needs the given thousandths of
// a core is accepted, and otherwise after what time it should be submitted
// again.
func (g *Controller) Admit(now time.Duration, need int64) (bool, time.Duration) {
	if !g.observed || need <= g.FreeCapacity() {
		return true, 0
	}
	missing := need - max(0, g.FreeCapacity())
	g.retries = slices.DeleteFunc(g.retries, func(p retry) bool { return p.at <= now })
	for _, p := range g.retries {
		missing += p.cores
	}
	after := min(maxRetryAfter, max(minRetryAfter, time.Duration(float64(missing)/g.freeRate()*float64(time.Second))))
	g.retries = append(g.retries, retry{at: now + after, cores: need})
	return false, after
}

// AdmitJob is Admit for a job that may have been rejected before. That it was told when to
// come again does not count against it.
func (g *Controller) AdmitJob(now time.Duration, job string, need int64) (bool, time.Duration) {
	g.forget(job)
	ok, after := g.Admit(now, need)
	if !ok {
		g.retries[len(g.retries)-1].job = job
	}
	return ok, after
}

// Promise records when a job may be submitted again that this owner or an earlier one has
// rejected.
func (g *Controller) Promise(job string, at time.Duration, need int64) {
	g.forget(job)
	g.retries = append(g.retries, retry{at, need, job})
}

// forget removes the promise to a job.
func (g *Controller) forget(job string) {
	g.retries = slices.DeleteFunc(g.retries, func(p retry) bool { return p.job == job })
}

// freeRate returns the capacity that long-running jobs are expected to release
// in a second: the higher of the assumed and the observed rate.
func (g *Controller) freeRate() float64 {
	assumed := float64(g.load.LongRunning) / assumedRuntime.Seconds()
	return max(1, assumed, g.freed*math.Ln2/halfLife.Seconds())
}
