package cell

import (
	"container/heap"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/vect"
)

// lane is a class of jobs that share an order.
type lane int

// Lanes.
const (
	laneUrgent lane = iota
	laneShort
	laneLong
	// laneLate holds jobs that can't end by their deadline any more.
	laneLate
	laneCount
)

const (
	// longFactor is how many times the usual run time a long job takes.
	longFactor = 4
	// noDeadline is the deadline of a job without one, after its acceptance.
	noDeadline = 24 * time.Hour
	// slackFactor is the laxity, in run times, below which a long job goes
	// before short ones.
	slackFactor = 1
	// lateEvery bounds the wait of late jobs: one of so many starts is theirs.
	lateEvery = 8
)

// kind is what was learned of one kind of job.
type kind struct {
	run          learn.Value
	cores, bytes learn.Value
}

// backlog holds the jobs that have tasks to start.
type backlog struct {
	lanes [laneCount]heapOf
	// all holds each queued job once.
	all map[string]*item
	// usual follows the run times of all kinds.
	usual learn.Value
	// turn counts the starts.
	turn int
	// short follows the share of short tasks in the work that is started.
	short float64
}

const (
	// shortWeight is the weight of the newest start in that share.
	shortWeight = 0.01
	// reserveShare is how much of the share of short work is kept free of long
	// tasks on each worker, and reserveMost the most that is.
	reserveShare = 0.5
	reserveMost  = 0.125
)

// started notes the start of a task with the given work.
func (b *backlog) started(short bool, work, usual float64) {
	b.turn++
	v := 0.0
	if short {
		v = 1
	}
	// A start counts by its work, so that many small ones don't outweigh it.
	weight := shortWeight * min(10, max(0.1, work/max(usual, 1e-9)))
	b.short += weight * (v - b.short)
}

// reserve is the share of each worker that long tasks leave to short ones, so
// that a short task need not wait for the end of a long one.
func (b *backlog) reserve() float64 { return min(reserveMost, reserveShare*b.short) }

// item is a queued job.
type item struct {
	job *ledger.Job
	// key orders a lane: the latest start, in milliseconds of wall-clock time,
	// that meets the deadline.
	key  int64
	lane lane
	pos  int
}

type heapOf []*item

func (h heapOf) Len() int { return len(h) }
func (h heapOf) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].job.Spec.Name < h[j].job.Spec.Name
}
func (h heapOf) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
func (h *heapOf) Push(x any) {
	it := x.(*item)
	it.pos = len(*h)
	*h = append(*h, it)
}
func (h *heapOf) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

func (b *backlog) push(it *item) {
	if b.all == nil {
		b.all = map[string]*item{}
	}
	b.all[it.job.Spec.Name] = it
	heap.Push(&b.lanes[it.lane], it)
}

func (b *backlog) remove(name string) {
	it := b.all[name]
	if it == nil {
		return
	}
	delete(b.all, name)
	heap.Remove(&b.lanes[it.lane], it.pos)
}

// next takes the job to start from: urgent ones first, then a long one whose
// deadline presses, then short ones, then long ones. Late jobs come last, but
// get one start of lateEvery.
func (b *backlog) next(wall int64, margin time.Duration) *item {
	b.sift(laneShort, wall)
	b.sift(laneLong, wall)
	l := b.pick(wall, margin)
	if len(b.lanes[l]) == 0 {
		return nil
	}
	it := heap.Pop(&b.lanes[l]).(*item)
	delete(b.all, it.job.Spec.Name)
	return it
}

func (b *backlog) pick(wall int64, margin time.Duration) lane {
	switch {
	case len(b.lanes[laneUrgent]) > 0:
		return laneUrgent
	case len(b.lanes[laneLate]) > 0 && b.turn%lateEvery == 0:
		return laneLate
	case len(b.lanes[laneLong]) > 0 && b.lanes[laneLong][0].key-wall < margin.Milliseconds():
		return laneLong
	case len(b.lanes[laneShort]) > 0:
		return laneShort
	case len(b.lanes[laneLong]) > 0:
		return laneLong
	}
	return laneLate
}

// sift moves jobs that can't end in time any more out of a lane.
func (b *backlog) sift(l lane, wall int64) {
	for len(b.lanes[l]) > 0 && b.lanes[l][0].key < wall {
		it := heap.Pop(&b.lanes[l]).(*item)
		it.lane = laneLate
		heap.Push(&b.lanes[laneLate], it)
	}
}

// queue puts a job with tasks to start into its lane.
func (c *Core) queue(j *ledger.Job) {
	name := j.Spec.Name
	if c.backlog.all[name] != nil || j.Waiting() == 0 {
		return
	}
	c.backlog.push(c.item(j))
	c.dirty = true
}

func (c *Core) item(j *ledger.Job) *item {
	est := c.estimate(j)
	due := j.Due()
	if due == 0 {
		due = j.Accepted + noDeadline.Milliseconds()
	}
	it := &item{job: j, key: due - est.Milliseconds(), lane: laneShort}
	switch {
	case j.Spec.Urgent:
		it.lane, it.key = laneUrgent, j.Accepted
	case c.limits.Naive:
		// First come, first served: nothing is ever late.
		it.lane, it.key = laneUrgent, j.Accepted
	case c.isLong(j):
		it.lane = laneLong
	}
	return it
}

// isLong reports whether a job's tasks take much longer than is usual.
func (c *Core) isLong(j *ledger.Job) bool {
	return c.backlog.usual.Known() && c.estimate(j).Seconds() > longFactor*c.backlog.usual.Median
}

// estimate returns the learned run time of a job's tasks, or the declared one.
func (c *Core) estimate(j *ledger.Job) time.Duration {
	if c.limits.Knows && j.Spec.Actual > 0 {
		return j.Spec.Actual
	}
	if k := c.kinds[j.Spec.Kind]; k.run.Known() && !c.limits.Naive {
		return time.Duration(k.run.Median * float64(time.Second))
	}
	return j.Spec.Runtime
}

func (c *Core) learn(name string, d time.Duration, used vect.Size) {
	k := c.kinds[name]
	k.run = k.run.With(d.Seconds())
	k.cores = k.cores.With(float64(used.Cores))
	k.bytes = k.bytes.With(float64(used.Memory))
	c.kinds[name] = k
	c.backlog.usual = c.backlog.usual.With(d.Seconds())
}

// charge counts what a team has in use.
func (c *Core) charge(j *ledger.Job, size vect.Size, sign int64) {
	s := vect.Size{Cores: sign * size.Cores, Memory: sign * size.Memory, Accel: sign * size.Accel}
	c.usage[j.Spec.Team] = c.usage[j.Spec.Team].Add(s)
}

// inQuota reports whether a team may use size more.
func (c *Core) inQuota(team string, size vect.Size) bool {
	q := c.limits.Teams[team]
	u := c.usage[team].Add(size)
	return within(u.Cores, q.Cores) && within(u.Memory, q.Memory) && within(u.Accel, q.Accel)
}

func within(use, quota int64) bool { return quota == 0 || use <= quota }
