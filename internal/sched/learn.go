package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/work"
)

// runTimes holds the learned run times by queue. The zero value is ready to use.
type runTimes struct {
	queues map[string]queueTimes
	// changed holds the queues whose run times have changed since they were last saved.
	changed map[string]bool
}

// queueTimes holds the learned run times of one queue's tasks: Duration in seconds
// and Ratio relative to the declared estimate.
type queueTimes struct {
	Duration learn.Estimate `cbor:"1,keyasint"`
	Ratio    learn.Estimate `cbor:"2,keyasint"`
	// used is the time of the newest observation.
	used time.Duration
}

// maxQueueTimes bounds the memory of queues that are not in use any more.
const maxQueueTimes = 4096

// add records at a time a successful task that did the given work, as a duration at full
// speed.
func (t *runTimes) add(now time.Duration, queue string, s *work.Step, workDone time.Duration) {
	if workDone <= 0 {
		return
	}
	v := t.queues[queue]
	v.Duration = v.Duration.With(workDone.Seconds())
	if s.Estimate > 0 {
		v.Ratio = v.Ratio.With(workDone.Seconds() * 1000 / float64(s.Estimate))
	}
	v.used = now
	t.set(queue, v)
}

// set sets the run times of a queue. If there are too many queues, that which was used
// longest ago is forgotten.
func (t *runTimes) set(queue string, v queueTimes) {
	if t.queues == nil {
		t.queues, t.changed = map[string]queueTimes{}, map[string]bool{}
	}
	t.queues[queue] = v
	t.changed[queue] = true
	if len(t.queues) <= maxQueueTimes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.queues)), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.queues[a].used, t.queues[b].used), cmp.Compare(a, b))
	})
	delete(t.queues, oldest)
	t.changed[oldest] = true
}

// estimate returns the expected duration of one task of a step at full speed, and a
// duration that one task in ten exceeds.
func (t *runTimes) estimate(queue string, s *work.Step) (usual, long time.Duration) {
	declared := float64(s.Estimate) / 1000
	v := t.queues[queue]
	if !v.Duration.Known() {
		return seconds(declared), seconds(defaultSpread * declared)
	}
	median := v.Duration.Median
	spread := v.Duration.High / v.Duration.Median
	if declared > 0 && v.Ratio.Known() {
		median = math.Sqrt(median * declared * v.Ratio.Median)
		spread = min(spread, v.Ratio.High/v.Ratio.Median)
	}
	return seconds(median), seconds(median * spread)
}

// highNormal is the 90% quantile of the standard normal distribution.
const highNormal = 1.2816

// mean returns the expected mean duration of the tasks of a step, which is above the usual
// one: run times are taken to be log-normal.
func (t *runTimes) mean(queue string, s *work.Step) time.Duration {
	usual, long := t.estimate(queue, s)
	if usual <= 0 {
		return 0
	}
	sigma := math.Log(float64(max(usual, long))/float64(usual)) / highNormal
	return time.Duration(float64(usual) * math.Exp(sigma*sigma/2))
}

// defaultSpread is the assumed ratio between the duration that one task in ten
// exceeds and the declared one, until it has been learned.
const defaultSpread = 1.8

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// manyTasks is the number of tasks of a step at which the longest one is expected
// to take as long as the duration that one task in ten exceeds.
const manyTasks = 7

// expectedLongest returns the expected duration of the longest task of a step.
func (c *Core) expectedLongest(j *job, s *work.Step) time.Duration {
	usual, long := c.runTimes.estimate(j.Queue, s)
	share := min(1, float64(s.Count-1)/(manyTasks-1))
	return usual + time.Duration(share*float64(long-usual))
}

// countWork adds the work of a run since it was last counted, at the share of full
// speed that the run got.
func (c *Core) countWork(p *placement) {
	if p.workCountedUntil == 0 {
		p.workCountedUntil = p.confirmedAt
	}
	if p != p.task.placements[0] {
		// Of several runs of a task, only the first counts.
		p.workCountedUntil = c.now
		return
	}
	speed := 1.0
	if s := p.task.step; s.Fills && s.Size.Cores > 0 {
		speed = min(1, float64(p.measured)/float64(s.Size.Cores))
	}
	p.task.workDone += time.Duration(speed * float64(c.now-p.workCountedUntil))
	p.workCountedUntil = c.now
}

const (
	// minExtrapolatePercent is the lowest progress that a task's whole duration is
	// extrapolated from.
	minExtrapolatePercent = 15
)

// expectedWork returns the expected duration of a task and the part of it that is
// left, from the task's progress if it is known and otherwise from the usual
// duration.
func (c *Core) expectedWork(t *task, usual time.Duration) (whole, remaining time.Duration) {
	whole = usual
	if t.done {
		return max(t.workDone, 0), 0
	}
	percent := 0
	for _, p := range t.placements {
		percent = max(percent, p.percent)
	}
	if percent >= minExtrapolatePercent && t.workDone > 0 {
		whole = t.workDone * fullPercent / time.Duration(percent)
		return whole, whole * time.Duration(fullPercent-min(fullPercent, percent)) / fullPercent
	}
	return max(whole, t.workDone), max(0, max(whole, t.workDone)-t.workDone)
}
