package cell

import (
	"container/heap"
	"time"

	"lagoonrack/internal/learn"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/vect"
)

// lane is a class of jobs with a queue of its own.
type lane int

// Lanes.
const (
	// laneUrgent holds urgent jobs, in order of acceptance.
	laneUrgent lane = iota
	// laneShort and laneLong hold jobs by their estimated run time.
	laneShort
	laneLong
	// laneLate holds jobs that can no longer end by their deadline.
	laneLate
	laneCount
)

const (
	// longFactor is the multiple of the median run time above which a job is
	// long.
	longFactor = 4
	// defaultDeadline is the assumed deadline of a job without one, after its
	// acceptance.
	defaultDeadline = 24 * time.Hour
	// longSlackRuns is the slack below which a long job goes before short ones, in
	// multiples of the upper quantile of run times. Slack is the time left until
	// the latest start that meets the deadline.
	longSlackRuns = 1
	// lateInterval bounds the wait of late jobs: one start in every lateInterval
	// is given to them.
	lateInterval = 8
)

// kindStats holds the learned run time and resource use of one kind of job.
type kindStats struct {
	runtime       learn.Estimate
	cores, memory learn.Estimate
}

// backlog holds the jobs that have tasks to start.
type backlog struct {
	lanes [laneCount]jobHeap
	// byName holds the queued jobs by name; each is in one lane.
	byName map[string]*queuedJob
	// runtimes holds the learned run times over all kinds.
	runtimes learn.Estimate
	// starts counts the started tasks.
	starts int
	// shortShare is a moving average of the share of short tasks in the started
	// work.
	shortShare float64
}

const (
	// shortShareWeight is the weight of the newest start in
	// backlog.shortShare.
	shortShareWeight = 0.01
	// reserveShare is the part of backlog.shortShare that is kept free of long
	// tasks on each worker, and maxReserve the largest share of a worker that is.
	reserveShare = 0.5
	maxReserve   = 0.125
)

// recordStart counts the start of a task. Work is its estimated run time and median
// that of all kinds of job, both in seconds.
func (b *backlog) recordStart(short bool, work, median float64) {
	b.starts++
	v := 0.0
	if short {
		v = 1
	}
	// Weight each start by its run time, so that many small tasks don't outweigh
	// one large task.
	weight := shortShareWeight * min(10, max(0.1, work/max(median, 1e-9)))
	b.shortShare += weight * (v - b.shortShare)
}

// reserve returns the share of each worker that is kept free of long tasks, so
// that a short task need not wait for the end of a long one.
func (b *backlog) reserve() float64 { return min(maxReserve, reserveShare*b.shortShare) }

// queuedJob is a job in a lane of the backlog.
type queuedJob struct {
	job *ledger.Job
	// key orders the jobs of a lane, lowest first. It is the latest start, in
	// milliseconds of wall-clock time, that meets the deadline; in laneUrgent it
	// is the time of acceptance.
	key   int64
	lane  lane
	index int
}

