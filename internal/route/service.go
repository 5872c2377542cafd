package route

import (
	"math/rand/v2"
	"time"
)

// service is the routing state of one service at one entry.
type service struct {
	limits Limits
	// minions holds each announced minion once, in order of announcement.
	minions []*minion
	queue   queue
	// tokens is the budget for retries after a doubt and for hedges.
	tokens float64
	// classes holds the learned run time of each class in seconds.
	classes map[string]float64
	// pace is the learned run time over all classes in seconds, and tail the
	// run time that nineteen of twenty requests stay below.
	pace, tail float64
	// rate is the moving average of requests that end each second.
	rate float64
	// ends counts the requests ended since rateAt.
	ends   int
	rateAt time.Duration
}

const (
	// tokenCap bounds how many retries or hedges may come in one burst.
	tokenCap = 50
	// classCap bounds the number of classes that are remembered.
	classCap = 1024
	// tailGain is the step of the run-time quantile's estimate.
	tailGain = 0.05
	// tailQuantile is the quantile that a hedge waits for.
	tailQuantile = 0.95
	// rateWindow is how often the rate of ends is averaged.
	rateWindow = 100 * time.Millisecond
	rateWeight = 0.3
)

// pick returns the usable minion with the most free slots, at random among
// equals, and the ones that run much slower than the rest only if no other
// has a free slot.
func (s *service) pick(now time.Duration, rng *rand.Rand, not *request) *minion {
	var best *minion
	bestFree, bestSlow, ties := 0, false, 0
	for _, m := range s.minions {
		free := m.free(s.limits.Spare) + m.granted
		if free <= 0 || !m.usable(now, s.limits.Silent) || not != nil && not.tried(m) {
			continue
		}
		slow := s.pace > 0 && m.pace > slowFactor*s.pace
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

// learn takes the run time of one request of a class.
func (s *service) learn(class string, d time.Duration) {
	v := d.Seconds()
	s.pace = average(s.pace, v)
	step := tailGain * max(s.pace, s.tail/10)
	if v > s.tail {
		s.tail += step * tailQuantile
	} else {
		s.tail -= step * (1 - tailQuantile)
	}
	if s.classes == nil {
		s.classes = map[string]float64{}
	}
	if old, ok := s.classes[class]; ok || len(s.classes) < classCap {
		s.classes[class] = average(old, v)
	}
	s.ends++
}

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + paceWeight*(v-old)
}

// isLong reports whether the class is known to run much longer than the rest.
func (s *service) isLong(class string) bool {
	return s.pace > 0 && s.classes[class] > longFactor*s.pace
}

// measure updates the rate of ends.
func (s *service) measure(now time.Duration) {
	if now-s.rateAt < rateWindow {
		return
	}
	rate := float64(s.ends) / (now - s.rateAt).Seconds()
	s.rate += rateWeight * (rate - s.rate)
	s.ends = 0
	s.rateAt = now
}

// wait predicts how long a request that joins the queue now will wait.
func (s *service) wait() time.Duration {
	if s.queue.length == 0 || s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(s.queue.length) / s.rate * float64(time.Second))
}

// needShare bounds the time that a request is expected to take, as a share of
// the timeout. Run times are learned only from requests that are sent, so an
// estimate that refused everything would never be corrected.
const needShare = 0.25

// need is the time that a request is expected to take once it is sent.
func (s *service) need() time.Duration {
	return time.Duration(min(s.tail*float64(time.Second), needShare*float64(s.limits.Timeout)))
}

// ejectable reports whether one more minion may be ejected.
func (s *service) ejectable(now time.Duration) bool {
	out := 1
	for _, m := range s.minions {
		if now < m.ejected {
			out++
		}
	}
	return float64(out) <= s.limits.Share*float64(len(s.minions))
}

func (s *service) find(agent string) *minion {
	for _, m := range s.minions {
		if m.agent == agent {
			return m
		}
	}
	return nil
}

// spend takes one token, if there is one.
func (s *service) spend() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
