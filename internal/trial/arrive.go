package trial

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrival is one request to come. All policies get the same ones.
type arrival struct {
	number int
	at     time.Duration
	work   time.Duration
	long   bool
}

// arrivals draws the requests of a run.
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
		// Thinning gives a Poisson process whose rate follows the load.
		if rng.Float64()*peak > c.load(load, at)*c.capacity() {
			continue
		}
		out = append(out, c.arrival(rng, len(out), at))
	}
}

func (c Config) arrival(rng *rand.Rand, n int, at time.Duration) arrival {
	a := arrival{number: n, at: at}
	work := float64(c.Median) * math.Exp(c.Sigma*rng.NormFloat64())
	if rng.Float64() < c.Long {
		a.long = true
		work *= c.Factor
	}
	a.work = time.Duration(work)
	return a
}

// slowdown returns how many times slower the first minion is at a time.
func (f Fault) slowdown(minion int, at time.Duration) float64 {
	if minion != 0 || f.Kind != "slow" || !f.active(at) {
		return 1
	}
	return f.Factor
}

func (f Fault) active(at time.Duration) bool {
	return at >= f.At.Std() && at < f.At.Std()+f.For.Std()
}

func (f Fault) refuses(minion int, at time.Duration) bool {
	return minion == 0 && f.Kind == "refuse" && f.active(at)
}

// paused returns until when the first minion and its agent are paused.
func (f Fault) paused(minion int, at time.Duration) (time.Duration, bool) {
	if minion != 0 || f.Kind != "pause" || !f.active(at) {
		return 0, false
	}
	return f.At.Std() + f.For.Std(), true
}

// roundTrip returns the longest round trip between an entry and a minion.
func (c Config) roundTrip() time.Duration { return 2 * c.Far.Std() }

// delay returns the one-way delay between an entry and a minion.
func (c Config) delay(entry, minion int) time.Duration {
	d := c.Far
	if entry%c.Zones == minion%c.Zones {
		d = c.Near
	}
	return d.Std()
}
