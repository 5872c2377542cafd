// Package press estimates how much each best-effort image interferes with each
// latency-critical image on the same worker.
//
// Model. The tail latency of a latency-critical task is base / (1 - u), where
// base is the tail latency of the idle task and u its stress: its own load plus,
// for each best-effort task beside it, the share of the worker's processors that
// this task uses times the interference factor of the two images. Each measured
// tail is converted to a stress. From these stresses, a Kalman filter estimates
// the factor of each pair of images and the load of each latency-critical task;
// it treats all errors as independent. Placement and throttling are decided on
// the stress that these estimates predict. A load that rises is taken further along its
// trend, because a best-effort task that starts now still runs when it has risen.
package press

import (
	"maps"
	"math"
	"time"

	"lagoonrack/internal/work"
)

// Table holds the estimated factors, loads and base tails. The zero value is
// ready for use.
type Table struct {
	// pairs holds the factors by best-effort and then by latency-critical image, and
	// pairCount is their number. loads holds the load of each latency-critical task, and
	// bases the base tail of each latency-critical image.
	pairs     map[string]map[string]*factor
	pairCount int
	loads     map[string]*load
	bases     map[string]base
	// changedPairs and changedBases hold what has changed since the last call of Changed.
	changedPairs map[Pair]bool
	changedBases map[string]bool
	// imageFactors caches imageFactor by best-effort image.
	imageFactors map[string]imageEstimate
}

// imageEstimate is the mean factor of a best-effort image with its standard deviation.
type imageEstimate struct{ mean, stdDev float64 }

// Pair names a best-effort image and a latency-critical image.
type Pair struct{ BestEffort, Critical string }

// factor is the estimated factor of a pair. used is the time of the newest measurement.
type factor struct {
	estimate
	used time.Duration
}

// base is the base tail of an image in milliseconds. used is the time of the newest
// measurement.
type base struct {
	tail float64
	used time.Duration
}

// estimate is an estimated quantity with its variance.
type estimate struct{ mean, variance float64 }

// load is the estimated load of one latency-critical task.
type load struct {
	estimate
	// updated is the time of the newest measurement.
	updated time.Duration
	// stress is the newest measured stress.
	stress float64
	// trend is the recent change of the load in one second.
	trend float64
}

const (
	// priorFactor and priorFactorStdDev describe a pair whose best-effort image
	// was never measured; measured factors lay between 0 and 2.3.
	priorFactor, priorFactorStdDev = 0.7, 0.8
	// sameImageStdDev is the standard deviation of a pair's factor around those
	// of the same best-effort image beside other latency-critical images.
	sameImageStdDev = 0.5
	// priorLoad and loadStdDev describe a latency-critical task that was not
	// measured yet. loadStdDev also bounds the uncertainty of an old estimate.
	priorLoad, loadStdDev = 0.45, 0.2
	// trendWindow is the time over which the trend of a load is averaged, and
	// trendHorizon how far ahead a rising load is predicted.
	trendWindow  = time.Second
	trendHorizon = 1500 * time.Millisecond
	// loadDrift is the standard deviation of the change of a load in one second.
	loadDrift = 0.1
	// steadyNoise is the standard deviation of a measured stress, and
	// unsteadyNoise that of one measured while the best-effort tasks changed.
	steadyNoise, unsteadyNoise = 0.04, 0.15
	// minFactorStdDev keeps a factor able to change after many measurements.
	minFactorStdDev = 0.08
	// maxStress bounds a measured stress: near 1 the tail depends so steeply on
	// the stress that the tail says little about the stress.
	maxStress = 0.97
	// lowestTailShare is the share of an image's lowest measured tail that is its
	// base tail; priorBaseShare is the share of the target that is used until a
	// measurement gives a lower one.
	lowestTailShare, priorBaseShare = 0.92, 0.2
	// maxPairs and maxBases bound the memory of images that are not in use any more.
	// Those that were measured longest ago are forgotten first.
	maxPairs, maxBases = 8192, 4096
)

// BestEffortTask is the image of a best-effort task and the share of the
// worker's processors that the task uses.
type BestEffortTask struct {
	Image string
	Share float64
}

