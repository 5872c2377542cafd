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
	ahead time.Duration
	unix  clocks

	jobs map[string]*job
	// active lists the jobs that still need something, in order of acceptance.
	active  []*job
	workers map[string]*worker
	// agents lists the newest life at each agent.
	agents map[string]*worker
	config *work.Config
	queues map[string]work.Queue
	// lowest is the priority of the queues that can wait most, which has the
	// highest number, and mixed says that others can wait less.
	lowest int
	mixed  bool
	// cancels holds withdrawals of jobs that are not known yet.
	cancels map[string]bool

	dirty []*job
	// drops lists rows of jobs that are forgotten.
	drops []string
	// held are effects that wait for what is drafted, and flying those that
	// wait for the transaction under way.
	held, flying []func()
	seq          uint64
	inflight     bool
	// news says what may be placed that found no place before.
	news    news
	effects []Effect
	out     []*worker
	learned table
	press   press.Table
	// challenges counts the numbers that were given to processes of agents.
	challenges uint64
	// gates decide on lasting jobs, by service, and declined holds the rows of
	// jobs that were sent away.
	gates    map[string]*intake.Gate
	declined map[string]Refuse
	// granted holds lasting jobs that may be accepted and are not known yet.
	granted map[string]grant
	// began is when the term did.
	began  time.Duration
	advice advisor
	purged time.Duration
	// crowded says that more tasks that fill wait than will soon find room.
	crowded bool
	// vacated is when a worker was emptied of serving tasks last.
	vacated time.Duration
	// saved is when what was learned was stored last.
	saved time.Duration
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
func New(l Limits, term uint64, now, ahead time.Duration, found Found, config *work.Config) *Core {
	c := &Core{
		limits:   l.WithDefaults(),
		term:     term,
		now:      now,
		ahead:    ahead,
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		agents:   map[string]*worker{},
		cancels:  map[string]bool{},
		gates:    map[string]*intake.Gate{},
		declined: map[string]Refuse{},
		granted:  map[string]grant{},
		began:    now,
		news:     news{all: true},
	}
	c.configure(config)
	c.remember(found.Learned)
	for _, j := range found.Jobs {
		c.load(j, found.States[j.ID])
	}
	slices.SortStableFunc(c.active, func(a, b *job) int { return int(a.At - b.At) })
	for _, id := range found.Cancels {
		c.cancel(id)
	}
	for _, r := range found.Refused {
		c.refuse(r)
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
		c.refuse(e)
	case Cancel:
		c.cancel(e.ID)
	case Report:
		c.report(e)
	case Results:
		c.results(e.Results)
	case Configure:
		c.configure(e.Config)
	case Committed:
		c.committed(e.Seq)
	case Advice:
		c.advised(e)
	case Tick:
		c.tick()
	}
	c.schedule()
	c.flush()
	c.send()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// clock returns the store's time in milliseconds.
func (c *Core) clock() int64 { return (c.now + c.ahead).Milliseconds() }

// Term returns the owner's term.
func (c *Core) Term() uint64 { return c.term }

func (c *Core) configure(cfg *work.Config) {
	if cfg == nil || c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	c.queues = make(map[string]work.Queue, len(cfg.Queues))
	c.lowest = 0
	for _, q := range cfg.Queues {
		c.queues[q.Name] = q
		c.lowest = max(c.lowest, q.Priority)
	}
	c.mixed = slices.ContainsFunc(cfg.Queues, func(q work.Queue) bool { return q.Priority < c.lowest })
	c.news.all = true
}

// touch marks a job whose state is to be stored.
func (c *Core) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// after runs f once all that was drafted so far is stored.
func (c *Core) after(f func()) {
	switch {
	case len(c.dirty) > 0:
		c.held = append(c.held, f)
	case c.inflight:
		c.flying = append(c.flying, f)
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
func (c *Core) flush() {
	if c.inflight || len(c.dirty) == 0 && len(c.drops) == 0 {
		return
	}
	var w []plat.Write
	size := 0
	n := 0
	for n < len(c.dirty) && len(w) < rowsPerCommit && size < bytesPerCommit {
		j := c.dirty[n]
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
	c.dirty = append(c.dirty[:0], c.dirty[n:]...)
	for len(c.drops) > 0 && len(w) < rowsPerCommit {
		w = append(w, plat.Write{Key: c.drops[0]})
		c.drops = c.drops[1:]
	}
	if c.now-c.saved >= learnedEvery {
		c.saved = c.now
		if data, err := work.Encode(c.learnt()); err == nil {
			w = append(w, plat.Write{Key: LearnedKey, Value: data})
		} else {
			c.emit(Note{Kind: "unsaved", Reason: err.Error()})
		}
	}
	c.seq++
	c.inflight = true
	if len(c.dirty) == 0 {
		c.flying, c.held = append(c.flying, c.held...), nil
	}
	c.emit(Commit{Seq: c.seq, Writes: w})
}

func (c *Core) committed(seq uint64) {
	if !c.inflight || seq != c.seq {
		return
	}
	c.inflight = false
	all := c.flying
	c.flying = nil
	for _, f := range all {
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
	cancelled = "/cancel"
)

// JobKey is the key of the row that accepts a job.
func JobKey(id string) string { return plat.Key(JobTable, id[:min(1, len(id))], id) }

// StateKey is the key of the row that holds a job's progress.
func StateKey(id string) string { return plat.Key(StateTable, "", id) }

// CancelKey is the key of the row that withdraws a job.
func CancelKey(id string) string { return JobKey(id) + cancelled }

// CancelOf returns the job that the row with the key withdraws, if it does.
func CancelOf(key string) (string, bool) {
	_, _, name := plat.SplitKey(key)
	return strings.CutSuffix(name, cancelled)
}

// purgeEvery is how often ended jobs are looked for that can be forgotten.
const purgeEvery = 5 * time.Second

// purge forgets jobs that ended long ago.
func (c *Core) purge() {
	if c.now-c.purged < purgeEvery {
		return
	}
	c.purged = c.now
	c.purgeRefused()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.ended == 0 || c.clock()-j.ended < c.limits.Keep.Milliseconds() || len(j.places) > 0 {
			continue
		}
		delete(c.jobs, id)
		c.advice.drop(id)
		c.drops = append(c.drops, StateKey(id))
		keys := []string{JobKey(id)}
		if j.cancelled {
			keys = append(keys, CancelKey(id))
		}
		c.emit(Forget{Keys: keys})
	}
}

// Quiet lists the agents that the owner has not heard for a while.
func (c *Core) Quiet(after time.Duration) []string {
	var out []string
	for _, addr := range slices.Sorted(maps.Keys(c.agents)) {
		w := c.agents[addr]
		if !w.gone && c.now-w.heard > after {
			out = append(out, addr)
		}
	}
	return out
}
