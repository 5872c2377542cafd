package sched

import (
	"slices"
	"time"
)

// clocks estimates the time of day from what several machines say. Once enough
// machines were heard the estimate goes on by the steady clock: clocks that jump
// don't move it, even if most do at a time. It outlasts the owner with what was
// learned.
type clocks struct {
	// ahead is how far each machine's time of day is ahead of the owner's
	// steady clock.
	ahead map[string]time.Duration
	// base is how far the time of day is ahead by the estimate, if set.
	base time.Duration
	set  bool
	// first is when the first machine was heard, slewed when the estimate was
	// moved last, and off since when the machines disagree with it by more than
	// a jump, or 0.
	first, slewed, off time.Duration
}

const (
	// enoughClocks is the number of machines whose median is taken at once, and
	// settleClocks the wait for more.
	enoughClocks = 3
	settleClocks = time.Second
	// slewRate is how fast the estimate follows small differences: faster than
	// clocks drift, and slow against a jump that lasts for seconds.
	slewRate = 0.005
	// jump is the difference that is not followed, unless it lasts for lasting.
	jump    = 500 * time.Millisecond
	lasting = time.Minute
)

// add takes in what a machine's time of day is ahead of the owner's clock.
func (k *clocks) add(now time.Duration, machine string, ahead time.Duration) {
	if k.ahead == nil {
		k.ahead = map[string]time.Duration{}
		k.first = now
	}
	k.ahead[machine] = ahead
	diff := k.median() - k.base
	switch {
	case !k.set:
		if len(k.ahead) >= enoughClocks || now-k.first >= settleClocks {
			k.base, k.set = k.median(), true
		}
	case diff.Abs() <= jump:
		most := time.Duration(slewRate * float64(now-k.slewed))
		k.base += min(most, max(-most, diff))
		k.off = 0
	case k.off == 0:
		k.off = max(1, now)
	case now-k.off > lasting:
		k.base, k.off = k.median(), 0
	}
	k.slewed = now
}

func (k *clocks) median() time.Duration {
	all := make([]time.Duration, 0, len(k.ahead))
	for _, v := range k.ahead {
		all = append(all, v)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// start takes over the estimate of an earlier owner.
func (k *clocks) start(base time.Duration) { k.base, k.set = base, true }

// at returns the time since 1970 at a time of the steady clock, if it is known.
func (k *clocks) at(now time.Duration) (time.Duration, bool) {
	return now + k.base, k.set
}
