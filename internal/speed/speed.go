// Package speed estimates how fast best-effort runs make progress on each worker, and how long
// a run is expected to need on a candidate or where it is.
//
// Two quantities are estimated for each worker, rack and zone. The speed is the work that a run
// does in a second of full processor time, relative to what the learned run time of its queue
// says. The share is the processor time that the best-effort runs of a worker get, relative to
// what was expected for them. Evidence loses its weight with its age. Where there is little
// evidence, the estimate of a worker approaches that of its rack, that of a rack the one of its
// zone, and that of a zone 1.
//
// A Table does no I/O and reads no clock; callers pass the time.
package speed

import (
	"math"
	"time"
)

// Table holds the estimates. The zero value is ready to use.
type Table struct {
	workers, racks, zones map[string]*entry
}

// Place is where a run is.
type Place struct{ Worker, Rack, Zone string }

// rack returns a name of the rack that no rack of another zone has.
func (p Place) rack() string { return p.Zone + "/" + p.Rack }

// Estimate is what is expected of a worker.
type Estimate struct {
	Speed, Share float64
	// Age is the time since the newest evidence about the speed that came from the worker
	// itself, or the maximum if there is none that counts.
	Age time.Duration
}

// entry holds the evidence about a worker, a rack or a zone. The speed is averaged as a
// logarithm.
type entry struct {
	speed, share average
}

// average is a mean of observations whose weight halves with each half-life.
type average struct {
	mean, weight float64
	// at is the time of the newest observation.
	at time.Duration
}

const (
	// speedHalfLife is that of evidence about the speed: slow workers and zones stay slow for
	// tens of seconds. That of evidence about the share is shorter, because the load of
	// latency-critical tasks swings with a period of 14 s.
	speedHalfLife = 15 * time.Second
	shareHalfLife = 3 * time.Second
	// maxAge is the age at which evidence counts for nothing any more. At six half-lives,
	// 1/64 of its weight is left.
	maxAge = 90 * time.Second
	// speedPrior and sharePrior are the weights of the value of the rack or the zone, in
	// observations. One run says little about the speed of its worker: the declared run times
	// are off by a factor of up to 1.9. The share is a sum over all best-effort runs.
	speedPrior = 4
	sharePrior = 1
	// maxRatio bounds an observed speed and its inverse, so that a task that takes seven
	// times as long as others does not make its worker slow.
	maxRatio = 2.5
	// minShare is the least share that is assumed, so that no expectation is infinite.
	minShare = 0.05
	// persistence is how long the processor time that a run gets stays away from its mean:
	// a fifth of the period with which the load of latency-critical tasks swings.
	persistence = 3 * time.Second
	// stopTime is the time from the decision to move a run until it has ended, and
	// restoreTime the mean time in which a checkpoint is restored (100 to 600 ms).
	stopTime    = 150 * time.Millisecond
	restoreTime = 350 * time.Millisecond
)

// add adds an observation.
func (a *average) add(now time.Duration, v, weight float64, halfLife time.Duration) {
	w := a.weightAt(now, halfLife)
	a.mean = (a.mean*w + v*weight) / (w + weight)
	a.weight, a.at = w+weight, now
}

// weightAt returns what the observations weigh now.
func (a *average) weightAt(now, halfLife time.Duration) float64 {
	age := now - a.at
	if a.weight == 0 || age > maxAge {
		return 0
	}
	return a.weight * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// with returns the mean combined with a prior mean of the given weight.
func (a *average) with(now time.Duration, prior, weight float64, halfLife time.Duration) float64 {
	w := a.weightAt(now, halfLife)
	return (a.mean*w + prior*weight) / (w + weight)
}

// entryOf returns the entry with the name and creates it if needed.
func entryOf(m *map[string]*entry, name string) *entry {
	e := (*m)[name]
	if e == nil {
		if *m == nil {
			*m = map[string]*entry{}
		}
		e = &entry{}
		(*m)[name] = e
	}
	return e
}

// each calls a function for the entries of a zone, a rack and a worker.
func (t *Table) each(p Place, do func(*entry)) {
	do(entryOf(&t.zones, p.Zone))
	do(entryOf(&t.racks, p.rack()))
	do(entryOf(&t.workers, p.Worker))
}

// Clone returns a copy that shares nothing with t. Asking for an estimate adds the entries that
// are missing, so a reader that must change nothing asks a copy.
func (t *Table) Clone() Table {
	c := *t
	for _, m := range []*map[string]*entry{&c.workers, &c.racks, &c.zones} {
		copied := make(map[string]*entry, len(*m))
		for name, e := range *m {
			x := *e
			copied[name] = &x
		}
		*m = copied
	}
	return c
}

// ObserveSpeed records the speed of a run that did a whole task.
func (t *Table) ObserveSpeed(now time.Duration, p Place, speed float64) {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return
	}
	v := math.Log(min(maxRatio, max(1/maxRatio, speed)))
	t.each(p, func(e *entry) { e.speed.add(now, v, 1, speedHalfLife) })
}

