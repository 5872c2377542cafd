// Package press learns how much tasks that use what others leave disturb the
// serving tasks beside them.
//
// Model. The tail of a serving task grows as base / (1 - u), where the stress u
// is its own load plus, for each task that fills beside it, the share of the
// worker's processors which that uses times a factor of the two images. Tails
// are read as stress, the factor of each pair and the load of each serving task
// are estimated by a Kalman filter with independent errors, and placement and
// pacing are decided on the stress that is to be expected.
package press

import (
	"math"
	"time"

	"lagoonrack/internal/work"
)

// Table is what was learned. The zero value is ready.
type Table struct {
	pairs map[pair]*guess
	tasks map[string]*load
	bases map[string]float64
}

type pair struct{ fill, serve string }

// guess is an estimate with its variance.
type guess struct{ mean, variance float64 }

// load is the estimated load of one serving task.
type load struct {
	guess
	at time.Duration
	// stress is the newest reading.
	stress float64
}

const (
	// firstFactor and firstSpread are what is assumed of a pair before it was
	// seen: on the trial days factors lay between 0 and 2.3.
	firstFactor, firstSpread = 0.7, 0.8
	// kinSpread is the spread of a pair's factor around that of the same
	// filling image beside other serving images.
	kinSpread = 0.5
	// firstLoad and loadSpread are what is assumed of a serving task.
	firstLoad, loadSpread = 0.45, 0.2
	// drift is how far a load moves in a second, about.
	drift = 0.1
	// noise is the error of a reading, and unsteady that of one taken while the
	// tasks beside the serving one changed.
	noise, unsteady = 0.04, 0.15
	// minPairSpread keeps a factor able to change.
	minPairSpread = 0.08
	// highest bounds a reading: near it the tail says little.
	highest = 0.97
	// baseShare is the share of the lowest tail ever seen that counts as the
	// tail of an idle task; firstBase is that share of the target before.
	baseShare, firstBase = 0.92, 0.2
)

// Fill is a task that fills: its image and the share of the worker's
// processors that it uses.
type Fill struct {
	Image string
	Share float64
}

// Reading is one measurement of a serving task.
type Reading struct {
	Task, Image string
	// Tail and Target are in milliseconds.
	Tail, Target int64
	Fills        []Fill
	// Steady says that the fills have been the same for as long as the
	// measurement covers.
	Steady bool
}

// Base returns the tail, in milliseconds, of an idle task of an image.
func (t *Table) Base(image string, target int64) float64 {
	if b := t.bases[image]; b > 0 {
		return b
	}
	return firstBase * float64(target)
}

// Stress reads a tail.
func Stress(base float64, tail int64) float64 {
	if tail <= 0 {
		return 0
	}
	return min(highest, max(0, 1-base/float64(tail)))
}

// Limit is the stress at which a target is reached.
func (t *Table) Limit(image string, target int64) float64 {
	return max(0.05, 1-t.Base(image, target)/float64(target))
}

// Observe takes a reading in.
func (t *Table) Observe(now time.Duration, r Reading) {
	if r.Tail <= 0 || r.Target <= 0 {
		return
	}
	t.base(r)
	l := t.load(r.Task, now)
	spread := drift * (now - l.at).Seconds()
	l.variance = min(loadSpread*loadSpread, l.variance+spread*spread+1e-6)
	l.at = now
	u := Stress(t.Base(r.Image, r.Target), r.Tail)
	l.stress = u
	t.update(l, r, u)
}

func (t *Table) base(r Reading) {
	if t.bases == nil {
		t.bases = map[string]float64{}
	}
	low := baseShare * float64(r.Tail)
	if b, ok := t.bases[r.Image]; !ok && low < firstBase*float64(r.Target) || ok && low < b {
		t.bases[r.Image] = low
	}
}

func (t *Table) load(task string, now time.Duration) *load {
	if t.tasks == nil {
		t.tasks = map[string]*load{}
	}
	l := t.tasks[task]
	if l == nil {
		l = &load{guess: guess{firstLoad, loadSpread * loadSpread}, at: now}
		t.tasks[task] = l
	}
	return l
}

// Forget drops a serving task that has ended.
func (t *Table) Forget(task string) { delete(t.tasks, task) }

