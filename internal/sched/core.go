// Package sched decides, as the owner of a cell, which task of which job runs on
// which worker.
//
// Core is the state of one owner during one term. Step takes the time and an event
// and returns effects; it does no I/O. Jobs, their steps and their tasks are kept
// in memory; a task that may be running has a placement on a worker. State that a
// new owner needs is stored before its effects become visible: a run number and its
// placement before the start order is sent, an end before the agent may forget it,
// and the last end before the job is reported as completed. At most one transaction
// is in flight; it takes all changes made since the previous one.
//
// The agent renews its worker's lease as long as it accepts the owner, which is for
// a limited time after the owner's last reply. The owner computes an upper bound of
// each lease by its own clock. It starts a task on another worker only after the
// agent reported the end of the run, after a report from a new incarnation of the
// worker, or after that bound.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lagoonrack/internal/advice"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/freed"
	"lagoonrack/internal/intake"
	"lagoonrack/internal/keys"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/press"
	"lagoonrack/internal/shed"
	"lagoonrack/internal/speed"
	"lagoonrack/internal/timing"
	"lagoonrack/internal/wall"
	"lagoonrack/internal/work"
)

// Core is the state of a cell's owner. Create it with New.
type Core struct {
	limits Limits
	term   uint64
	now    time.Duration
	// storeOffset is the reading of the store's clock at time zero of the owner's
	// clock, and wallClock the time of day by that clock, which the next owner takes over.
	storeOffset time.Duration
	wallClock   wall.Clock

	jobs map[string]*job
	// active lists the jobs that are not finished or still have placements, in
	// order of acceptance.
	active []*job
	// jobCount is the number of jobs that this owner has learned of, and pending
	// counts, by queue, those of which no task was started.
	jobCount int
	pending  map[string]int
	workers  map[work.Life]*worker
	// workerList holds the workers in a fixed order.
	workerList []*worker
	// workerByAgent maps an agent's address to the newest incarnation of its
	// worker.
	workerByAgent map[string]*worker
	config        *work.Config
	queues        map[string]work.Queue
	// lowestPriority is the priority of the least urgent queues and jobs, which is the
	// highest number, and highestPriority that of the most urgent ones.
	lowestPriority, highestPriority int
	// pendingCancels holds the cancelled jobs whose own row has not been seen yet.
	pendingCancels map[string]bool

	// dirtyRows lists the rows of progress that have to be stored, the oldest change first.
	// A row that was stored before its turn stays in the list and counts as taken then.
	dirtyRows []dirtyRow
	// obsoleteRows holds the keys of state rows to delete.
	obsoleteRows keys.Queue
	purger
	// dirtyAdded counts the rows that were ever added to dirtyRows, and dirtyTaken those
	// that were taken into a transaction.
	dirtyAdded, dirtyTaken uint64
	// onDirtyStored holds callbacks that wait until rows in dirtyRows are stored, in the
	// order of their registration, and onInflightStored those that wait for the
	// transaction in flight.
	onDirtyStored    []storedCallback
	onInflightStored []func()
	commitSeq        uint64
	commitInflight   bool
	// commitIssuedAt is when the transaction in flight was issued.
	commitIssuedAt time.Duration
	packer         work.Packer
	// changes limits the next scheduling pass to what may be placed now and could
	// not be before.
	changes changeSet
	// exhaustive turns off the shortcuts of scheduling passes. Tests compare the
	// decisions with and without them.
	exhaustive bool
	ranking    ranking
	shortlist  shortlist
	// timed lists the timed jobs with occurrences that are not due yet, and nextDue is
	// the least time, in milliseconds since 1970, at which one may become due.
	timed   []*job
	nextDue int64
	effects []Effect
	// outbox lists the workers whose collected order is sent at the end of the
	// step.
	outbox       []*worker
	runTimes     timing.Table
	interference press.Table
	// speeds is only used if limits.Uneven is set. speedsLoggedAt is when it was last logged, and
	// slowCheckedAt when runs on slow workers were last looked for.
	speeds                        speed.Table
	speedsLoggedAt, slowCheckedAt time.Duration
	learned                       learned
	// readOnly says that this is a view on a core: what workers cache must not change.
	readOnly bool
	// listCount numbers the lists of runs that were handled.
	listCount uint64
	// released records the runs that were released without a listed end.
	released freed.Runs
	// challengeCount is the number of challenges issued in this term.
	challengeCount uint64
	// admission decides, by service, whether long-running jobs are accepted, and
	// rejected holds the rows of rejected jobs.
	admission map[string]*intake.Controller
	// gates controls overload, by service, if Limits.Overload is set.
	gates    map[string]*shed.Gate
	rejected map[string]RejectedJob
	// barred holds the jobs whose progress can't be read.
	barred map[string]bool
	// admitted holds long-running jobs that were admitted and whose rows have not
	// been seen yet.
	admitted map[string]admittedJob
	// termStart is when the term began, and confirmedAt a time since which the store has
	// confirmed the ownership of the cell.
	termStart, confirmedAt time.Duration
	advice                 advice.Book
	// zones holds the evacuated zones as far as this owner knows.
	zones evac.Zones
	// held counts tasks that are held back by reason, as of heldAt.
	held   map[string]int
	heldAt time.Duration
	// bestEffortBacklog says that more best-effort tasks wait than can be placed
	// soon.
	bestEffortBacklog bool
	// lastConsolidation is when long-running tasks were last moved off a worker to
	// clear it for best-effort tasks.
	lastConsolidation time.Duration
}

