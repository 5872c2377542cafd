package cell

import (
	"slices"
	"sort"
	"time"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/vect"
)

const (
	// startsPerStep bounds the work of one step.
	startsPerStep = 512
	// missesPerStep is how many jobs may fail to fit before a step gives up.
	missesPerStep = 16
	// sample is the number of workers that a placement compares, and tries the
	// number it draws at most to find one that fits.
	sample = 16
	tries  = 64
)

// schedule starts tasks while some fit.
func (c *Core) schedule() {
	if !c.dirty || c.leaving || !c.authority() {
		return
	}
	c.dirty = false
	var missed []*item
	starts := 0
	for starts < startsPerStep && len(missed) < c.misses() {
		it := c.backlog.next(c.wall(), c.margin())
		if it == nil {
			break
		}
		if c.startOne(it) {
			starts++
			c.backlog.started(!c.isLong(it.job), c.estimate(it.job).Seconds(), c.backlog.usual.Median)
			c.queue(it.job)
			continue
		}
		if it.job.Waiting() > 0 {
			missed = append(missed, it)
		}
	}
	for _, it := range missed {
		c.backlog.push(it)
	}
	c.dirty = starts == startsPerStep
}

// misses is 1 for first come, first served.
func (c *Core) misses() int {
	if c.limits.Naive {
		return 1
	}
	return missesPerStep
}

// margin is the laxity below which a long job presses.
func (c *Core) margin() time.Duration {
	return time.Duration(slackFactor * c.backlog.usual.High * float64(time.Second))
}

// startOne places the next task of a job and reports whether it could.
func (c *Core) startOne(it *item) bool {
	j := it.job
	if !c.inQuota(j.Spec.Team, j.Spec.Size) {
		return false
	}
	index, t := nextTask(j)
	if index < 0 {
		return false
	}
	var avoid []string
	attempt := 1
	if t != nil {
		avoid = t.Failures
		attempt = t.Attempt + 1
	}
	w := c.choose(j, avoid)
	if w == nil {
		switch {
		case j.Spec.Urgent:
			c.makeRoom(j, "urgent", c.movable)
		case it.lane == laneShort && c.starved(j):
			c.roomAt = c.now
			c.makeRoom(j, "short", c.savesLong)
		}
		return false
	}
	return c.start(j, index, attempt, w)
}

// nextTask returns the task of a job to start next: one that came back, or the
// next new one. The index is -1 if none waits.
func nextTask(j *ledger.Job) (int, *ledger.Task) {
	if len(j.Requeued) > 0 {
		i := j.Requeued[0]
		return i, j.Open[i]
	}
	if j.Next < j.Spec.Tasks {
		return j.Next, nil
	}
	return -1, nil
}

func (c *Core) start(j *ledger.Job, index, attempt int, w *worker) bool {
	ok := c.record(ledger.Record{
		Op:          ledger.Start,
		Name:        j.Spec.Name,
		Task:        index,
		Attempt:     attempt,
		Worker:      w.name,
		Incarnation: w.incarnation,
	})
	if !ok {
		return false
	}
	p := c.place(j, index, j.Open[index], w)
	w.add(p)
	c.charge(j, p.size, 1)
	c.emit(Note{Kind: "start", Task: p.Task, Worker: w.name})
	return true
}

// choose returns the best of a sample of the workers that have room: the
// fullest, and one where the task failed only if there is no other.
func (c *Core) choose(j *ledger.Job, avoid []string) *worker {
	var best, last *worker
	var bestScore float64
	found := 0
	for i := range c.draws() {
		w := c.draw(i)
		if !w.open(c.now, c.silent()) || !j.Spec.Size.Fits(w.room(c.spare(j))) {
			continue
		}
		if slices.Contains(avoid, w.name) {
			last = w
			continue
		}
		if c.limits.Naive {
			return w
		}
		found++
		score := w.committed.Add(j.Spec.Size).MaxShare(w.size)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if found == sample {
			break
		}
	}
	if best == nil {
		return last
	}
	return best
}

