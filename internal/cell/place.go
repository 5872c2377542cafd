package cell

import (
	"slices"
	"sort"
	"time"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/vect"
)

const (
	// maxStartsPerStep bounds the work of one step.
	maxStartsPerStep = 512
	// maxMissesPerStep is the number of jobs without a suitable worker after which
	// a step stops trying.
	maxMissesPerStep = 16
	// sampleSize is the number of suitable workers that a placement compares, and
	// maxDraws the largest number of workers it looks at to find them.
	sampleSize = 16
	maxDraws   = 64
)

// schedule starts waiting tasks while there is capacity for them.
func (c *Core) schedule() {
	if !c.needsScheduling || c.leaving || !c.mayRenew() {
		return
	}
	c.needsScheduling = false
	var unplaced []*queuedJob
	starts := 0
	for starts < maxStartsPerStep && len(unplaced) < c.maxMisses() {
		it := c.backlog.next(c.wall(), c.longSlack())
		if it == nil {
			break
		}
		if c.startOne(it) {
			starts++
			c.backlog.recordStart(!c.isLong(it.job), c.estimate(it.job).Seconds(), c.backlog.runtimes.Median)
			c.enqueue(it.job)
			continue
		}
		if it.job.Waiting() > 0 {
			unplaced = append(unplaced, it)
		}
	}
	for _, it := range unplaced {
		c.backlog.push(it)
	}
	c.needsScheduling = starts == maxStartsPerStep
}

// maxMisses returns the number of jobs that may fail to be placed in one step: 1 in
// first come, first served order, where the first failure blocks the rest.
func (c *Core) maxMisses() int {
	if c.limits.Naive {
		return 1
	}
	return maxMissesPerStep
}

// longSlack returns the slack below which a long job goes before short ones.
func (c *Core) longSlack() time.Duration {
	return time.Duration(longSlackRuns * c.backlog.runtimes.High * float64(time.Second))
}

// startOne places the next task of a job and reports whether it succeeded. If no
// worker has capacity, it may evict other tasks for a later try.
func (c *Core) startOne(it *queuedJob) bool {
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
	w := c.chooseWorker(j, avoid)
	if w == nil {
		switch {
		case j.Spec.Urgent:
			c.evictFor(j, "urgent", c.evictable)
		case it.lane == laneShort && c.starved(j):
			c.shortEvictionAt = c.now
			c.evictFor(j, "short", c.isLongWithCheckpoint)
		}
		return false
	}
	return c.start(j, index, attempt, w)
}

// nextTask returns the task of a job to start next: the first requeued one, or the
// next new one, whose Task is nil. The index is -1 if none waits.
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
	p := c.newPlacement(j, index, j.Open[index], w)
	w.add(p)
	c.addUsage(j, p.size, 1)
	c.emit(Note{Kind: "start", Task: p.Task, Worker: w.name})
	return true
}

