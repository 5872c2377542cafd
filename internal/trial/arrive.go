package trial

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrival is one scheduled request. All policies get the same arrivals.
type arrival struct {
	number    int
	at        time.Duration
	runTime   time.Duration
	straggler bool
}

// arrivals generates the requests of a run from a seed, in order of time.
func (c Config) arrivals(load float64, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 11))
	peak := max(load, c.Crest) * c.capacity()
	var out []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= c.length() {
			return out
		}
		// Thinning turns the constant peak rate into a Poisson process whose
		// rate follows the load.
		if rng.Float64()*peak > c.load(load, at)*c.capacity() {
			continue
		}
		out = append(out, c.arrival(rng, len(out), at))
	}
}

// arrival draws the run time of the n-th request.
func (c Config) arrival(rng *rand.Rand, n int, at time.Duration) arrival {
	a := arrival{number: n, at: at}
	runTime := float64(c.Median) * math.Exp(c.Sigma*rng.NormFloat64())
	if rng.Float64() < c.Long {
		a.straggler = true
		runTime *= c.Factor
	}
	a.runTime = time.Duration(runTime)
	return a
}

// slowdown returns by what factor a minion is slower at a time: the fault's
// factor for the first minion while a "slow" fault is active, 1 otherwise.
func (f Fault) slowdown(minion int, at time.Duration) float64 {
	if minion != 0 || f.Kind != "slow" || !f.active(at) {
		return 1
	}
	return f.Factor
}

// active reports whether the fault is present at a time.
func (f Fault) active(at time.Duration) bool {
	return at >= f.At.Std() && at < f.At.Std()+f.For.Std()
}

// refuses reports whether a minion refuses every request at a time.
func (f Fault) refuses(minion int, at time.Duration) bool {
	return minion == 0 && f.Kind == "refuse" && f.active(at)
}

// pausedUntil returns the time at which a paused minion and its agent resume,
// and false if they are not paused at the given time.
func (f Fault) pausedUntil(minion int, at time.Duration) (time.Duration, bool) {
	if minion != 0 || f.Kind != "pause" || !f.active(at) {
		return 0, false
	}
	return f.At.Std() + f.For.Std(), true
}

// roundTrip returns the longest round-trip time between an entry and a minion,
// which is the one between availability zones.
func (c Config) roundTrip() time.Duration { return 2 * c.Far.Std() }

// delay returns the one-way network delay between an entry and a minion. Both
// are spread over the availability zones in turn.
func (c Config) delay(entry, minion int) time.Duration {
	d := c.Far
	if entry%c.Zones == minion%c.Zones {
		d = c.Near
	}
	return d.Std()
}
