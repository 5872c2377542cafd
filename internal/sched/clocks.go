package sched

import (
	"slices"
	"time"
)

// clocks estimates the time of day from what several machines say, so that one
// whose clock jumps moves nothing.
type clocks struct {
	// ahead is how far each machine's time of day is ahead of the owner's
	// steady clock.
	ahead map[string]time.Duration
}

func (k *clocks) add(machine string, ahead time.Duration) {
	if k.ahead == nil {
		k.ahead = map[string]time.Duration{}
	}
	k.ahead[machine] = ahead
}

// at returns the time since 1970 at a time of the steady clock: the median of
// all machines.
func (k *clocks) at(now time.Duration) (time.Duration, bool) {
	if len(k.ahead) == 0 {
		return 0, false
	}
	all := make([]time.Duration, 0, len(k.ahead))
	for _, v := range k.ahead {
		all = append(all, v)
	}
	slices.Sort(all)
	return now + all[len(all)/2], true
}