// ObserveShare records the processor time that the best-effort runs of a worker got for a time,
// relative to what was expected for them.
func (t *Table) ObserveShare(now time.Duration, p Place, share float64, covered time.Duration) {
	weight := min(1, covered.Seconds())
	if !(weight > 0) || math.IsNaN(share) {
		return
	}
	v := min(1, max(0, share))
	t.each(p, func(e *entry) { e.share.add(now, v, weight, shareHalfLife) })
}

// Of returns what is expected of a worker.
func (t *Table) Of(now time.Duration, p Place) Estimate {
	speed, share := 0.0, 1.0
	t.each(p, func(e *entry) {
		speed = e.speed.with(now, speed, speedPrior, speedHalfLife)
		share = e.share.with(now, share, sharePrior, shareHalfLife)
	})
	return Estimate{Speed: math.Exp(speed), Share: max(minShare, share), Age: entryOf(&t.workers, p.Worker).age(now)}
}

// End returns how long a run with the given work left, as a duration at a speed of 1, is expected
// to need on a worker where it would get a share of the processor time that it asks for if the
// best-effort runs got all that is expected for them.
func (e Estimate) End(left time.Duration, share float64) time.Duration {
	return time.Duration(float64(left) / (e.Speed * max(minShare, share*e.Share)))
}

// EndIfStays returns the same for a run that gets another share at present. What it gets
// returns to what is expected.
func (e Estimate) EndIfStays(left time.Duration, share, present float64) time.Duration {
	usual := max(minShare, share*e.Share)
	end := e.End(left, share)
	if present >= usual {
		return end
	}
	recovers := end + time.Duration(float64(persistence)*(1-present/usual))
	return min(recovers, time.Duration(float64(left)/(e.Speed*max(minShare, present))))
}

// Move returns how long a run needs that is moved, given how long it needs on the other worker.
func Move(end time.Duration) time.Duration { return stopTime + restoreTime + end }

// MovePays reports whether a run should be moved that is expected to need the time stays where
// it is, and the time moved otherwise. It must gain the margin, a share of the time.
func MovePays(stays, moved time.Duration, margin float64) bool {
	return float64(moved) < (1-margin)*float64(stays)
}

// OfZone returns what is expected of a zone.
func (t *Table) OfZone(now time.Duration, zone string) Estimate {
	e := entryOf(&t.zones, zone)
	return Estimate{
		Speed: math.Exp(e.speed.with(now, 0, speedPrior, speedHalfLife)),
		Share: max(minShare, e.share.with(now, 1, sharePrior, shareHalfLife)),
		Age:   e.age(now),
	}
}

// age returns the time since the newest evidence about the speed, or the maximum.
func (e *entry) age(now time.Duration) time.Duration {
	if e.speed.weight == 0 {
		return maxAge
	}
	return min(maxAge, now-e.speed.at)
}

// Trim forgets the workers, racks and zones of which all evidence is too old to count.
func (t *Table) Trim(now time.Duration) {
	for _, m := range []map[string]*entry{t.workers, t.racks, t.zones} {
		for name, e := range m {
			if now-max(e.speed.at, e.share.at) > maxAge {
				delete(m, name)
			}
		}
	}
}

// Len returns the number of workers, racks and zones that the table knows.
func (t *Table) Len() int { return len(t.workers) + len(t.racks) + len(t.zones) }
