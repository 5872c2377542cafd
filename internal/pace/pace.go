// Package pace throttles best-effort tasks so that the tail latencies of the
// latency-critical tasks on the same worker stay below their targets.
//
// It reacts to changes of load within seconds, on measurements that cover the
// last half second. The owner of the cell learns over all workers how much the
// images interfere with each other and sends the factors. The best-effort task
// that interferes most is throttled first, and only by the stress that has to be
// removed. Package press defines stress, factors and base tails.
package pace

import (
	"cmp"
	"slices"
	"time"

	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// Throttler decides the levels of the best-effort runs of one worker. The zero
// value is ready for use.
type Throttler struct {
	// factors and bases are what the owner has sent: the interference factor of
	// each pair of a best-effort and a latency-critical image, and the base tail of
	// each latency-critical image in milliseconds.
	factors map[[2]string]float64
	bases   map[string]float64
	cores   int64
	levels  map[work.Run]*level
	// tailRatio is the smoothed ratio of a measured tail to its target.
	tailRatio map[work.Run]float64
	// highSince is when the smoothed ratio of a latency-critical run rose above
	// highRatio, and overSince when its measured tail rose above the target.
	highSince, overSince map[work.Run]time.Duration
	// changed is when a level was last changed.
	changed time.Duration
	active  bool
}

// level is the throttle level of a best-effort run.
type level struct {
	// speed is the percentage of its full speed at which the run may work, and
	// ordered the percentage that was last ordered, or unknown.
	speed, ordered int
	// share is the share of the worker's processors that the run uses at full
	// speed.
	share float64
}

const (
	// full is the speed of a run that is not throttled, in percent.
	full = 100
	// unknown is the level of a run to which an order may be on its way, or that an earlier
	// process of the agent may have throttled.
	unknown = -1
	// effectDelay is how long a change takes to show in the measurements: half a
	// second of measurement and the time until the change is in force.
	effectDelay = 650 * time.Millisecond
	// Runs are throttled if a measured stress is less than throttleMargin below its
	// limit, and released if all are more than releaseMargin below theirs.
	throttleMargin, releaseMargin = 0.01, 0.06
	// minSpeed is the speed below which a run is halted.
	minSpeed = 10
	// highRatio is the ratio of a measured tail to its target above which the real
	// tail may be over the target: measurements can be a third too low for
	// seconds.
	highRatio = 0.7
	// newestWeight is the weight of the newest measurement in the smoothed ratio;
	// one comes about every 0.3 s.
	newestWeight = 0.3
	// distrustAfter is how long a smoothed ratio may be high before runs are
	// throttled until the measured tail is below highRatio of the target.
	// haltAfter is how long it may be high before the runs that interfere are
	// halted, and how long a measured tail may be over its target before all
	// best-effort runs are halted. Both end before 4 s, the longest time over the
	// target that is acceptable.
	distrustAfter = 1900 * time.Millisecond
	haltAfter     = 2900 * time.Millisecond
	// defaultFactor is the factor of a pair that the owner has not sent.
	defaultFactor = 0.7
)

// SetModel records the processors of the worker, in thousandths of a core, and
// the factors and base tails that the owner has sent for its images.
func (g *Throttler) SetModel(cores int64, pairs []work.Interference, bases map[string]float64) {
	g.cores = cores
	if g.factors == nil {
		g.factors = map[[2]string]float64{}
	}
	for _, p := range pairs {
		g.factors[[2]string{p.Fill, p.Serve}] = float64(p.Factor)
	}
	if len(bases) > 0 {
		g.bases = bases
	}
}

// Active reports whether the worker runs both latency-critical and best-effort
// tasks, so that it has to be measured often.
func (g *Throttler) Active() bool { return g.active }

// OrderLost records that a throttle order for a run may not have been carried
// out, so that it is repeated.
func (g *Throttler) OrderLost(r work.Run) {
	if l := g.levels[r]; l != nil {
		l.ordered = unknown
	}
}

// criticalRun is a run of a latency-critical task with its measured stress and
// the stress limit at which its target is reached.
type criticalRun struct {
	run           work.Run
	image         string
	stress, limit float64
	// distrusted says that the tail was high for distrustAfter, so that the limit
	// is that of a lower target.
	distrusted bool
}

// bestEffortRun is a run of a best-effort task with its level.
type bestEffortRun struct {
	run   work.Run
	image string
	*level
}

// Step updates the levels from the runs of a worker and their measurements, and
// returns the throttle orders for runs whose level has changed.
func (g *Throttler) Step(now time.Duration, running []work.Running, about map[work.Run]work.About) []work.Throttle {
	critical, bestEffort := g.classify(now, running, about)
	g.active = len(critical) > 0 && len(bestEffort) > 0
	if !g.active {
		if !servesAny(running, about) {
			for _, f := range bestEffort {
				f.speed = full
			}
		}
		return g.orders(bestEffort, "calm")
	}
	reason := "calm"
	switch {
	case anyForHaltAfter(g.overSince, now):
		for _, f := range bestEffort {
			f.speed = 0
		}
		g.changed, reason = now, "over"
	case anyForHaltAfter(g.highSince, now) && g.halt(critical, bestEffort):
		g.changed, reason = now, "doubt"
	case now-g.changed < effectDelay && g.changed != 0:
	default:
		if g.throttle(critical, bestEffort) {
			g.changed, reason = now, "tail"
		} else if g.release(critical, bestEffort) {
			g.changed = now
		}
	}
	return g.orders(bestEffort, reason)
}

// servesAny reports whether some run is of a latency-critical task, also one that is not
// at work yet. Without any, nothing is left to protect on the worker.
func servesAny(running []work.Running, about map[work.Run]work.About) bool {
	return slices.ContainsFunc(running, func(r work.Running) bool { a := about[r.Run]; return a.Lasts && a.Target > 0 })
}

// classify returns the latency-critical and the best-effort runs, and updates
// what is known of each.
func (g *Throttler) classify(now time.Duration, running []work.Running, about map[work.Run]work.About) ([]criticalRun, []bestEffortRun) {
	var critical []criticalRun
	var bestEffort []bestEffortRun
	levels := map[work.Run]*level{}
	highSince, overSince := map[work.Run]time.Duration{}, map[work.Run]time.Duration{}
	tailRatio := map[work.Run]float64{}
	for _, r := range running {
		a, described := about[r.Run]
		switch {
		case !described:
			// This process did not start the run. The owner's description will follow.
			levels[r.Run] = &level{speed: full, ordered: unknown}
		case a.Fills:
			l := g.levels[r.Run]
			if l == nil {
				l = &level{speed: full, ordered: full}
			}
			if l.speed == full || l.share == 0 {
				l.share = float64(r.Figure) / float64(max(1, g.cores))
			}
			levels[r.Run] = l
			bestEffort = append(bestEffort, bestEffortRun{r.Run, a.Image, l})
		case a.Lasts && a.Target > 0 && r.Percent >= full:
			base := g.base(a)
			target, distrusted := float64(a.Target), false
			if float64(r.Figure) > target {
				overSince[r.Run] = sinceOrNow(g.overSince, r.Run, now)
			}
			tailRatio[r.Run] = smooth(g.tailRatio, r.Run, float64(r.Figure)/target)
			if tailRatio[r.Run] > highRatio {
				highSince[r.Run] = sinceOrNow(g.highSince, r.Run, now)
				if now-highSince[r.Run] >= distrustAfter {
					target *= highRatio
					distrusted = true
				}
			}
			critical = append(critical, criticalRun{r.Run, a.Image, press.Stress(base, r.Figure), 1 - base/target, distrusted})
		}
	}
	g.levels, g.tailRatio, g.highSince, g.overSince = levels, tailRatio, highSince, overSince
	return critical, bestEffort
}

// smooth returns the exponentially weighted mean of a measurement and those
// before it, because single measurements are inaccurate.
func smooth(m map[work.Run]float64, r work.Run, ratio float64) float64 {
	previous, ok := m[r]
	if !ok {
		return ratio
	}
	return previous + newestWeight*(ratio-previous)
}

// sinceOrNow returns the time of a run in a map, or now if it has none.
func sinceOrNow(m map[work.Run]time.Duration, r work.Run, now time.Duration) time.Duration {
	if t, ok := m[r]; ok {
		return t
	}
	return now
}

// priorBaseShare is the share of a target that is the base tail of an image until
// the owner has sent one.
const priorBaseShare = 0.2

// base returns the base tail of a latency-critical task in milliseconds.
func (g *Throttler) base(a work.About) float64 {
	if b := g.bases[a.Image]; b > 0 {
		return b
	}
	return priorBaseShare * float64(a.Target)
}

// anyForHaltAfter reports whether some run has been in a state for haltAfter,
// given the times at which the runs entered it.
func anyForHaltAfter(since map[work.Run]time.Duration, now time.Duration) bool {
	for _, t := range since {
		if now-t >= haltAfter {
			return true
		}
	}
	return false
}

// negligibleStress is the stress below which a best-effort run is not the cause
// of a high tail.
const negligibleStress = 0.02

// halt halts the best-effort runs that interfere with a latency-critical run
// whose tail may be over its target, and reports whether it halted any.
func (g *Throttler) halt(critical []criticalRun, bestEffort []bestEffortRun) bool {
	changed := false
	for _, s := range critical {
		if _, ok := g.highSince[s.run]; !ok {
			continue
		}
		for _, f := range bestEffort {
			if f.speed > 0 && g.factor(f.image, s.image)*f.share*float64(f.speed)/full > negligibleStress {
				f.speed = 0
				changed = true
			}
		}
	}
	return changed
}

// factor returns the interference factor of a pair of images.
func (g *Throttler) factor(bestEffort, critical string) float64 {
	if f, ok := g.factors[[2]string{bestEffort, critical}]; ok {
		return f
	}
	return defaultFactor
}

// throttle lowers the levels of the best-effort runs that interfere most until
// every latency-critical run is expected to be throttleMargin below its limit,
// and reports whether it lowered any.
func (g *Throttler) throttle(critical []criticalRun, bestEffort []bestEffortRun) bool {
	changed := false
	for _, s := range critical {
		excess := s.stress - (s.limit - throttleMargin)
		if excess <= 0 {
			continue
		}
		stressOf := func(f bestEffortRun) float64 { return g.factor(f.image, s.image) * f.share * float64(f.speed) / full }
		sorted := slices.Clone(bestEffort)
		slices.SortStableFunc(sorted, func(a, b bestEffortRun) int { return cmp.Compare(stressOf(b), stressOf(a)) })
		for _, f := range sorted {
			c := stressOf(f)
			if excess <= 0 || f.speed == 0 || c <= 0 || s.distrusted && c <= negligibleStress {
				continue
			}
			old := f.speed
			f.speed = haltBelowMin(int(float64(f.speed) * (1 - min(1, excess/c))))
			excess -= c * float64(old-f.speed) / float64(old)
			changed = true
		}
	}
	return changed
}

// haltBelowMin returns a percentage, or 0 if it is below minSpeed.
func haltBelowMin(percent int) int {
	if percent < minSpeed {
		return 0
	}
	return percent
}

// release raises the levels of throttled runs as long as every latency-critical
// run is expected to stay releaseMargin below its limit, beginning with the runs
// that interfere least, and reports whether it raised any.
func (g *Throttler) release(critical []criticalRun, bestEffort []bestEffortRun) bool {
	changed := false
	maxStress := func(f bestEffortRun) float64 {
		w := 0.0
		for _, s := range critical {
			w = max(w, g.factor(f.image, s.image)*f.share)
		}
		return w
	}
	sorted := slices.Clone(bestEffort)
	slices.SortStableFunc(sorted, func(a, b bestEffortRun) int { return cmp.Compare(maxStress(a), maxStress(b)) })
	added := map[work.Run]float64{}
	for _, f := range sorted {
		if f.speed == full {
			continue
		}
		raise := float64(full-f.speed) / full
		for _, s := range critical {
			if c := g.factor(f.image, s.image) * f.share; c > 0 {
				raise = min(raise, (s.limit-releaseMargin-s.stress-added[s.run])/c)
			}
		}
		next := haltBelowMin(f.speed + int(raise*full))
		if next <= f.speed {
			continue
		}
		for _, s := range critical {
			added[s.run] += g.factor(f.image, s.image) * f.share * float64(next-f.speed) / full
		}
		f.speed = min(full, next)
		changed = true
	}
	return changed
}

// orders returns throttle orders for the runs whose level differs from the one
// that was last ordered.
func (g *Throttler) orders(bestEffort []bestEffortRun, reason string) []work.Throttle {
	var out []work.Throttle
	for _, f := range bestEffort {
		if f.speed != f.ordered {
			f.ordered = f.speed
			out = append(out, work.Throttle{Run: f.run, Percent: f.speed, Reason: reason})
		}
	}
	return out
}
