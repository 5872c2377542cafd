// Package sched decides, as the owner of a cell, which task of which job runs
// on which worker.
//
// Model. Core is the state of one owner during one term. Step takes the time
// and an event and returns effects; it does no I/O. A job, its steps and tasks
// are in memory; a task that may be under way has a place on a worker. What has
// to outlast the owner is written before anyone can see it: a start's run
// number and place before the order is sent, an end before the agent may forget
// it, and the last end before the job is shown as completed. One transaction is
// under way at a time and takes all that changed since the one before.
//
// A worker's lease is renewed by its agent for as long as the agent trusts the
// owner. The owner knows an upper bound of each lease by its own clock and
// gives a task to another worker only after a listed end, a new life of the
// worker, or that bound.
package sched

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lagoonrack/internal/intake"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// Core is the state of a cell's owner. Use New.
type Core struct {
	limits Limits
	term   uint64
	now    time.Duration
	// ahead is what the store's clock shows at time zero, and unix the time of
	// day then.
	storeOffset time.Duration
	wallClock   timeEstimate

	jobs map[string]*job
	// active lists the jobs that still need something, in order of acceptance.
	active  []*job
	workers map[string]*worker
	// agents lists the newest life at each agent.
	workerByAgent map[string]*worker
	config        *work.Config
	queues        map[string]work.Queue
	// lowest is the priority of the queues that can wait most, which has the
	// highest number, and mixed says that others can wait less.
	lowestPriority  int
	mixedPriorities bool
	// cancels holds withdrawals of jobs that are not known yet.
	pendingCancels map[string]bool

	dirtyJobs []*job
	// drops lists rows of jobs that are forgotten.
	obsoleteRows []string
	// held are effects that wait for what is drafted, and flying those that
	// wait for the transaction under way.
	onDirtyStored, onInflightStored []func()
	commitSeq                       uint64
	commitInflight                  bool
	// news says what may be placed that found no place before.
	changes      changeSet
	effects      []Effect
	outbox       []*worker
	runTimes     runTimes
	interference press.Table
	// challenges counts the numbers that were given to processes of agents.
	challengeCount uint64
	// gates decide on lasting jobs, by service, and declined holds the rows of
	// jobs that were sent away.
	admission map[string]*intake.Gate
	rejected  map[string]Refuse
	// granted holds lasting jobs that may be accepted and are not known yet.
	admitted map[string]admittedJob
	// began is when the term did.
	termStart time.Duration
	advice    adviceCache
	lastPurge time.Duration
	// crowded says that more tasks that fill wait than will soon find room.
	bestEffortBacklog bool
	// vacated is when a worker was emptied of serving tasks last.
	lastConsolidation time.Duration
	// saved is when what was learned was stored last.
	lastLearnedSave time.Duration
}

// Found is what a new owner reads from the store.
type Found struct {
	Jobs    []work.Job
	States  map[string]work.State
	Cancels []string
	// Refused lists the jobs that were sent away.
	Refused []Refuse
	// Learned is what the last owner left.
	Learned []byte
}

// New returns the core of an owner that took the cell over at time now. Ahead
// is what the store's clock shows at time zero.
func New(l Limits, term uint64, now, storeOffset time.Duration, stored Found, config *work.Config) *Core {
	c := &Core{
		limits:         l.WithDefaults(),
		term:           term,
		now:            now,
		storeOffset:    storeOffset,
		jobs:           map[string]*job{},
		workers:        map[string]*worker{},
		workerByAgent:  map[string]*worker{},
		pendingCancels: map[string]bool{},
		admission:      map[string]*intake.Gate{},
		rejected:       map[string]Refuse{},
		admitted:       map[string]admittedJob{},
		termStart:      now,
		changes:        changeSet{all: true},
	}
	c.configure(config)
	c.restoreLearned(stored.Learned)
	for _, j := range stored.Jobs {
		c.loadJob(j, stored.States[j.ID])
	}
	slices.SortStableFunc(c.active, func(a, b *job) int { return int(a.At - b.At) })
	for _, id := range stored.Cancels {
		c.cancel(id)
	}
	for _, r := range stored.Refused {
		c.recordRejected(r)
	}
	return c
}

// Step takes one event and returns what is to be done. The returned slice is
// valid until the next call.
func (c *Core) Step(now time.Duration, e Event) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Submit:
		c.submit(e.Job)
	case Refuse:
		c.recordRejected(e)
	case Cancel:
		c.cancel(e.ID)
	case Report:
		c.handleReport(e)
	case Results:
		c.handleResults(e.Results)
	case Configure:
		c.configure(e.Config)
	case Committed:
		c.handleCommitted(e.Seq)
	case Advice:
		c.handleAdvice(e)
	case Tick:
		c.tick()
	}
	c.schedule()
	c.commitDirty()
	c.sendOrders()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// clock returns the store's time in milliseconds.
func (c *Core) storeMillis() int64 { return (c.now + c.storeOffset).Milliseconds() }

// Term returns the owner's term.
func (c *Core) Term() uint64 { return c.term }

