package cell

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"time"

	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// submit accepts or rejects a job. A second submit of the same job is accepted and
// changes nothing; another job with the same name is rejected.
func (c *Core) submit(e Submit) {
	if c.leaving {
		c.emit(Done{Token: e.Token, Reason: "leaving", Text: "the cell is being handed over; try again"})
		return
	}
	if old := c.ledger.Jobs[e.Job.Name]; old != nil {
		c.resubmit(e, old)
		return
	}
	if reason, text := c.rejectReason(e); reason != "" {
		c.emit(Done{Token: e.Token, Reason: reason, Text: text})
		return
	}
	job := e.Job
	c.record(ledger.Record{Op: ledger.Submit, Name: job.Name, Job: &job})
	c.emitCommitted(Done{Token: e.Token, Text: "accepted"})
	c.enqueue(c.ledger.Jobs[job.Name])
}

func (c *Core) resubmit(e Submit, old *ledger.Job) {
	if !reflect.DeepEqual(old.Spec, e.Job) {
		c.emit(Done{Token: e.Token, Reason: "conflict", Text: "another job has this name"})
		return
	}
	c.emitCommitted(Done{Token: e.Token, Text: "accepted before"})
}

// rejectReason returns why a job can never run, or an empty reason.
func (c *Core) rejectReason(e Submit) (reason, text string) {
	j := e.Job
	quota, known := c.limits.Teams[j.Team]
	switch {
	case j.Name == "":
		return "name", "a job needs a name"
	case j.Tasks < 1 || j.Tasks > c.limits.Tasks:
		return "tasks", fmt.Sprintf("tasks: %d is not between 1 and %d", j.Tasks, c.limits.Tasks)
	case j.Size.Negative() || j.Size.IsZero():
		return "size", "size: some resource must be above 0 and none below"
	case j.Runtime <= 0:
		return "runtime", "runtime: must be above 0"
	case j.Deadline < 0:
		return "deadline", "deadline: must not be below 0"
	case len(c.limits.Teams) > 0 && !known:
		return "team", fmt.Sprintf("team: there is no team %q", j.Team)
	case !withinQuota(j.Size.Cores, quota.Cores) || !withinQuota(j.Size.Memory, quota.Memory) || !withinQuota(j.Size.Accel, quota.Accel):
		return "quota", fmt.Sprintf("size: one task needs %s, more than the quota of team %s", j.Size, j.Team)
	}
	return c.rejectTooLarge(e)
}

// rejectTooLarge rejects a job whose tasks fit no kind of worker of the cell.
func (c *Core) rejectTooLarge(e Submit) (reason, text string) {
	headroom := c.limits.Spare
	if e.Job.Urgent {
		headroom = 0
	}
	for _, s := range c.limits.Largest {
		w := worker{size: s}
		if e.Job.Size.Fits(w.freeCapacity(headroom)) {
			return "", ""
		}
	}
	if len(c.limits.Largest) == 0 {
		return "", ""
	}
	return "size", fmt.Sprintf("size: one task needs %s, more than any worker gives", e.Job.Size)
}

// cancel cancels a job. Tasks that run are stopped.
func (c *Core) cancel(e Cancel) {
	j := c.ledger.Jobs[e.Name]
	if j == nil {
		c.emit(Done{Token: e.Token, Reason: "missing", Text: fmt.Sprintf("there is no job %q", e.Name)})
		return
	}
	if !c.record(ledger.Record{Op: ledger.Cancel, Name: e.Name}) {
		c.emitCommitted(Done{Token: e.Token, Text: "it has ended or was cancelled before"})
		return
	}
	c.backlog.remove(e.Name)
	for _, i := range j.OpenIndexes() {
		if p := c.runningPlacement(e.Name, i, j.Open[i]); p != nil {
			p.stopReason = "cancelled"
			p.saveOnStop = false
			c.propagate(p)
		}
	}
	c.emitCommitted(Done{Token: e.Token, Text: "cancelled"})
}

func (c *Core) runningPlacement(name string, index int, t *ledger.Task) *placement {
	w := c.workers[workerKey(t.Worker, t.Incarnation)]
	if w == nil {
		return nil
	}
	return w.placements[plat.Ref{Task: ledger.TaskID(name, index), Attempt: t.Attempt}]
}

func (c *Core) drain(e Drain) {
	all := c.incarnations(e.Worker)
	if len(all) == 0 {
		c.emit(Done{Token: e.Token, Reason: "missing", Text: fmt.Sprintf("there is no worker %q", e.Worker)})
		return
	}
	text, op := "draining", ledger.Drain
	if e.Restore {
		text, op = "in use again", ledger.Restore
		c.needsScheduling = true
	}
	c.record(ledger.Record{Op: op, Worker: e.Worker})
	for _, w := range all {
		w.drained = !e.Restore
		if w.drained {
			c.evictAll(w, "drain")
		}
	}
	c.emitCommitted(Done{Token: e.Token, Text: text})
}

// incarnations returns the known incarnations of a worker.
func (c *Core) incarnations(name string) []*worker {
	var out []*worker
	for _, w := range c.ordered {
		if w.name == name {
			out = append(out, w)
		}
	}
	return out
}

