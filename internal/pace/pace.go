// Package pace decides how fast tasks that use what others leave may work, so
// that the tails of the serving tasks beside them stay below their targets.
//
// It answers the load of waves within seconds, on measurements that cover the
// last half second. What each image does to another is told by the owner, which
// learns it over all workers; of several tasks the one that disturbs most is
// slowed first, and by no more than the stress has to fall.
package pace

import (
	"cmp"
	"slices"
	"time"

	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// Guard follows one worker. The zero value is ready.
type Guard struct {
	// factors and bases are the owner's word.
	factors map[[2]string]float64
	bases   map[string]float64
	cores   int64
	levels  map[work.Run]*level
	// mean is the smoothed share of its target that a tail is read at.
	mean map[work.Run]float64
	// high is since when a serving task may have been over its target, and over
	// since when it was read as over it.
	high, over map[work.Run]time.Duration
	// changed is when a level was last changed.
	changed time.Duration
	busy    bool
}

// level is the share at which a run works, in hundredths.
type level struct {
	at, asked int
	// share is what the run uses of the worker's processors when let go.
	share float64
}

const (
	full = 100
	// lag is how long a change takes to show: half a second of measurement and
	// the time until it is in force.
	lag = 650 * time.Millisecond
	// safe is the stress below the limit at which tasks are slowed, and calm
	// that at which they are let go.
	safe, calm = 0.01, 0.06
	// least is the level below which a run is halted.
	least = 10
	// rough is the share of a target from which a reading may hide a tail above
	// it: readings were seen a third too low for seconds.
	rough = 0.7
	// newest is the weight of the newest reading in the smoothed one; readings
	// come about every 0.3 s.
	newest = 0.3
	// doubtAfter is how long a tail may be read as high before tasks are slowed
	// until it is read as safe for certain, and patience before all that fills
	// beside it is halted; the users bear 4 s over the target.
	doubtAfter = 1900 * time.Millisecond
	patience   = 2900 * time.Millisecond
	// unknown is the factor of a pair of which nothing was told.
	unknown = 0.7
)

// Told takes in what the owner knows of the images on the worker.
func (g *Guard) Told(cores int64, pairs []work.Interference, bases map[string]float64) {
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

// Busy reports whether the worker has to be watched closely.
func (g *Guard) Busy() bool { return g.busy }

// Lost notes that an order to pace a run may not have been carried out.
func (g *Guard) Lost(r work.Run) {
	if l := g.levels[r]; l != nil {
		l.asked = -1
	}
}

// serve is a serving task with its stress.
type serve struct {
	run          work.Run
	image        string
	stress, most float64
	// doubt says that the tail was read below its target, but as high for long.
	doubt bool
}

// fill is a task that fills, with its level.
type fill struct {
	run   work.Run
	image string
	*level
}

// Step takes in what a worker runs and returns the runs to be paced.
func (g *Guard) Step(now time.Duration, running []work.Running, about map[work.Run]work.About) []work.Throttle {
	serves, fills := g.split(now, running, about)
	g.busy = len(serves) > 0 && len(fills) > 0
	if !g.busy {
		return g.orders(fills, "calm")
	}
	reason := "calm"
	switch {
	case tooLong(g.over, now):
		for _, f := range fills {
			f.at = 0
		}
		g.changed, reason = now, "over"
	case tooLong(g.high, now) && g.halt(serves, fills):
		g.changed, reason = now, "doubt"
	case now-g.changed < lag && g.changed != 0:
	default:
		if g.slow(serves, fills) {
			g.changed, reason = now, "tail"
		} else if g.release(serves, fills) {
			g.changed = now
		}
	}
	return g.orders(fills, reason)
}

// split reads the list of runs.
func (g *Guard) split(now time.Duration, running []work.Running, about map[work.Run]work.About) ([]serve, []fill) {
	var serves []serve
	var fills []fill
	levels := map[work.Run]*level{}
	high, over := map[work.Run]time.Duration{}, map[work.Run]time.Duration{}
	mean := map[work.Run]float64{}
	for _, r := range running {
		a := about[r.Run]
		switch {
		case a.Fills:
			l := g.levels[r.Run]
			if l == nil {
				l = &level{at: full, asked: full}
			}
			if l.at == full || l.share == 0 {
				l.share = float64(r.Figure) / float64(max(1, g.cores))
			}
			levels[r.Run] = l
			fills = append(fills, fill{r.Run, a.Image, l})
		case a.Lasts && a.Target > 0 && r.Percent >= full:
			base := g.base(a)
			target, doubt := float64(a.Target), false
			if float64(r.Figure) > target {
				over[r.Run] = since(g.over, r.Run, now)
			}
			mean[r.Run] = smooth(g.mean, r.Run, float64(r.Figure)/target)
			if mean[r.Run] > rough {
				high[r.Run] = since(g.high, r.Run, now)
				if now-high[r.Run] >= doubtAfter {
					target *= rough
					doubt = true
				}
			}
			serves = append(serves, serve{r.Run, a.Image, press.Stress(base, r.Figure), 1 - base/target, doubt})
		}
	}
	g.levels, g.mean, g.high, g.over = levels, mean, high, over
	return serves, fills
}

// smooth returns the mean of a reading and those before, the newer ones counting
// more: single readings are rough.
func smooth(m map[work.Run]float64, r work.Run, reading float64) float64 {
	old, ok := m[r]
	if !ok {
		return reading
	}
	return old + newest*(reading-old)
}

// since returns the time in a map, or now.
func since(m map[work.Run]time.Duration, r work.Run, now time.Duration) time.Duration {
	if t, ok := m[r]; ok {
		return t
	}
	return now
}

// firstBase is the share of a target that counts as an idle task's tail until
// the owner tells.
const firstBase = 0.2

func (g *Guard) base(a work.About) float64 {
	if b := g.bases[a.Image]; b > 0 {
		return b
	}
	return firstBase * float64(a.Target)
}

// tooLong reports whether a serving task has been high or over for so long that
// what disturbs it must not go on.
func tooLong(since map[work.Run]time.Duration, now time.Duration) bool {
	for _, t := range since {
		if now-t >= patience {
			return true
		}
	}
	return false
}

// slight is the stress below which a run is not the cause of a high tail.
const slight = 0.02

// halt stops the runs that add to the stress of a serving task that may be over
// its target, and reports whether some did.
func (g *Guard) halt(serves []serve, fills []fill) bool {
	did := false
	for _, s := range serves {
		if _, ok := g.high[s.run]; !ok {
			continue
		}
		for _, f := range fills {
			if f.at > 0 && g.factor(f.image, s.image)*f.share*float64(f.at)/full > slight {
				f.at = 0
				did = true
			}
		}
	}
	return did
}

func (g *Guard) factor(fill, serve string) float64 {
	if f, ok := g.factors[[2]string{fill, serve}]; ok {
		return f
	}
	return unknown
}

// slow takes speed from the runs that disturb most until no serving task is to
// be expected above its safe stress, and reports whether it did.
func (g *Guard) slow(serves []serve, fills []fill) bool {
	did := false
	for _, s := range serves {
		need := s.stress - (s.most - safe)
		if need <= 0 {
			continue
		}
		cost := func(f fill) float64 { return g.factor(f.image, s.image) * f.share * float64(f.at) / full }
		sorted := slices.Clone(fills)
		slices.SortStableFunc(sorted, func(a, b fill) int { return cmp.Compare(cost(b), cost(a)) })
		for _, f := range sorted {
			c := cost(f)
			if need <= 0 || f.at == 0 || c <= 0 || s.doubt && c <= slight {
				continue
			}
			at := f.at
			f.at = floor(int(float64(f.at) * (1 - min(1, need/c))))
			need -= c * float64(at-f.at) / float64(at)
			did = true
		}
	}
	return did
}

func floor(level int) int {
	if level < least {
		return 0
	}
	return level
}

// release lets runs go again that were slowed, as far as no serving task is to
// be expected near its limit, those that disturb least first.
func (g *Guard) release(serves []serve, fills []fill) bool {
	did := false
	worst := func(f fill) float64 {
		w := 0.0
		for _, s := range serves {
			w = max(w, g.factor(f.image, s.image)*f.share)
		}
		return w
	}
	sorted := slices.Clone(fills)
	slices.SortStableFunc(sorted, func(a, b fill) int { return cmp.Compare(worst(a), worst(b)) })
	added := map[work.Run]float64{}
	for _, f := range sorted {
		if f.at == full {
			continue
		}
		up := float64(full-f.at) / full
		for _, s := range serves {
			if c := g.factor(f.image, s.image) * f.share; c > 0 {
				up = min(up, (s.most-calm-s.stress-added[s.run])/c)
			}
		}
		next := floor(f.at + int(up*full))
		if next <= f.at {
			continue
		}
		for _, s := range serves {
			added[s.run] += g.factor(f.image, s.image) * f.share * float64(next-f.at) / full
		}
		f.at = min(full, next)
		did = true
	}
	return did
}

// orders returns the runs that do not work at their level.
func (g *Guard) orders(fills []fill, reason string) []work.Throttle {
	var out []work.Throttle
	for _, f := range fills {
		if f.at != f.asked {
			f.asked = f.at
			out = append(out, work.Throttle{Run: f.run, Percent: f.at, Reason: reason})
		}
	}
	return out
}