// Measurement is one measurement of a latency-critical task.
type Measurement struct {
	Task, Image string
	// Tail and Target are in milliseconds.
	Tail, Target int64
	// BestEffort lists the best-effort tasks on the same worker.
	BestEffort []BestEffortTask
	// Steady says that the best-effort tasks did not change in the time that the
	// measurement covers.
	Steady bool
}

// Base returns the base tail of an image in milliseconds: the tail latency of an
// idle task.
func (t *Table) Base(image string, target int64) float64 {
	if b := t.bases[image]; b.tail > 0 {
		return b.tail
	}
	return priorBaseShare * float64(target)
}

// Stress returns the stress at which a task with the given base tail has the
// given tail.
func Stress(base float64, tail int64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(maxStress, max(0, 1-base/float64(tail)))
}

// StressLimit returns the stress at which the tail of an image reaches the
// target.
func (t *Table) StressLimit(image string, target int64) float64 {
	return max(0.05, 1-t.Base(image, target)/float64(target))
}

// Observe updates the estimates with a measurement.
func (t *Table) Observe(now time.Duration, r Measurement) {
	if r.Tail <= 0 || r.Target <= 0 {
		return
	}
	t.lowerBase(now, r)
	l := t.load(r.Task, now)
	stdDev := loadDrift * (now - l.updated).Seconds()
	l.variance = min(loadStdDev*loadStdDev, l.variance+stdDev*stdDev+1e-6)
	before, since := l.mean, now-l.updated
	l.updated = now
	u := Stress(t.Base(r.Image, r.Target), r.Tail)
	l.stress = u
	t.update(now, l, r, u)
	t.bound()
	l.follow(l.mean-before, since)
}

// follow updates the trend with a change of the load.
func (l *load) follow(change float64, since time.Duration) {
	if since <= 0 || since > trendWindow {
		l.trend = 0
		return
	}
	weight := since.Seconds() / trendWindow.Seconds()
	l.trend += weight * (change/since.Seconds() - l.trend)
}

// lowerBase lowers the base tail of an image if the measured tail is low enough.
func (t *Table) lowerBase(now time.Duration, r Measurement) {
	low := lowestTailShare * float64(r.Tail)
	b, ok := t.bases[r.Image]
	if !ok && low >= priorBaseShare*float64(r.Target) {
		return
	}
	if !ok || low < b.tail {
		b.tail = low
		mark(&t.changedBases, r.Image)
	}
	b.used = now
	if t.bases == nil {
		t.bases = map[string]base{}
	}
	t.bases[r.Image] = b
}

// mark adds a key to a set.
func mark[K comparable](set *map[K]bool, key K) {
	if *set == nil {
		*set = map[K]bool{}
	}
	(*set)[key] = true
}

// load returns the load of a latency-critical task; a new one starts from the
// prior.
func (t *Table) load(task string, now time.Duration) *load {
	if t.loads == nil {
		t.loads = map[string]*load{}
	}
	l := t.loads[task]
	if l == nil {
		l = &load{estimate: estimate{priorLoad, loadStdDev * loadStdDev}, updated: now}
		t.loads[task] = l
	}
	return l
}

// Forget removes the load of a latency-critical task that has ended.
func (t *Table) Forget(task string) { delete(t.loads, task) }

// View returns a table with the same estimates whose methods that only read leave t unchanged: the
// factors that they cache are its own. Methods that change estimates must not be called on it.
func (t *Table) View() Table {
	v := *t
	v.imageFactors = maps.Clone(t.imageFactors)
	return v
}

// pair returns the factor of a pair. A new one starts from the factors of the
// best-effort image beside other latency-critical images.
func (t *Table) pair(bestEffort, critical string) *factor {
	g := t.pairs[bestEffort][critical]
	if g == nil {
		m, s := t.imageFactor(bestEffort)
		g = &factor{estimate: estimate{m, s * s}}
		t.setPair(Pair{bestEffort, critical}, g)
	}
	return g
}

// setPair sets the factor of a pair.
func (t *Table) setPair(p Pair, g *factor) {
	if t.pairs == nil {
		t.pairs = map[string]map[string]*factor{}
	}
	beside := t.pairs[p.BestEffort]
	if beside == nil {
		beside = map[string]*factor{}
		t.pairs[p.BestEffort] = beside
	}
	if beside[p.Critical] == nil {
		t.pairCount++
	}
	beside[p.Critical] = g
	delete(t.imageFactors, p.BestEffort)
}

