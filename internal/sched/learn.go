package sched

import (
	"math"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// table holds what was learned of run times, by queue. The zero value works.
type runTimes struct {
	queues map[string]queueTimes
}

// times is what was learned of the tasks of one queue: how long they work, and
// how long against what was declared.
type queueTimes struct {
	Duration learn.Value `cbor:"1,keyasint"`
	Ratio    learn.Value `cbor:"2,keyasint"`
}

// learnedRow is what an owner leaves to the next.
type learnedRow struct {
	Queues       map[string]queueTimes `cbor:"1,keyasint"`
	Interference press.Saved           `cbor:"2,keyasint"`
	// Day is how far the time of day is ahead of the store's clock, in
	// milliseconds, or 0 if that is not known.
	WallClockOffset int64 `cbor:"3,keyasint,omitempty"`
}

// learnt is what this owner leaves to the next.
func (c *Core) learnedState() learnedRow {
	row := learnedRow{Queues: c.runTimes.queues, Interference: c.interference.Save()}
	if c.wallClock.known {
		row.WallClockOffset = (c.wallClock.offset - c.storeOffset).Milliseconds()
	}
	return row
}

// ended takes in a task that ended well, after so much work at full speed.
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

// estimate returns the expected work of one task of a step, and a time that one
// task in ten exceeds.
func (t *runTimes) estimate(queue string, s *work.Step) (usual, long time.Duration) {
	declared := float64(s.Estimate) / 1000
	v := t.queues[queue]
	if !v.Duration.Known() {
		return seconds(declared), seconds(defaultSpread * declared)
	}
	mid := v.Duration.Median
	spread := v.Duration.High / v.Duration.Median
	if declared > 0 && v.Ratio.Known() {
		mid = math.Sqrt(mid * declared * v.Ratio.Median)
		spread = min(spread, v.Ratio.High/v.Ratio.Median)
	}
	return seconds(mid), seconds(mid * spread)
}

// firstSpread is how much longer than declared one task in ten is taken to be
// until that is known.
const defaultSpread = 1.8

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// manyTasks is the number of tasks from which the longest one is about as long
// as the time that one in ten exceeds.
const manyTasks = 7

// length is the expected work of the longest of a step's tasks.
func (c *Core) expectedLongest(j *job, s *work.Step) time.Duration {
	usual, long := c.runTimes.estimate(j.Queue, s)
	share := min(1, float64(s.Count-1)/(manyTasks-1))
	return usual + time.Duration(share*float64(long-usual))
}

// advance counts the work of a run since it was last heard of, at the share of
// its speed that it got.
func (c *Core) countWork(p *placement) {
	if p.workCountedUntil == 0 {
		p.workCountedUntil = p.confirmedAt
	}
	if p != p.task.placements[0] {
		// Only the first of several copies counts.
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
	// tellingPercent is the progress from which a task's length is worked out
	// from it.
	minExtrapolatePercent = 15
)

// expected is the expected length of a task of which something is known, and
// what is left of it.
func (c *Core) expectedWork(t *task, usual time.Duration) (whole, left time.Duration) {
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

// learnedEvery is how often what was learned is stored, with a transaction that
// is needed anyway.
const learnedSaveInterval = 4 * time.Second

// LearnedKey is the key of the row with what was learned.
const LearnedKey = "cell/learned"

// remember decodes what an earlier owner learned.
func (c *Core) restoreLearned(data []byte) {
	if len(data) == 0 {
		return
	}
	var row learnedRow
	if err := work.Decode(data, &row); err != nil {
		c.emit(Note{Kind: "forgot", Reason: err.Error()})
		return
	}
	c.runTimes.queues = row.Queues
	c.interference.Load(row.Interference)
	if row.WallClockOffset != 0 {
		c.wallClock.restore(time.Duration(row.WallClockOffset)*time.Millisecond + c.storeOffset)
	}
}
