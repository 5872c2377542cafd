// Package timing learns how long the tasks of each queue take.
package timing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/work"
)

// Table holds the learned run times by queue. The zero value is ready to use.
type Table struct {
	queues map[string]Times
	// changed holds the queues whose run times have changed since they were last saved.
	changed map[string]bool
}

// Times holds the learned run times of one queue's tasks, in their stored form: Duration in
// seconds and Ratio relative to the declared estimate.
type Times struct {
	Duration learn.Estimate `cbor:"1,keyasint"`
	Ratio    learn.Estimate `cbor:"2,keyasint"`
	// used is the time of the newest observation.
	used time.Duration
}

// maxQueues bounds the memory of queues that are not in use any more.
const maxQueues = 4096

// Add records at a time a successful task that did the given work, as a duration at full
// speed.
func (t *Table) Add(now time.Duration, queue string, s *work.Step, workDone time.Duration) {
	if workDone <= 0 {
		return
	}
	v := t.queues[queue]
	v.Duration = v.Duration.With(workDone.Seconds())
	if s.Estimate > 0 {
		v.Ratio = v.Ratio.With(workDone.Seconds() * 1000 / float64(s.Estimate))
	}
	v.used = now
	t.Set(queue, v)
}

// Set sets the run times of a queue. If there are too many queues, that which was used
// longest ago is forgotten.
func (t *Table) Set(queue string, v Times) {
	if t.queues == nil {
		t.queues, t.changed = map[string]Times{}, map[string]bool{}
	}
	t.queues[queue] = v
	t.changed[queue] = true
	if len(t.queues) <= maxQueues {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.queues)), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.queues[a].used, t.queues[b].used), cmp.Compare(a, b))
	})
	delete(t.queues, oldest)
	t.changed[oldest] = true
}

// Estimate returns the expected duration of one task of a step at full speed, and a
// duration that one task in ten exceeds.
func (t *Table) Estimate(queue string, s *work.Step) (usual, long time.Duration) {
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

// Mean returns the expected mean duration of the tasks of a step, which is above the usual
// one: run times are taken to be log-normal.
func (t *Table) Mean(queue string, s *work.Step) time.Duration {
	usual, long := t.Estimate(queue, s)
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

// Longest returns the expected duration of the longest task of a step.
func (t *Table) Longest(queue string, s *work.Step) time.Duration {
	usual, long := t.Estimate(queue, s)
	share := min(1, float64(s.Count-1)/(manyTasks-1))
	return usual + time.Duration(share*float64(long-usual))
}

// Times returns the run times of a queue, and false if none are known.
func (t *Table) Times(queue string) (Times, bool) {
	v, ok := t.queues[queue]
	return v, ok
}

// Known reports whether run times of a queue have been learned.
func (t *Table) Known(queue string) bool { return t.queues[queue].Duration.Known() }

// Changed returns, in order, the queues whose run times have changed or were forgotten since the
// last call.
func (t *Table) Changed() []string {
	out := slices.Sorted(maps.Keys(t.changed))
	clear(t.changed)
	return out
}
