package shed

import (
	"math"
	"time"
)

// The figures are from simulations of a cell at several loads, with four or six seeds each
// (docs/design/overload.md).
const (
	// maxJobShare is the largest share of a service's idle capacity that one job can count on.
	// With 1, more jobs were started that could not end in time, and callers got 1% to 5% less
	// at 0.95, 1.3 and 2.0 of the capacity.
	maxJobShare = 1.0 / 2
	// jobShare is the share that one job is expected to get. Ordered by due times alone, large
	// jobs started too late: at 1.3 of the capacity, the largest tenth got 0.28 instead of 0.38
	// of the value that it asked for (with a share of a sixth and a sizeExponent of 1.05).
	jobShare = 1.0 / 8
	// sizeExponent weighs the size of a job against its remaining work. At 1.3 of the capacity,
	// 1 gave callers 0.56 of the value that they asked for, but those of the largest tenth 0.18;
	// 1.03 gave 0.51 and 0.29, and 1.07 gave 0.49 and 0.35.
	sizeExponent = 1.03
)

// time returns how long work takes at a share of the service's idle capacity. It is 0 if the
// capacity is not known.
func (g *Gate) time(work, share float64) time.Duration {
	if g.load.Idle <= 0 {
		return 0
	}
	return time.Duration(work / (share * g.load.Idle) * float64(time.Second))
}

// InTime reports whether a job with the given work can end in time, if it would with the given
// slack were there no other jobs.
func (g *Gate) InTime(work float64, slack time.Duration) bool {
	return g.time(work, maxJobShare) <= slack
}

// LatestStart orders jobs of which nothing has started, by the time at which they have to
// start to end in time. Jobs with more work have to start earlier.
func (g *Gate) LatestStart(due time.Duration, work float64) time.Duration {
	return due - g.time(work, jobShare)
}

// RelativeCost orders jobs that have started, or that will be late: by the work that is left
// for the value of the job, which grows with its work. Those that need little more come first.
// Ordering them by due time shares the capacity among so many jobs that nearly all end late.
func RelativeCost(left, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return left / math.Pow(total, sizeExponent)
}