// pair returns the estimate of a pair. A new one starts from what is known of
// the filling image beside others.
func (t *Table) pair(fill, serve string) *guess {
	if t.pairs == nil {
		t.pairs = map[pair]*guess{}
	}
	k := pair{fill, serve}
	g := t.pairs[k]
	if g == nil {
		m, s := t.kin(fill)
		g = &guess{m, s * s}
		t.pairs[k] = g
	}
	return g
}

// kin returns the mean factor of a filling image over the serving images that
// it was seen beside, weighted by certainty, and its spread.
func (t *Table) kin(fill string) (mean, spread float64) {
	weight := 1 / (firstSpread * firstSpread)
	sum := firstFactor * weight
	seen := false
	for k, g := range t.pairs {
		if k.fill == fill && g.variance < kinSpread*kinSpread {
			w := 1 / (kinSpread*kinSpread + g.variance)
			sum += w * g.mean
			weight += w
			seen = true
		}
	}
	if !seen {
		return firstFactor, firstSpread
	}
	return sum / weight, max(kinSpread, math.Sqrt(1/weight))
}

// update is one step of the filter.
func (t *Table) update(l *load, r Reading, u float64) {
	pred := l.mean
	err := noise
	if !r.Steady {
		err = unsteady
	}
	shares := map[string]float64{}
	for _, f := range r.Fills {
		shares[f.Image] += f.Share
	}
	total := l.variance + err*err
	for image, x := range shares {
		g := t.pair(image, r.Image)
		pred += g.mean * x
		total += g.variance * x * x
	}
	e := u - pred
	if u >= highest && e < 0 {
		// The reading only says that the stress is at least this.
		return
	}
	for image, x := range shares {
		g := t.pair(image, r.Image)
		k := g.variance * x / total
		g.mean = max(0, g.mean+k*e)
		g.variance = max(minPairSpread*minPairSpread, g.variance*(1-k*x))
	}
	k := l.variance / total
	l.mean = min(1, max(0, l.mean+k*e))
	l.variance *= 1 - k
}

// Serving is a serving task whose stress is asked for.
type Serving struct {
	Task, Image string
	Target      int64
}

// Room is how far the expected stress of a serving task is below its limit
// with the given tasks beside it; below 0 it would miss its target.
func (t *Table) Room(s Serving, fills []Fill) float64 {
	u := firstLoad
	if l := t.tasks[s.Task]; l != nil {
		u = l.mean
	}
	for _, f := range fills {
		u += t.Factor(f.Image, s.Image) * f.Share
	}
	return t.Limit(s.Image, s.Target) - u
}

// Factor returns the expected factor of a pair.
func (t *Table) Factor(fill, serve string) float64 {
	if g := t.pairs[pair{fill, serve}]; g != nil {
		return g.mean
	}
	m, _ := t.kin(fill)
	return m
}

// Pairs lists the factors of the given images beside each other.
func (t *Table) Pairs(fills, serves map[string]bool) []work.Interference {
	var out []work.Interference
	for f := range fills {
		for s := range serves {
			out = append(out, work.Interference{Fill: f, Serve: s, Factor: float32(t.Factor(f, s))})
		}
	}
	return out
}

// Saved is the stored form of what was learned of pairs.
type Saved struct {
	Pairs []SavedPair        `cbor:"1,keyasint"`
	Bases map[string]float64 `cbor:"2,keyasint"`
}

// SavedPair is the stored form of one pair.
type SavedPair struct {
	_              struct{} `cbor:",toarray"`
	Fill, Serve    string
	Mean, Variance float64
}

// Save returns what was learned of pairs; loads change too fast to be kept.
func (t *Table) Save() Saved {
	s := Saved{Bases: t.bases}
	for k, g := range t.pairs {
		s.Pairs = append(s.Pairs, SavedPair{Fill: k.fill, Serve: k.serve, Mean: g.mean, Variance: g.variance})
	}
	return s
}

// Load takes over what another table saved.
func (t *Table) Load(s Saved) {
	t.pairs = map[pair]*guess{}
	for _, p := range s.Pairs {
		t.pairs[pair{p.Fill, p.Serve}] = &guess{p.Mean, p.Variance}
	}
	t.bases = s.Bases
}