// imageFactor returns the mean factor of a best-effort image over the
// latency-critical images that it ran beside, weighted by certainty, and the
// standard deviation.
func (t *Table) imageFactor(bestEffort string) (mean, stdDev float64) {
	if f, ok := t.imageFactors[bestEffort]; ok {
		return f.mean, f.stdDev
	}
	mean, stdDev = t.averageFactor(bestEffort)
	if t.imageFactors == nil || len(t.imageFactors) > maxPairs {
		t.imageFactors = map[string]imageEstimate{}
	}
	t.imageFactors[bestEffort] = imageEstimate{mean, stdDev}
	return mean, stdDev
}

// averageFactor computes imageFactor.
func (t *Table) averageFactor(bestEffort string) (mean, stdDev float64) {
	weight := 1 / (priorFactorStdDev * priorFactorStdDev)
	sum := priorFactor * weight
	seen := false
	for _, g := range t.pairs[bestEffort] {
		if g.variance < sameImageStdDev*sameImageStdDev {
			w := 1 / (sameImageStdDev*sameImageStdDev + g.variance)
			sum += w * g.mean
			weight += w
			seen = true
		}
	}
	if !seen {
		return priorFactor, priorFactorStdDev
	}
	return sum / weight, max(sameImageStdDev, math.Sqrt(1/weight))
}

// update is the update step of the Kalman filter: it distributes the difference
// between the measured stress u and the predicted one over the load and the
// factors, in proportion to their variances.
func (t *Table) update(now time.Duration, l *load, r Measurement, u float64) {
	predicted := l.mean
	noise := steadyNoise
	if !r.Steady {
		noise = unsteadyNoise
	}
	shares := map[string]float64{}
	for _, f := range r.BestEffort {
		shares[f.Image] += f.Share
	}
	total := l.variance + noise*noise
	for image, x := range shares {
		g := t.pair(image, r.Image)
		g.used = now
		predicted += g.mean * x
		total += g.variance * x * x
	}
	residual := u - predicted
	if u >= maxStress && residual < 0 {
		// The measured stress is cut off at maxStress: the real one may be as high
		// as predicted.
		return
	}
	for image, x := range shares {
		g := t.pair(image, r.Image)
		gain := g.variance * x / total
		g.mean = max(0, g.mean+gain*residual)
		g.variance = max(minFactorStdDev*minFactorStdDev, g.variance*(1-gain*x))
		delete(t.imageFactors, image)
		mark(&t.changedPairs, Pair{image, r.Image})
	}
	gain := l.variance / total
	l.mean = min(1, max(0, l.mean+gain*residual))
	l.variance *= 1 - gain
}

// LatencyCriticalTask is a latency-critical task whose stress is predicted.
type LatencyCriticalTask struct {
	Task, Image string
	// Target is the tail latency target in milliseconds.
	Target int64
}

// Headroom returns how far the predicted stress of a latency-critical task is
// below its limit with the given best-effort tasks beside it. Below 0 the task
// is expected to miss its target.
func (t *Table) Headroom(s LatencyCriticalTask, bestEffort []BestEffortTask) float64 {
	return t.StressLimit(s.Image, s.Target) - t.PredictStress(s, bestEffort)
}

// PredictStress returns the predicted stress of a latency-critical task with the given
// best-effort tasks beside it.
func (t *Table) PredictStress(s LatencyCriticalTask, bestEffort []BestEffortTask) float64 {
	u := priorLoad
	if l := t.loads[s.Task]; l != nil {
		u = l.mean + max(0, l.trend)*trendHorizon.Seconds()
	}
	for _, f := range bestEffort {
		u += t.Factor(f.Image, s.Image) * f.Share
	}
	return u
}

// Factor returns the expected interference factor of a pair.
func (t *Table) Factor(bestEffort, critical string) float64 {
	if g := t.pairs[bestEffort][critical]; g != nil {
		return g.mean
	}
	m, _ := t.imageFactor(bestEffort)
	return m
}

// Factors returns the factor of each given best-effort image beside each given
// latency-critical image.
func (t *Table) Factors(bestEffort, critical map[string]bool) []work.Interference {
	var out []work.Interference
	for f := range bestEffort {
		for s := range critical {
			out = append(out, work.Interference{Fill: f, Serve: s, Factor: float32(t.Factor(f, s))})
		}
	}
	return out
}
