package sched

import (
	"math"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// runTimes holds the learned run times by queue. The zero value is ready to use.
type runTimes struct {
	queues map[string]queueTimes
}

// queueTimes holds the learned run times of one queue's tasks: Duration in seconds
// and Ratio relative to the declared estimate.
type queueTimes struct {
	Duration learn.Estimate `cbor:"1,keyasint"`
	Ratio    learn.Estimate `cbor:"2,keyasint"`
}

// learnedRow is the stored form of the estimates that an owner passes to the next.
type learnedRow struct {
	Queues       map[string]queueTimes `cbor:"1,keyasint"`
	Interference press.Saved           `cbor:"2,keyasint"`
	// WallClockOffset is how far the time of day is ahead of the store's clock, in
	// milliseconds, or 0 if that is not known.
	WallClockOffset int64 `cbor:"3,keyasint,omitempty"`
}

// learnedState returns the estimates to store for the next owner.
func (c *Core) learnedState() learnedRow {
	row := learnedRow{Queues: c.runTimes.queues, Interference: c.interference.Save()}
	if c.wallClock.known {
		row.WallClockOffset = (c.wallClock.offset - c.storeOffset).Milliseconds()
	}
	return row
}

// add records a successful task that did the given work, as a duration at full
// speed.
func (t *runTimes) add(queue string, s *work.Step, workDone time.Duration) {
	if workDone <= 0 {
		return
	}
	if t.queues == nil {
		t.queues = map[string]queueTimes{}
	}
	v := t.queues[queue]
	v.Duration = v.Duration.With(workDone.Seconds())
	if s.Estimate > 0 {
		v.Ratio = v.Ratio.With(workDone.Seconds() * 1000 / float64(s.Estimate))
	}
	t.queues[queue] = v
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

// defaultSpread is the assumed ratio between the duration that one task in ten
// exceeds and the declared one, until it has been learned.
const defaultSpread = 1.8

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// manyTasks is the number of tasks from which the longest one takes about as long
// as the duration that one in ten exceeds.
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
		// Only the first of several speculative copies counts.
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
	// minExtrapolatePercent is the progress from which a task's duration is
	// extrapolated from it.
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

// learnedSaveInterval is the minimum time between two writes of the learned
// estimates, which are added to a transaction that is needed anyway.
const learnedSaveInterval = 4 * time.Second

// LearnedKey is the key of the row with the learned estimates.
const LearnedKey = "cell/learned"

// restoreLearned loads the estimates that an earlier owner stored.
func (c *Core) restoreLearned(data []byte) {
	if len(data) == 0 {
		return
	}
	var row learnedRow
	if err := work.Decode(data, &row); err != nil {
		c.emit(Decision{Kind: "forgot", Reason: err.Error()})
		return
	}
	c.runTimes.queues = row.Queues
	c.interference.Restore(row.Interference)
	if row.WallClockOffset != 0 {
		c.wallClock.restore(time.Duration(row.WallClockOffset)*time.Millisecond + c.storeOffset)
	}
}
