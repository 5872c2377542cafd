package sched

import (
	"slices"
	"time"
)

// clocks estimates the time of day from what several machines say. Once enough
// machines were heard the estimate goes on by the steady clock: clocks that jump
// don't move it, even if most do at a time. It outlasts the owner with what was
// learned.
type timeEstimate struct {
	// ahead is how far each machine's time of day is ahead of the owner's
	// steady clock.
	offsets map[string]time.Duration
	// base is how far the time of day is ahead by the estimate, if set.
	offset time.Duration
	known  bool
	// first is when the first machine was heard, slewed when the estimate was
	// moved last, and off since when the machines disagree with it by more than
	// a jump, or 0.
	firstReport, lastUpdate, jumpSince time.Duration
}

const (
	// enoughClocks is the number of machines whose median is taken at once, and
	// settleClocks the wait for more.
	minMachines    = 3
	maxMachineWait = time.Second
	// slewRate is how fast the estimate follows small differences: faster than
	// clocks drift, and slow against a jump that lasts for seconds.
	slewRate = 0.005
	// jump is the difference that is not followed, unless it lasts for lasting.
	jumpThreshold   = 500 * time.Millisecond
	jumpAcceptAfter = time.Minute
)

// add takes in what a machine's time of day is ahead of the owner's clock.
func (k *timeEstimate) add(now time.Duration, machine string, offset time.Duration) {
	if k.offsets == nil {
		k.offsets = map[string]time.Duration{}
		k.firstReport = now
	}
	k.offsets[machine] = offset
	diff := k.median() - k.offset
	switch {
	case !k.known:
		if len(k.offsets) >= minMachines || now-k.firstReport >= maxMachineWait {
			k.offset, k.known = k.median(), true
		}
	case diff.Abs() <= jumpThreshold:
		most := time.Duration(slewRate * float64(now-k.lastUpdate))
		k.offset += min(most, max(-most, diff))
		k.jumpSince = 0
	case k.jumpSince == 0:
		k.jumpSince = max(1, now)
	case now-k.jumpSince > jumpAcceptAfter:
		k.offset, k.jumpSince = k.median(), 0
	}
	k.lastUpdate = now
}

func (k *timeEstimate) median() time.Duration {
	all := make([]time.Duration, 0, len(k.offsets))
	for _, v := range k.offsets {
		all = append(all, v)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// start takes over the estimate of an earlier owner.
func (k *timeEstimate) restore(base time.Duration) { k.offset, k.known = base, true }

// at returns the time since 1970 at a time of the steady clock, if it is known.
func (k *timeEstimate) at(now time.Duration) (time.Duration, bool) {
	return now + k.offset, k.known
}