// chooseWorker returns the fullest of a sample of the workers with enough free
// capacity, or nil. A worker in avoid, on which the task has failed, is returned
// only if there is no other.
func (c *Core) chooseWorker(j *ledger.Job, avoid []string) *worker {
	var best, last *worker
	var bestScore float64
	found := 0
	for i := range c.drawCount() {
		w := c.draw(i)
		if !w.accepts(c.now, c.unresponsiveAfter()) || !j.Spec.Size.Fits(w.freeCapacity(c.headroom(j))) {
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
		if found == sampleSize {
			break
		}
	}
	if best == nil {
		return last
	}
	return best
}

// headroom returns the share of a worker that a job must leave free. An urgent job
// may use all of a worker.
func (c *Core) headroom(j *ledger.Job) float64 {
	switch {
	case j.Spec.Urgent:
		return 0
	case !c.limits.Naive && c.isLong(j):
		return max(c.limits.Spare, c.backlog.reserve())
	}
	return c.limits.Spare
}

// unresponsiveAfter is the time since the last heartbeat after which no new tasks
// are placed on a worker.
func (c *Core) unresponsiveAfter() time.Duration { return 3 * c.limits.Beat }

// drawCount returns the number of workers that a placement looks at.
func (c *Core) drawCount() int { return min(len(c.ordered), maxDraws) }

// draw returns the i-th worker to look at. In a small cell these are all workers
// in turn; in a large one they are the workers with recently freed capacity, newest
// first, and then random ones.
func (c *Core) draw(i int) *worker {
	switch {
	case len(c.ordered) <= maxDraws:
		return c.ordered[i]
	case i < len(c.recentlyFreed):
		return c.recentlyFreed[len(c.recentlyFreed)-1-i]
	}
	return c.ordered[c.rng.IntN(len(c.ordered))]
}

// maxFreed is the largest length of Core.recentlyFreed.
const maxFreed = 16

// noteFreed makes a worker the newest of recentlyFreed.
func (c *Core) noteFreed(w *worker) {
	if i := slices.Index(c.recentlyFreed, w); i >= 0 {
		c.recentlyFreed = slices.Delete(c.recentlyFreed, i, i+1)
	}
	if len(c.recentlyFreed) == maxFreed {
		c.recentlyFreed = slices.Delete(c.recentlyFreed, 0, 1)
	}
	c.recentlyFreed = append(c.recentlyFreed, w)
}

const (
	// minShortWait is the shortest time that a short task waits before a long one
	// is evicted for it, and minShortWaitRuns the same in median run times. The
	// longer of both applies.
	minShortWait     = 10 * time.Second
	minShortWaitRuns = 2
	// shortEvictionInterval is the shortest time between two such evictions.
	shortEvictionInterval = time.Second
)

// starved reports whether a short job has waited long enough for a long task with
// a checkpoint to be evicted.
func (c *Core) starved(j *ledger.Job) bool {
	if c.limits.Naive || c.now-c.shortEvictionAt < shortEvictionInterval || !c.backlog.runtimes.Known() || c.isLong(j) {
		return false
	}
	minRuns := time.Duration(minShortWaitRuns * c.backlog.runtimes.Median * float64(time.Second))
	waited := time.Duration(c.wall()-j.Accepted) * time.Millisecond
	return waited > max(minShortWait, minRuns)
}

// isLongWithCheckpoint reports whether a task has run for longer than longFactor
// times the median and, as it saves checkpoints, loses no work when it is evicted.
func (c *Core) isLongWithCheckpoint(p *placement) bool {
	ran := (c.now - p.reportedAt).Seconds()
	return p.reported && c.ledger.Jobs[p.job].Spec.Checkpoint && ran > longFactor*c.backlog.runtimes.Median
}

// evictFor evicts tasks for which mayEvict is true from one worker, so that a task
// of the job fits there. It chooses the worker with the fewest evictions, and does
// nothing if earlier evictions free enough capacity on a worker.
func (c *Core) evictFor(j *ledger.Job, reason string, mayEvict func(*placement) bool) {
	var best *worker
	var victims []*placement
	for i := range c.drawCount() {
		w := c.draw(i)
		if !w.accepts(c.now, c.unresponsiveAfter()) || !j.Spec.Size.Fits(w.size) {
			continue
		}
		v, pending := c.victims(w, j.Spec.Size, mayEvict)
		if pending {
			// Earlier evictions on this worker will free enough capacity.
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

// victims returns the tasks to evict from a worker so that size fits, those that
// lose the least work first, or nil if no evictions are enough. Pending reports
// that size fits once the tasks that are already being stopped have ended.
func (c *Core) victims(w *worker, size vect.Size, mayEvict func(*placement) bool) (out []*placement, pending bool) {
	free := w.freeCapacity(0)
	var candidates []*placement
	for _, p := range w.sorted() {
		if p.ended {
			continue
		}
		if p.stopReason != "" {
			free = free.Add(p.size)
			continue
		}
		if mayEvict(p) && !c.ledger.Jobs[p.job].Spec.Urgent {
			candidates = append(candidates, p)
		}
	}
	if size.Fits(free) {
		return nil, true
	}
	sort.SliceStable(candidates, func(a, b int) bool { return c.lostWork(candidates[a]) < c.lostWork(candidates[b]) })
	for _, p := range candidates {
		out = append(out, p)
		free = free.Add(p.size)
		if size.Fits(free) {
			return out, false
		}
	}
	return nil, false
}

// lostWork returns the run time that is lost when a task is evicted.
func (c *Core) lostWork(p *placement) time.Duration {
	if !p.reported || c.ledger.Jobs[p.job].Spec.Checkpoint {
		return 0
	}
	return c.now - p.reportedAt
}