type jobHeap []*queuedJob

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].job.Spec.Name < h[j].job.Spec.Name
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *jobHeap) Push(x any) {
	it := x.(*queuedJob)
	it.index = len(*h)
	*h = append(*h, it)
}
func (h *jobHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

func (b *backlog) push(it *queuedJob) {
	if b.byName == nil {
		b.byName = map[string]*queuedJob{}
	}
	b.byName[it.job.Spec.Name] = it
	heap.Push(&b.lanes[it.lane], it)
}

func (b *backlog) remove(name string) {
	it := b.byName[name]
	if it == nil {
		return
	}
	delete(b.byName, name)
	heap.Remove(&b.lanes[it.lane], it.index)
}

// next removes and returns the job whose task is to be started next: an urgent
// one first, then a long one whose slack is less than longSlack, then a short
// one, then a long one. Late jobs come last, but get one start in every
// lateInterval. It returns nil if no job is queued.
func (b *backlog) next(wall int64, longSlack time.Duration) *queuedJob {
	b.demoteLate(laneShort, wall)
	b.demoteLate(laneLong, wall)
	l := b.nextLane(wall, longSlack)
	if len(b.lanes[l]) == 0 {
		return nil
	}
	it := heap.Pop(&b.lanes[l]).(*queuedJob)
	delete(b.byName, it.job.Spec.Name)
	return it
}

func (b *backlog) nextLane(wall int64, longSlack time.Duration) lane {
	switch {
	case len(b.lanes[laneUrgent]) > 0:
		return laneUrgent
	case len(b.lanes[laneLate]) > 0 && b.starts%lateInterval == 0:
		return laneLate
	case len(b.lanes[laneLong]) > 0 && b.lanes[laneLong][0].key-wall < longSlack.Milliseconds():
		return laneLong
	case len(b.lanes[laneShort]) > 0:
		return laneShort
	case len(b.lanes[laneLong]) > 0:
		return laneLong
	}
	return laneLate
}

// demoteLate moves the jobs of a lane that can no longer meet their deadline to
// laneLate.
func (b *backlog) demoteLate(l lane, wall int64) {
	for len(b.lanes[l]) > 0 && b.lanes[l][0].key < wall {
		it := heap.Pop(&b.lanes[l]).(*queuedJob)
		it.lane = laneLate
		heap.Push(&b.lanes[laneLate], it)
	}
}

// enqueue puts a job into its lane, unless it is queued already or no task of it
// waits.
func (c *Core) enqueue(j *ledger.Job) {
	name := j.Spec.Name
	if c.backlog.byName[name] != nil || j.Waiting() == 0 {
		return
	}
	c.backlog.push(c.newQueuedJob(j))
	c.needsScheduling = true
}

func (c *Core) newQueuedJob(j *ledger.Job) *queuedJob {
	est := c.estimate(j)
	due := j.Due()
	if due == 0 {
		due = j.Accepted + defaultDeadline.Milliseconds()
	}
	it := &queuedJob{job: j, key: due - est.Milliseconds(), lane: laneShort}
	switch {
	case j.Spec.Urgent:
		it.lane, it.key = laneUrgent, j.Accepted
	case c.limits.Naive:
		// First come, first served: all jobs share one lane that has no late jobs.
		it.lane, it.key = laneUrgent, j.Accepted
	case c.isLong(j):
		it.lane = laneLong
	}
	return it
}

// isLong reports whether a job's tasks are estimated to take longer than
// longFactor times the median.
func (c *Core) isLong(j *ledger.Job) bool {
	return c.backlog.runtimes.Known() && c.estimate(j).Seconds() > longFactor*c.backlog.runtimes.Median
}

// estimate returns the learned run time of the job's kind, or the declared one if
// none is known.
func (c *Core) estimate(j *ledger.Job) time.Duration {
	if c.limits.Knows && j.Spec.Actual > 0 {
		return j.Spec.Actual
	}
	if k := c.kinds[j.Spec.Kind]; k.runtime.Known() && !c.limits.Naive {
		return time.Duration(k.runtime.Median * float64(time.Second))
	}
	return j.Spec.Runtime
}

func (c *Core) recordRuntime(name string, d time.Duration, used vect.Size) {
	k := c.kinds[name]
	k.runtime = k.runtime.With(d.Seconds())
	k.cores = k.cores.With(float64(used.Cores))
	k.memory = k.memory.With(float64(used.Memory))
	c.kinds[name] = k
	c.backlog.runtimes = c.backlog.runtimes.With(d.Seconds())
}

// addUsage adds size to the resources that the job's team uses; a negative sign
// subtracts it.
func (c *Core) addUsage(j *ledger.Job, size vect.Size, sign int64) {
	s := vect.Size{Cores: sign * size.Cores, Memory: sign * size.Memory, Accel: sign * size.Accel}
	c.teamUsage[j.Spec.Team] = c.teamUsage[j.Spec.Team].Add(s)
}

// inQuota reports whether size more resources are within the team's quota.
func (c *Core) inQuota(team string, size vect.Size) bool {
	q := c.limits.Teams[team]
	u := c.teamUsage[team].Add(size)
	return withinQuota(u.Cores, q.Cores) && withinQuota(u.Memory, q.Memory) && withinQuota(u.Accel, q.Accel)
}

func withinQuota(use, quota int64) bool { return quota == 0 || use <= quota }
