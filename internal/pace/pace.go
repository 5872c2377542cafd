// Package pace decides how fast tasks that use what others leave may work, so
// that the tails of the serving tasks beside them stay below their targets. It
// answers the load of waves within seconds, on measurements that cover the last
// half second.
package pace

import (
	"time"

	"lagoonrack/internal/work"
)

// Guard follows one worker. The zero value is ready.
type Guard struct {
	paced map[work.Run]int
	// level is the share at which all filling runs work now.
	level int
	// ceiling is the level that did harm last, and since when it is avoided.
	ceiling int
	hurt    time.Duration
	changed time.Duration
	began   bool
	busy    bool
}

const (
	full = 100
	// high and over are the shares of a target above which filling runs are
	// slowed, and low that below which they are let go.
	high, over, low = 0.85, 1.0, 0.65
	// lag is how long a change takes to show: half a second of measurement and
	// the time until it is in force.
	lag = 650 * time.Millisecond
	// raise is the step up, in hundredths.
	raise = 20
	// least is the level below which a run is stopped altogether.
	least = 10
	// memory is how long a level that did harm is avoided.
	memory = 4 * time.Second
)

// Busy reports whether the worker has to be watched closely.
func (g *Guard) Busy() bool { return g.busy }

// Lost notes that an order to pace a run may not have been carried out.
func (g *Guard) Lost(r work.Run) { delete(g.paced, r) }

// Step takes in what a worker runs and returns the runs to be paced.
func (g *Guard) Step(now time.Duration, running []work.Running, about map[work.Run]work.About) []work.Pace {
	if !g.began {
		g.began, g.level, g.ceiling = true, full, full
	}
	worst := 0.0
	var fills []work.Run
	for _, r := range running {
		a := about[r.Run]
		switch {
		case a.Fills:
			fills = append(fills, r.Run)
		case a.Lasts && a.Target > 0 && r.Percent >= full:
			worst = max(worst, float64(r.Figure)/float64(a.Target))
		}
	}
	g.busy = worst > 0 && len(fills) > 0
	g.adjust(now, worst, len(fills))
	return g.orders(fills, worst)
}

// adjust moves the level by the worst tail.
func (g *Guard) adjust(now time.Duration, worst float64, fills int) {
	if g.changed != 0 && now-g.changed < lag {
		return
	}
	switch {
	case fills == 0:
		return
	case worst > over && g.level > 0:
		g.hurt, g.ceiling = now, g.level
		g.set(now, g.level/3)
	case worst > high && g.level > 0:
		g.hurt, g.ceiling = now, g.level
		g.set(now, g.level*2/3)
	case worst < low && g.level < full:
		next := min(full, g.level+raise)
		if now-g.hurt < memory {
			next = min(next, g.ceiling*4/5)
		}
		if next > g.level {
			g.set(now, next)
		}
	}
}

func (g *Guard) set(now time.Duration, level int) {
	if level < least {
		level = 0
	}
	g.level, g.changed = level, now
}

// orders returns the runs that do not work at the level.
func (g *Guard) orders(fills []work.Run, worst float64) []work.Pace {
	var out []work.Pace
	live := map[work.Run]int{}
	for _, r := range fills {
		at, ok := g.paced[r]
		if !ok {
			at = full
		}
		if at != g.level {
			out = append(out, work.Pace{Run: r, Percent: g.level, Reason: reason(worst)})
		}
		live[r] = g.level
	}
	g.paced = live
	return out
}

func reason(worst float64) string {
	if worst > high {
		return "tail"
	}
	return "calm"
}