func (c *Core) configure(cfg *work.Config) {
	if cfg == nil || c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	c.queues = make(map[string]work.Queue, len(cfg.Queues))
	c.lowestPriority = 0
	for _, q := range cfg.Queues {
		c.queues[q.Name] = q
		c.lowestPriority = max(c.lowestPriority, q.Priority)
	}
	c.mixedPriorities = slices.ContainsFunc(cfg.Queues, func(q work.Queue) bool { return q.Priority < c.lowestPriority })
	c.changes.all = true
}

// touch marks a job whose state is to be stored.
func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// after runs f once all that was drafted so far is stored.
func (c *Core) afterStored(f func()) {
	switch {
	case len(c.dirtyJobs) > 0:
		c.onDirtyStored = append(c.onDirtyStored, f)
	case c.commitInflight:
		c.onInflightStored = append(c.onInflightStored, f)
	default:
		f()
	}
}

// rowsPerCommit bounds the rows of one transaction below what the platform
// takes, with room for the checks.
const rowsPerCommit = 90

// bytesPerCommit bounds the size of one transaction.
const bytesPerCommit = 600 << 10

// flush commits what changed, one transaction at a time. A draft that does not
// fit is committed in several, and what it holds back waits for the last.
func (c *Core) commitDirty() {
	if c.commitInflight || len(c.dirtyJobs) == 0 && len(c.obsoleteRows) == 0 {
		return
	}
	var w []plat.Write
	size := 0
	n := 0
	for n < len(c.dirtyJobs) && len(w) < rowsPerCommit && size < bytesPerCommit {
		j := c.dirtyJobs[n]
		n++
		j.dirty = false
		data, err := work.Encode(j.state())
		if err != nil {
			c.emit(Note{Kind: "unsaved", Job: j.ID, Reason: err.Error()})
			continue
		}
		size += len(data)
		w = append(w, plat.Write{Key: StateKey(j.ID), Value: data})
	}
	c.dirtyJobs = append(c.dirtyJobs[:0], c.dirtyJobs[n:]...)
	for len(c.obsoleteRows) > 0 && len(w) < rowsPerCommit {
		w = append(w, plat.Write{Key: c.obsoleteRows[0]})
		c.obsoleteRows = c.obsoleteRows[1:]
	}
	if c.now-c.lastLearnedSave >= learnedSaveInterval {
		c.lastLearnedSave = c.now
		if data, err := work.Encode(c.learnedState()); err == nil {
			w = append(w, plat.Write{Key: LearnedKey, Value: data})
		} else {
			c.emit(Note{Kind: "unsaved", Reason: err.Error()})
		}
	}
	c.commitSeq++
	c.commitInflight = true
	if len(c.dirtyJobs) == 0 {
		c.onInflightStored, c.onDirtyStored = append(c.onInflightStored, c.onDirtyStored...), nil
	}
	c.emit(Commit{Seq: c.commitSeq, Writes: w})
}

func (c *Core) handleCommitted(seq uint64) {
	if !c.commitInflight || seq != c.commitSeq {
		return
	}
	c.commitInflight = false
	callbacks := c.onInflightStored
	c.onInflightStored = nil
	for _, f := range callbacks {
		f()
	}
}

// Tables of the rows of a cell. Jobs are divided into parts by their first digit,
// because the store carries the transactions of one part out one after another:
// while it is slow, acceptances must not queue behind one another or behind the
// owner's commits.
const (
	JobTable   = "jobs"
	StateTable = "state"
	// cancelled ends the key of the row that withdraws a job.
	cancelSuffix = "/cancel"
)

// JobKey is the key of the row that accepts a job.
func JobKey(id string) string { return plat.Key(JobTable, id[:min(1, len(id))], id) }

// StateKey is the key of the row that holds a job's progress.
func StateKey(id string) string { return plat.Key(StateTable, "", id) }

// CancelKey is the key of the row that withdraws a job.
func CancelKey(id string) string { return JobKey(id) + cancelSuffix }

// CancelOf returns the job that the row with the key withdraws, if it does.
func CancelOf(key string) (string, bool) {
	_, _, name := plat.SplitKey(key)
	return strings.CutSuffix(name, cancelSuffix)
}

// purgeEvery is how often ended jobs are looked for that can be forgotten.
const purgeInterval = 5 * time.Second

// purge forgets jobs that ended long ago.
func (c *Core) purgeEnded() {
	if c.now-c.lastPurge < purgeInterval {
		return
	}
	c.lastPurge = c.now
	c.purgeRejected()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.endedAt == 0 || c.storeMillis()-j.endedAt < c.limits.Keep.Milliseconds() || len(j.placements) > 0 {
			continue
		}
		delete(c.jobs, id)
		c.advice.dropJob(id)
		c.obsoleteRows = append(c.obsoleteRows, StateKey(id))
		keys := []string{JobKey(id)}
		if j.cancelled {
			keys = append(keys, CancelKey(id))
		}
		c.emit(Forget{Keys: keys})
	}
}

// Quiet lists the agents that the owner has not heard for a while.
func (c *Core) Quiet(timeout time.Duration) []string {
	var out []string
	for _, addr := range slices.Sorted(maps.Keys(c.workerByAgent)) {
		w := c.workerByAgent[addr]
		if !w.gone && c.now-w.lastReport > timeout {
			out = append(out, addr)
		}
	}
	return out
}