// StoredRows is what a new owner reads from the store.
type StoredRows struct {
	Jobs []work.Job
	// Progress holds the progress of jobs.
	Progress map[string]Progress
	// Versions holds the versions of the rows of Jobs.
	Versions map[string]uint64
	Cancels  []string
	// Orphans lists the keys of rows with the progress of jobs that have no row in the job
	// table: of ended jobs that an earlier owner could delete only in part.
	Orphans []string
	// Rejected lists the rejected jobs.
	Rejected []RejectedJob
	// Barred lists the jobs whose progress can't be read. They must not run, since their
	// tasks may have run.
	Barred []string
	// ConfirmedAt is when the call was sent in answer to which the store last confirmed the
	// new owner's ownership.
	ConfirmedAt time.Duration
	// Learned holds the rows with what earlier owners have learned, by their keys.
	Learned map[string][]byte
}

// New returns the core of an owner that took over the cell at time now. storeOffset
// is the reading of the store's clock at time zero.
func New(l Limits, term uint64, now, storeOffset time.Duration, stored StoredRows, config *work.Config) *Core {
	c := &Core{
		limits:         l.WithDefaults(),
		term:           term,
		now:            now,
		storeOffset:    storeOffset,
		jobs:           map[string]*job{},
		workers:        map[work.Life]*worker{},
		pending:        map[string]int{},
		workerByAgent:  map[string]*worker{},
		pendingCancels: map[string]bool{},
		admission:      map[string]*intake.Controller{},
		gates:          map[string]*shed.Gate{},
		rejected:       map[string]RejectedJob{},
		barred:         map[string]bool{},
		purger:         purger{deleting: map[string]bool{}, deleted: map[string]deletedJob{}},
		admitted:       map[string]admittedJob{},
		termStart:      now,
		confirmedAt:    stored.ConfirmedAt,
		changes:        changeSet{all: true, rebuild: true},
	}
	c.configure(config)
	c.restoreLearned(stored.Learned)
	byAcceptance := func(a, b work.Job) int { return cmp.Compare(a.At, b.At) }
	for _, j := range slices.SortedStableFunc(slices.Values(stored.Jobs), byAcceptance) {
		c.loadJob(j, stored.Progress[j.ID], stored.Versions[j.ID])
	}
	for _, key := range stored.Orphans {
		c.obsoleteRows.Add(key)
	}
	for _, id := range stored.Cancels {
		c.cancel(id)
	}
	for _, r := range stored.Rejected {
		c.recordRejected(r)
	}
	for _, id := range stored.Barred {
		c.barred[id] = true
	}
	return c
}

