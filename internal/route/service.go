package route

import (
	"math/rand/v2"
	"time"
)

// service is the routing state of one service at one entry.
type service struct {
	limits Limits
	// minions holds the announced minions in the order of their first Offer.
	minions []*minion
	queue   queue
	// retryTokens is the budget for hedges and for retries after attempts with
	// an unknown outcome.
	retryTokens float64
	// classRunTimes holds the moving average of the run time of each class, in
	// seconds.
	classRunTimes map[string]float64
	// meanRunTime is the moving average of the run time over all classes, and
	// tailRunTime the estimated 95th percentile, both in seconds.
	meanRunTime, tailRunTime float64
	// endRate is the moving average of completed attempts per second.
	endRate float64
	// endsInWindow counts the attempts completed since windowStart.
	endsInWindow int
	windowStart  time.Duration
}

const (
	// maxRetryTokens bounds the number of retries and hedges in one burst.
	maxRetryTokens = 50
	// maxClasses bounds the number of classes with their own run time, and so
	// the memory they take.
	maxClasses = 1024
	// tailStep is the step size of the estimate of tailRunTime, relative to
	// the mean run time.
	tailStep = 0.05
	// tailQuantile is the quantile of run times that tailRunTime estimates.
	tailQuantile = 0.95
	// rateWindow is the minimum duration of the windows over which endRate is
	// measured, and rateWeight the weight of the newest window in the average.
	rateWindow = 100 * time.Millisecond
	rateWeight = 0.3
)

// pick returns the usable minion with the most free slots, at random among
// equals, or nil if none has a free slot. Minions that run much slower than the
// rest are picked only if no other has a free slot. If exclude is not nil, the
// minions that it was sent to before are not picked.
func (s *service) pick(now time.Duration, rng *rand.Rand, exclude *request) *minion {
	var best *minion
	bestFree, bestSlow, ties := 0, false, 0
	for _, m := range s.minions {
		free := s.slotsOn(m)
		if free <= 0 || !m.usable(now, s.limits.UnresponsiveAfter) || exclude != nil && exclude.triedOn(m) {
			continue
		}
		slow := s.isSlow(m)
		switch {
		case best == nil || bestSlow && !slow || bestSlow == slow && free > bestFree:
			best, bestFree, bestSlow, ties = m, free, slow, 1
		case slow == bestSlow && free == bestFree:
			ties++
			if rng.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

// slotsOn returns how many more calls this entry may send to a minion.
func (s *service) slotsOn(m *minion) int { return m.freeSlots(s.limits.AgentQueue) + m.grantedSlots }

// isSlow reports whether a minion runs much slower than the rest.
func (s *service) isSlow(m *minion) bool {
	return s.meanRunTime > 0 && m.meanRunTime > slowFactor*s.meanRunTime
}

// recordRunTime updates the run-time estimates with one completed attempt of a
// request of the class.
func (s *service) recordRunTime(class string, d time.Duration) {
	v := d.Seconds()
	s.meanRunTime = average(s.meanRunTime, v)
	step := tailStep * max(s.meanRunTime, s.tailRunTime/10)
	if v > s.tailRunTime {
		s.tailRunTime += step * tailQuantile
	} else {
		s.tailRunTime -= step * (1 - tailQuantile)
	}
	if s.classRunTimes == nil {
		s.classRunTimes = map[string]float64{}
	}
	if mean, ok := s.classRunTimes[class]; ok || len(s.classRunTimes) < maxClasses {
		s.classRunTimes[class] = average(mean, v)
	}
	s.endsInWindow++
}

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + runTimeWeight*(v-old)
}

// isLong reports whether requests of the class are known to run much longer than
// the average of the service.
func (s *service) isLong(class string) bool {
	return s.meanRunTime > 0 && s.classRunTimes[class] > longFactor*s.meanRunTime
}

// updateEndRate updates endRate once per window.
func (s *service) updateEndRate(now time.Duration) {
	if now-s.windowStart < rateWindow {
		return
	}
	rate := float64(s.endsInWindow) / (now - s.windowStart).Seconds()
	s.endRate += rateWeight * (rate - s.endRate)
	s.endsInWindow = 0
	s.windowStart = now
}

// predictedWait predicts how long a request that is queued now will wait.
func (s *service) predictedWait() time.Duration {
	if s.queue.length == 0 || s.endRate <= 0 {
		return 0
	}
	return time.Duration(float64(s.queue.length) / s.endRate * float64(time.Second))
}

// maxRunTimeShare bounds the expected run time, as a share of the timeout. Run
// times are measured only on requests that are sent, so an estimate so high that
// every request was rejected would never be corrected.
const maxRunTimeShare = 0.25

// expectedRunTime returns the time that a request is expected to take from when
// it is sent: the estimated 95th percentile, bounded by maxRunTimeShare.
func (s *service) expectedRunTime() time.Duration {
	return time.Duration(min(s.tailRunTime*float64(time.Second), maxRunTimeShare*float64(s.limits.Timeout)))
}

// mayEject reports whether one more minion may be ejected without exceeding the
// maximum share of ejected minions.
func (s *service) mayEject(now time.Duration) bool {
	ejected := 1
	for _, m := range s.minions {
		if now < m.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) <= s.limits.MaxEjectedShare*float64(len(s.minions))
}

func (s *service) findMinion(agent string) *minion {
	for _, m := range s.minions {
		if m.agent == agent {
			return m
		}
	}
	return nil
}

// spendToken takes one token from the retry budget and reports whether there
// was one.
func (s *service) spendToken() bool {
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	return true
}