// Job is the state of a job as shown to operators.
type Job struct {
	Name     string `json:"name"`
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	State    string `json:"state"`
	Tasks    int    `json:"tasks"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	Done     int    `json:"done"`
	Failed   int    `json:"failed"`
	Lost     int    `json:"lost"`
	Dropped  int    `json:"dropped"`
	Accepted int64  `json:"accepted"`
	Due      int64  `json:"due"`
	Ended    int64  `json:"ended"`
}

// Jobs lists the jobs of the cell by name. A job is shown as ended only once its
// end is committed.
func (c *Core) Jobs() []Job {
	out := make([]Job, 0, len(c.ledger.Jobs))
	uncommitted := c.uncommitted()
	for _, j := range c.ledger.Jobs {
		out = append(out, jobView(j, uncommitted[j.Spec.Name] == 0))
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Job returns one job of the cell, with decisions that are not committed yet.
func (c *Core) Job(name string) (Job, bool) {
	j := c.ledger.Jobs[name]
	if j == nil {
		return Job{}, false
	}
	return jobView(j, true), true
}

func jobView(j *ledger.Job, endCommitted bool) Job {
	v := Job{
		Name:     j.Spec.Name,
		Team:     j.Spec.Team,
		Kind:     j.Spec.Kind,
		State:    "running",
		Tasks:    j.Spec.Tasks,
		Waiting:  j.Waiting(),
		Running:  j.Running(),
		Done:     j.Done,
		Failed:   j.Failed,
		Lost:     j.Lost,
		Dropped:  j.Dropped,
		Accepted: j.Accepted,
		Due:      j.Due(),
	}
	if endCommitted {
		v.Ended = j.Ended
	}
	v.State = stateOf(j, v)
	return v
}

func stateOf(j *ledger.Job, v Job) string {
	switch {
	case v.Ended != 0 && j.Cancelled:
		return "cancelled"
	case v.Ended != 0 && v.Failed+v.Lost > 0:
		return "failed"
	case v.Ended != 0:
		return "done"
	case j.Cancelled:
		return "cancelling"
	case v.Running == 0 && v.Done == 0:
		return "waiting"
	}
	return "running"
}

// Why returns the committed records of a job that are still kept, oldest first.
func (c *Core) Why(name string) ([]ledger.Record, bool) {
	j := c.ledger.Jobs[name]
	if j == nil {
		return nil, false
	}
	history := slices.Clone(committedHistory(j, c.uncommitted()))
	return history, len(history) > 0
}

// committedHistory returns the committed part of a job's history, which a new
// owner would find as well.
func committedHistory(j *ledger.Job, uncommitted map[string]int) []ledger.Record {
	return j.History[:max(0, len(j.History)-uncommitted[j.Spec.Name])]
}

// uncommitted counts for each job the records that are not committed yet. These
// are the newest ones of its history.
func (c *Core) uncommitted() map[string]int {
	out := map[string]int{}
	count := func(all []ledger.Record) {
		for _, r := range all {
			if r.Op != ledger.Drain && r.Op != ledger.Restore {
				out[r.Name]++
			}
		}
	}
	if c.inflight != nil {
		count(c.inflight.Records)
	}
	count(c.pending)
	return out
}

// WhyWorker returns the committed records that concern a worker, oldest first, and
// whether the worker is known.
func (c *Core) WhyWorker(name string) ([]ledger.Record, bool) {
	var out []ledger.Record
	uncommitted := c.uncommitted()
	for _, j := range c.ledger.Jobs {
		for _, r := range committedHistory(j, uncommitted) {
			if r.Worker == name {
				out = append(out, r)
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].At != out[b].At {
			return out[a].At < out[b].At
		}
		return ledger.TaskID(out[a].Name, out[a].Task) < ledger.TaskID(out[b].Name, out[b].Task)
	})
	return out, len(out) > 0 || len(c.incarnations(name)) > 0
}

// Load is the state of one worker as shown to operators. Committed is the sum of
// the sizes of its tasks, and Silent the milliseconds since its last heartbeat.
type Load struct {
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	Size        vect.Size `json:"size"`
	Committed   vect.Size `json:"committed"`
	Tasks       []string  `json:"tasks"`
	Quarantined bool      `json:"quarantined"`
	Draining    bool      `json:"draining"`
	Silent      int64     `json:"silent"`
}

// Loads lists the workers of the cell by name.
func (c *Core) Loads() []Load {
	var out []Load
	for _, w := range c.ordered {
		l := Load{
			Worker:      w.name,
			Incarnation: w.incarnation,
			Size:        w.size,
			Committed:   w.committed,
			Quarantined: c.now < w.blockedUntil,
			Draining:    w.drained || w.leaving,
			Silent:      int64((c.now - w.lastContact) / time.Millisecond),
		}
		for _, p := range w.sorted() {
			if !p.ended {
				l.Tasks = append(l.Tasks, p.Task)
			}
		}
		out = append(out, l)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Worker < out[b].Worker })
	return out
}

// EachLoad calls f for each worker with the sum of the sizes of its tasks and its
// own size, which is zero for a worker that has not reported to this owner yet.
func (c *Core) EachLoad(f func(worker string, committed, size vect.Size)) {
	for _, w := range c.ordered {
		f(w.name, w.committed, w.size)
	}
}

// Term returns the owner's term.
func (c *Core) Term() uint64 { return c.term }

// Configure replaces the limits.
func (c *Core) Configure(l Limits) {
	c.limits = l.withDefaults()
	c.needsScheduling = true
}