// spare is the share of a worker that a job leaves free; urgent work may use
// all of it.
func (c *Core) spare(j *ledger.Job) float64 {
	switch {
	case j.Spec.Urgent:
		return 0
	case !c.limits.Naive && c.isLong(j):
		return max(c.limits.Spare, c.backlog.reserve())
	}
	return c.limits.Spare
}

// silent is the silence after which a worker gets nothing new.
func (c *Core) silent() time.Duration { return 3 * c.limits.Beat }

// draws is the number of workers that a placement looks at.
func (c *Core) draws() int { return min(len(c.list), tries) }

// draw returns the i-th worker to look at: each in turn in a small cell, and in
// a large one those that had room given back lately, then one at random.
func (c *Core) draw(i int) *worker {
	switch {
	case len(c.list) <= tries:
		return c.list[i]
	case i < len(c.freed):
		return c.freed[len(c.freed)-1-i]
	}
	return c.list[c.rng.IntN(len(c.list))]
}

// freedKept bounds the workers that are remembered as having room.
const freedKept = 16

// hasRoom remembers a worker that had room given back.
func (c *Core) hasRoom(w *worker) {
	if i := slices.Index(c.freed, w); i >= 0 {
		c.freed = slices.Delete(c.freed, i, i+1)
	}
	if len(c.freed) == freedKept {
		c.freed = slices.Delete(c.freed, 0, 1)
	}
	c.freed = append(c.freed, w)
}

const (
	// patience is the least time that a short task waits before a long one is
	// evicted for it, and patienceRuns the same in usual run times.
	patience     = 10 * time.Second
	patienceRuns = 2
	// roomEvery is the least time between two such evictions.
	roomEvery = time.Second
)

// starved reports whether a short job has waited so long that a long task with
// a checkpoint should make room.
func (c *Core) starved(j *ledger.Job) bool {
	if c.limits.Naive || c.now-c.roomAt < roomEvery || !c.backlog.usual.Known() || c.isLong(j) {
		return false
	}
	usual := time.Duration(patienceRuns * c.backlog.usual.Median * float64(time.Second))
	waited := time.Duration(c.wall()-j.Accepted) * time.Millisecond
	return waited > max(patience, usual)
}

// savesLong reports whether a task has run for long and loses nothing when it
// is evicted.
func (c *Core) savesLong(p *place) bool {
	ran := (c.now - p.since).Seconds()
	return p.seen && c.led.Jobs[p.job].Spec.Checkpoint && ran > longFactor*c.backlog.usual.Median
}

// makeRoom evicts tasks from one worker, of those that may be, so that a task
// of the job fits there.
func (c *Core) makeRoom(j *ledger.Job, reason string, may func(*place) bool) {
	var best *worker
	var victims []*place
	for i := range c.draws() {
		w := c.draw(i)
		if !w.open(c.now, c.silent()) || !j.Spec.Size.Fits(w.size) {
			continue
		}
		v, pending := c.victims(w, j.Spec.Size, may)
		if pending {
			// Room is already on its way.
			return
		}
		if v != nil && (best == nil || len(v) < len(victims)) {
			best, victims = w, v
		}
	}
	for _, p := range victims {
		c.evict(p, reason)
	}
}

// victims returns the tasks to evict so that size fits, those that lose least
// first, or nil if that can't be. Pending says that earlier evictions will do.
func (c *Core) victims(w *worker, size vect.Size, may func(*place) bool) (out []*place, pending bool) {
	room := w.room(0)
	var can []*place
	for _, p := range w.sorted() {
		if p.ended {
			continue
		}
		if p.stop != "" {
			room = room.Add(p.size)
			continue
		}
		if may(p) && !c.led.Jobs[p.job].Spec.Urgent {
			can = append(can, p)
		}
	}
	if size.Fits(room) {
		return nil, true
	}
	sort.SliceStable(can, func(a, b int) bool { return c.loss(can[a]) < c.loss(can[b]) })
	for _, p := range can {
		out = append(out, p)
		room = room.Add(p.size)
		if size.Fits(room) {
			return out, false
		}
	}
	return nil, false
}

// loss is the work that an eviction throws away.
func (c *Core) loss(p *place) time.Duration {
	if !p.seen || c.led.Jobs[p.job].Spec.Checkpoint {
		return 0
	}
	return c.now - p.since
}
