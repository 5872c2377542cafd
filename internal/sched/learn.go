package sched

import (
	"math"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// table holds what was learned of run times, by queue. The zero value works.
type table struct {
	queues map[string]times
}

// times is what was learned of the tasks of one queue: how long they work, and
// how long against what was declared.
type times struct {
	Whole learn.Value `cbor:"1,keyasint"`
	Ratio learn.Value `cbor:"2,keyasint"`
}

// learnedRow is what an owner leaves to the next.
type learnedRow struct {
	Queues map[string]times `cbor:"1,keyasint"`
	Press  press.Saved      `cbor:"2,keyasint"`
	// Day is how far the time of day is ahead of the store's clock, in
	// milliseconds, or 0 if that is not known.
	Day int64 `cbor:"3,keyasint,omitempty"`
}

// learnt is what this owner leaves to the next.
func (c *Core) learnt() learnedRow {
	row := learnedRow{Queues: c.learned.queues, Press: c.press.Save()}
	if c.unix.set {
		row.Day = (c.unix.base - c.ahead).Milliseconds()
	}
	return row
}

// ended takes in a task that ended well, after so much work at full speed.
func (t *table) ended(queue string, s *work.Step, worked time.Duration) {
	if worked <= 0 {
		return
	}
	if t.queues == nil {
		t.queues = map[string]times{}
	}
	v := t.queues[queue]
	v.Whole = v.Whole.With(worked.Seconds())
	if s.Estimate > 0 {
		v.Ratio = v.Ratio.With(worked.Seconds() * 1000 / float64(s.Estimate))
	}
	t.queues[queue] = v
}

// estimate returns the expected work of one task of a step, and a time that one
// task in ten exceeds.
func (t *table) estimate(queue string, s *work.Step) (usual, long time.Duration) {
	declared := float64(s.Estimate) / 1000
	v := t.queues[queue]
	if !v.Whole.Known() {
		return seconds(declared), seconds(firstSpread * declared)
	}
	mid := v.Whole.Median
	spread := v.Whole.High / v.Whole.Median
	if declared > 0 && v.Ratio.Known() {
		mid = math.Sqrt(mid * declared * v.Ratio.Median)
		spread = min(spread, v.Ratio.High/v.Ratio.Median)
	}
	return seconds(mid), seconds(mid * spread)
}

// firstSpread is how much longer than declared one task in ten is taken to be
// until that is known.
const firstSpread = 1.8

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// manyTasks is the number of tasks from which the longest one is about as long
// as the time that one in ten exceeds.
const manyTasks = 7

// length is the expected work of the longest of a step's tasks.
func (c *Core) length(j *job, s *work.Step) time.Duration {
	usual, long := c.learned.estimate(j.Queue, s)
	share := min(1, float64(s.Count-1)/(manyTasks-1))
	return usual + time.Duration(share*float64(long-usual))
}

// advance counts the work of a run since it was last heard of, at the share of
// its speed that it got.
func (c *Core) advance(p *place) {
	if p.worked == 0 {
		p.worked = p.okay
	}
	if p != p.task.places[0] {
		// Only the first of several copies counts.
		p.worked = c.now
		return
	}
	speed := 1.0
	if s := p.task.step; s.Fills && s.Size.Cores > 0 {
		speed = min(1, float64(p.figure)/float64(s.Size.Cores))
	}
	p.task.work += time.Duration(speed * float64(c.now-p.worked))
	p.worked = c.now
}

const (
	// tellingPercent is the progress from which a task's length is worked out
	// from it.
	tellingPercent = 15
)

// expected is the expected length of a task of which something is known, and
// what is left of it.
func (c *Core) expected(t *task, usual time.Duration) (whole, left time.Duration) {
	whole = usual
	if t.done {
		return max(t.work, 0), 0
	}
	percent := 0
	for _, p := range t.places {
		percent = max(percent, p.percent)
	}
	if percent >= tellingPercent && t.work > 0 {
		whole = t.work * full / time.Duration(percent)
		return whole, whole * time.Duration(full-min(full, percent)) / full
	}
	return max(whole, t.work), max(0, max(whole, t.work)-t.work)
}

// learnedEvery is how often what was learned is stored, with a transaction that
// is needed anyway.
const learnedEvery = 4 * time.Second

// LearnedKey is the key of the row with what was learned.
const LearnedKey = "cell/learned"

// remember decodes what an earlier owner learned.
func (c *Core) remember(data []byte) {
	if len(data) == 0 {
		return
	}
	var row learnedRow
	if err := work.Decode(data, &row); err != nil {
		c.emit(Note{Kind: "forgot", Reason: err.Error()})
		return
	}
	c.learned.queues = row.Queues
	c.press.Load(row.Press)
	if row.Day != 0 {
		c.unix.start(time.Duration(row.Day)*time.Millisecond + c.ahead)
	}
}
