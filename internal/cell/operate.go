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

// submit accepts a job, once for each name.
func (c *Core) submit(e Submit) {
	if c.leaving {
		c.emit(Done{Token: e.Token, Reason: "leaving", Text: "the cell is being handed over; try again"})
		return
	}
	if old := c.led.Jobs[e.Job.Name]; old != nil {
		c.resubmit(e, old)
		return
	}
	if reason, text := c.never(e); reason != "" {
		c.emit(Done{Token: e.Token, Reason: reason, Text: text})
		return
	}
	job := e.Job
	c.record(ledger.Record{Op: ledger.Submit, Name: job.Name, Job: &job})
	c.after(Done{Token: e.Token, Text: "accepted"})
	c.queue(c.led.Jobs[job.Name])
}

func (c *Core) resubmit(e Submit, old *ledger.Job) {
	if !reflect.DeepEqual(old.Spec, e.Job) {
		c.emit(Done{Token: e.Token, Reason: "conflict", Text: "another job has this name"})
		return
	}
	c.after(Done{Token: e.Token, Text: "accepted before"})
}

// never returns why a job can never run, or an empty reason.
func (c *Core) never(e Submit) (reason, text string) {
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
	case !within(j.Size.Cores, quota.Cores) || !within(j.Size.Memory, quota.Memory) || !within(j.Size.Accel, quota.Accel):
		return "quota", fmt.Sprintf("size: one task needs %s, more than the quota of team %s", j.Size, j.Team)
	}
	return c.tooLarge(e)
}

func (c *Core) tooLarge(e Submit) (reason, text string) {
	spare := c.limits.Spare
	if e.Job.Urgent {
		spare = 0
	}
	for _, s := range c.limits.Largest {
		w := worker{size: s}
		if e.Job.Size.Fits(w.room(spare)) {
			return "", ""
		}
	}
	if len(c.limits.Largest) == 0 {
		return "", ""
	}
	return "size", fmt.Sprintf("size: one task needs %s, more than any worker gives", e.Job.Size)
}

// cancel withdraws a job. Tasks that run are stopped.
func (c *Core) cancel(e Cancel) {
	j := c.led.Jobs[e.Name]
	if j == nil {
		c.emit(Done{Token: e.Token, Reason: "missing", Text: fmt.Sprintf("there is no job %q", e.Name)})
		return
	}
	if !c.record(ledger.Record{Op: ledger.Cancel, Name: e.Name}) {
		c.after(Done{Token: e.Token, Text: "it has ended or was cancelled before"})
		return
	}
	c.backlog.remove(e.Name)
	for _, i := range j.OpenIndexes() {
		if p := c.running(e.Name, i, j.Open[i]); p != nil {
			p.stop = "cancelled"
			p.save = false
			c.press(p)
		}
	}
	c.after(Done{Token: e.Token, Text: "cancelled"})
}

func (c *Core) running(name string, index int, t *ledger.Task) *place {
	w := c.workers[key(t.Worker, t.Incarnation)]
	if w == nil {
		return nil
	}
	return w.places[plat.Ref{Task: ledger.TaskID(name, index), Attempt: t.Attempt}]
}

func (c *Core) drain(e Drain) {
	all := c.starts(e.Worker)
	if len(all) == 0 {
		c.emit(Done{Token: e.Token, Reason: "missing", Text: fmt.Sprintf("there is no worker %q", e.Worker)})
		return
	}
	text, op := "draining", ledger.Drain
	if e.Off {
		text, op = "in use again", ledger.Restore
		c.dirty = true
	}
	c.record(ledger.Record{Op: op, Worker: e.Worker})
	for _, w := range all {
		w.drained = !e.Off
		if w.drained {
			c.empty(w, "drain")
		}
	}
	c.after(Done{Token: e.Token, Text: text})
}

// starts returns the known starts of a worker.
func (c *Core) starts(name string) []*worker {
	var out []*worker
	for _, w := range c.list {
		if w.name == name {
			out = append(out, w)
		}
	}
	return out
}

// Job is what an operator sees of a job.
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

// Jobs lists the jobs of the cell by name. A job counts as ended once its end
// is committed.
func (c *Core) Jobs() []Job {
	out := make([]Job, 0, len(c.led.Jobs))
	unsettled := c.unsettled()
	for _, j := range c.led.Jobs {
		out = append(out, view(j, unsettled[j.Spec.Name] == 0))
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Job returns one job of the cell as decided, even if that is not committed
// yet.
func (c *Core) Job(name string) (Job, bool) {
	j := c.led.Jobs[name]
	if j == nil {
		return Job{}, false
	}
	return view(j, true), true
}

func view(j *ledger.Job, settled bool) Job {
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
	if settled {
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

// Why returns the committed records that explain a job, oldest first.
func (c *Core) Why(name string) ([]ledger.Record, bool) {
	j := c.led.Jobs[name]
	if j == nil {
		return nil, false
	}
	notes := slices.Clone(settled(j, c.unsettled()))
	return notes, len(notes) > 0
}

// settled returns the notes of a job that a successor of this owner would find.
func settled(j *ledger.Job, unsettled map[string]int) []ledger.Record {
	return j.History[:max(0, len(j.History)-unsettled[j.Spec.Name])]
}

// unsettled counts for each job its newest records that no committed page holds
// yet.
func (c *Core) unsettled() map[string]int {
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
	count(c.draft)
	return out
}

// WhyWorker returns the committed records that concern a worker, oldest first.
func (c *Core) WhyWorker(name string) ([]ledger.Record, bool) {
	var out []ledger.Record
	unsettled := c.unsettled()
	for _, j := range c.led.Jobs {
		for _, r := range settled(j, unsettled) {
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
	return out, len(out) > 0 || len(c.starts(name)) > 0
}

// Load is what is committed on one worker.
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
	for _, w := range c.list {
		l := Load{
			Worker:      w.name,
			Incarnation: w.incarnation,
			Size:        w.size,
			Committed:   w.committed,
			Quarantined: c.now < w.blocked,
			Draining:    w.drained || w.leaving,
			Silent:      int64((c.now - w.heard) / time.Millisecond),
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

// EachLoad calls f with what is committed on each worker, and its size; the
// size is zero for a worker that was not heard yet.
func (c *Core) EachLoad(f func(worker string, committed, size vect.Size)) {
	for _, w := range c.list {
		f(w.name, w.committed, w.size)
	}
}

// Term returns the owner's term.
func (c *Core) Term() uint64 { return c.term }

// Configure replaces the limits.
func (c *Core) Configure(l Limits) {
	c.limits = l.withDefaults()
	c.dirty = true
}
