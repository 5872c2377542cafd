// Package wall estimates the time of day from the clocks of several machines.
//
// Once enough machines have reported, the estimate follows the caller's monotonic clock, so that
// jumps of the machines' clocks do not move it, even if most of them jump at once. It can be stored
// and taken over by another process.
package wall

import (
	"slices"
	"time"
)

// Clock is an estimate of the time of day. The zero value knows nothing.
type Clock struct {
	// offsets is how far each machine's time of day is ahead of the caller's
	// monotonic clock.
	offsets map[string]time.Duration
	// offset is how far the estimated time of day is ahead of the caller's monotonic
	// clock, if known.
	offset time.Duration
	known  bool
	// firstReport is when the first machine reported and lastUpdate when the
	// estimate was last updated. jumpSince is since when the machines' median
	// differs from it by more than jumpThreshold, or 0.
	firstReport, lastUpdate, jumpSince time.Duration
	// sorted holds the offsets in order; it is kept between calls to save memory.
	sorted []time.Duration
}

const (
	// minMachines is the number of machines whose median is used at once, and
	// maxMachineWait how long to wait for that number.
	minMachines    = 3
	maxMachineWait = time.Second
	// updateInterval is the minimum time between two updates of a known estimate. The
	// median of hundreds of machines takes longer than the rest of a report.
	updateInterval = 50 * time.Millisecond
	// jumpThreshold is the difference above which the estimate is not adjusted
	// unless the difference persists for jumpAcceptAfter.
	jumpThreshold   = 500 * time.Millisecond
	jumpAcceptAfter = time.Minute
)

// SlewRate is how fast the estimate follows small differences: faster than clocks drift, but so
// slowly that a jump that lasts only some seconds hardly moves it.
const SlewRate = 0.005

// Add records how far a machine's time of day is ahead of the caller's clock.
func (k *Clock) Add(now time.Duration, machine string, offset time.Duration) {
	if k.offsets == nil {
		k.offsets = map[string]time.Duration{}
		k.firstReport = now
	}
	k.offsets[machine] = offset
	if k.known && now-k.lastUpdate < updateInterval {
		return
	}
	diff := k.median() - k.offset
	switch {
	case !k.known:
		if len(k.offsets) >= minMachines || now-k.firstReport >= maxMachineWait {
			k.offset, k.known = k.median(), true
		}
	case diff.Abs() <= jumpThreshold:
		maxStep := time.Duration(SlewRate * float64(now-k.lastUpdate))
		k.offset += min(maxStep, max(-maxStep, diff))
		k.jumpSince = 0
	case k.jumpSince == 0:
		k.jumpSince = max(1, now)
	case now-k.jumpSince > jumpAcceptAfter:
		k.offset, k.jumpSince = k.median(), 0
	}
	k.lastUpdate = now
}

// median returns the median of the machines' offsets.
func (k *Clock) median() time.Duration {
	k.sorted = k.sorted[:0]
	for _, v := range k.offsets {
		k.sorted = append(k.sorted, v)
	}
	slices.Sort(k.sorted)
	return k.sorted[len(k.sorted)/2]
}

// Restore takes over the estimate of another process.
func (k *Clock) Restore(offset time.Duration) { k.offset, k.known = offset, true }

// At returns the time since 1970 at a time of the caller's clock, if it is known.
func (k *Clock) At(now time.Duration) (time.Duration, bool) {
	return now + k.offset, k.known
}

// Offset returns how far the time of day is ahead of the caller's clock, if it is known.
func (k *Clock) Offset() (time.Duration, bool) { return k.offset, k.known }