// Step handles events in order, makes one scheduling pass for all of them and returns
// the effects to carry out. The returned slice is valid until the next call.
func (c *Core) Step(now time.Duration, events ...Event) []Effect {
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	ticked := false
	for _, e := range events {
		c.handle(e)
		_, tick := e.(Tick)
		ticked = ticked || tick
	}
	c.schedule()
	if ticked && c.now-c.heldAt >= heldCheckInterval {
		c.heldAt = c.now
		c.noteHeld()
	}
	c.commitDirty()
	c.sendOrders()
	return c.effects
}

// handle handles one event.
func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Submit:
		c.submit(e)
	case RowsDeleted:
		c.handleRowsDeleted(e)
	case DeletionFailed:
		c.handleDeletionFailed(e.Job)
	case RejectedJob:
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
	case AdviceFailed:
		c.advice.Fail(c.now, e.Question)
	case Confirmed:
		c.confirmedAt = max(c.confirmedAt, e.Sent)
	case Evacuated:
		c.setZones(e.Zones)
	case Tick:
		c.tick()
	}
}

// emit adds an effect to the result of the step.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// storeMillis returns the store's time in milliseconds.
func (c *Core) storeMillis() int64 { return (c.now + c.storeOffset).Milliseconds() }

// ConfirmedAt returns a time since which the store has confirmed the ownership.
func (c *Core) ConfirmedAt() time.Duration { return c.confirmedAt }

// Term returns the owner's term.
func (c *Core) Term() uint64 { return c.term }

// configure applies a configuration if it is newer than the present one.
func (c *Core) configure(cfg *work.Config) {
	if cfg == nil || c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	c.queues = make(map[string]work.Queue, len(cfg.Queues))
	c.lowestPriority, c.highestPriority = math.MinInt, math.MaxInt
	for _, q := range cfg.Queues {
		c.queues[q.Name] = q
		c.notePriority(q.Priority)
	}
	for _, j := range c.jobs {
		c.updateTerms(j)
	}
	c.changes.all, c.changes.rebuild = true, true
}

// updateTerms determines how a job is scheduled: as the configuration in force says of its
// queue, and as the job was accepted while the configuration doesn't have the queue. The
// number of attempts is that of the acceptance in any case: it is part of the answer to the
// caller, and every owner knows it, whatever configurations it has seen.
func (c *Core) updateTerms(j *job) {
	j.inForce, j.service = j.Terms, j.Service
	if q, ok := c.queues[j.Queue]; ok {
		j.inForce, j.service = q.Terms(), q.Service
		if n := j.Terms.Attempts; n > 0 {
			j.inForce.Attempts = n
		}
	}
	if !j.finished() {
		c.notePriority(j.inForce.Priority)
	}
}

// notePriority records that a queue or a job has a priority.
func (c *Core) notePriority(n int) {
	c.lowestPriority, c.highestPriority = max(c.lowestPriority, n), min(c.highestPriority, n)
}

// JobTable is the table of the rows that accept, reject and cancel jobs. Jobs are partitioned by
// their first digit because the store executes the transactions of one partition
// one after another: while the store is slow, acceptances must not queue behind one
// another or behind the owner's commits.
const (
	JobTable = "jobs"
	// cancelSuffix ends the key of the row that cancels a job.
	cancelSuffix = "/cancel"
)

// JobKey returns the key of the row that accepts a job.
func JobKey(id string) string { return plat.Key(JobTable, id[:min(1, len(id))], id) }

// CancelKey returns the key of the row that cancels a job.
func CancelKey(id string) string { return JobKey(id) + cancelSuffix }

// CancelledJob returns the ID of the job that a cancel row belongs to. It returns
// false if the key is not that of a cancel row.
func CancelledJob(key string) (string, bool) {
	_, _, name := plat.SplitKey(key)
	return strings.CutSuffix(name, cancelSuffix)
}

// UnresponsiveAgents lists the agents whose last report is older than the timeout.
func (c *Core) UnresponsiveAgents(timeout time.Duration) []string {
	var out []string
	for _, addr := range slices.Sorted(maps.Keys(c.workerByAgent)) {
		w := c.workerByAgent[addr]
		if !w.gone && c.now-w.lastReport > timeout {
			out = append(out, addr)
		}
	}
	return out
}
