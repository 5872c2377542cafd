// Package gaps derives from the logs of several processes how long tasks were not at
// work although they should have been, and why.
//
// Model. A task should be at work from when it can be placed until it has ended, or
// until its job is cancelled. It is at work while at least one of its runs is. Each
// time in between is a gap with one cause: what ended the run before it, or that there
// was none yet. The part of a gap in which no process owned the cell is a gap of its
// own.
package gaps

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/traces"
)

// Gap is a time in which a task was not at work. Times are those of the logs, in seconds.
type Gap struct {
	Queue string  `json:"queue"`
	Job   string  `json:"job"`
	Task  string  `json:"task"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	Cause string  `json:"cause"`
}

// Duration returns the length of the gap in seconds.
func (g Gap) Duration() float64 { return g.To - g.From }

// The causes of gaps. A gap after a run that ended has the cause that the owner gave for
// the end instead.
const (
	// Waiting is the time until a task's first placement.
	Waiting = "waited for a place"
	// Starting is the time from a placement until the run is at work.
	Starting = "start took its time"
	// NoOwner is the time in which no process owned the cell.
	NoOwner = "no owner"
)

// minLength is the length of the shortest gap that counts, in seconds. A start takes some
// milliseconds on the network.
const minLength = 0.05

// Of returns the gaps in the logs, ordered by time. A gap that is still open at the end of
// the logs is left out.
func Of(lines []traces.Line) []Gap {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b traces.Line) int { return cmp.Compare(a.At, b.At) })
	r := reader{jobs: map[string]*job{}, tasks: map[string]*task{}, births: map[string]float64{}}
	for _, l := range lines {
		r.read(l)
	}
	out := r.splitAtOwners()
	slices.SortStableFunc(out, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Task, b.Task))
	})
	return out
}

// InQueue returns the gaps of the jobs of one queue.
func InQueue(all []Gap, queue string) []Gap {
	return slices.DeleteFunc(slices.Clone(all), func(g Gap) bool { return g.Queue != queue })
}

// reader follows the tasks through the lines of the logs.
type reader struct {
	jobs  map[string]*job
	tasks map[string]*task
	// births holds when the newest incarnation of each worker began.
	births map[string]float64
	// ownerless lists the times without an owner. lastDecision is the time of the last
	// line of an owner.
	ownerless    []span
	lastDecision float64
	found        []Gap
}

// span is a time from one second to another.
type span struct{ from, to float64 }

type job struct {
	queue string
	// cancelled says that an entry has stored a cancellation.
	cancelled bool
}

// task is what is known of a task up to the line that was read last.
type task struct {
	// runs holds the runs that were placed and have not ended, and whether each is at
	// work.
	runs map[string]bool
	// away says that no run is at work, since since, because of cause.
	away  bool
	since float64
	cause string
	// moving is why the owner stops the task's run, until that has ended.
	moving string
	done   bool
}

func (r *reader) read(l traces.Line) {
	switch l.Event {
	case logs.Accepted.Number:
		r.job(l.Field("job")).queue = l.Field("queue")
	case logs.JobCancelled.Number:
		r.job(l.Field("job")).cancelled = true
	case logs.WorkerNew.Number:
		r.births[l.Field("worker")] = l.At
	case logs.Owned.Number:
		if len(r.tasks) > 0 {
			r.ownerless = append(r.ownerless, span{r.lastDecision, l.At})
		}
	case logs.Decided.Number:
		r.lastDecision = l.At
		if l.Field("task") != "" {
			r.decision(l)
		}
	}
}

func (r *reader) job(id string) *job {
	j := r.jobs[id]
	if j == nil {
		j = &job{}
		r.jobs[id] = j
	}
	return j
}

// decision follows a task through one decision of an owner.
func (r *reader) decision(l traces.Line) {
	name := l.Field("task")
	t := r.tasks[name]
	if t == nil {
		t = &task{runs: map[string]bool{}, away: true, since: l.At - l.Millis()/1000, cause: Waiting}
		r.tasks[name] = t
	}
	run := fmt.Sprint(l.Fields["run"])
	switch l.Field("kind") {
	case "place", "copy":
		if t.away {
			r.close(name, t, l.At)
			t.since, t.cause = l.At, Starting
		}
		t.runs[run] = false
	case "started":
		if t.away {
			r.close(name, t, l.At)
		}
		t.away, t.runs[run] = false, true
	case "move":
		t.moving = "moved: " + l.Field("reason")
	case "end", "vanish", "refused", "withdrawn":
		r.ended(name, t, l, run)
	}
}

// ended follows a task through the end of one of its runs.
func (r *reader) ended(name string, t *task, l traces.Line, run string) {
	if l.Field("kind") == "end" && !t.runs[run] && t.away && l.Millis() > 0 {
		// The run was at work although no line says so.
		r.close(name, t, l.At-l.Millis()/1000)
		t.away, t.runs[run] = false, true
	}
	worked := t.runs[run]
	delete(t.runs, run)
	if l.Field("kind") == "end" && l.Field("reason") == "done" {
		t.done = true
	}
	for _, other := range t.runs {
		worked = worked && !other
	}
	if !worked || t.away {
		return
	}
	t.away, t.since = true, l.At
	t.cause = cmp.Or(t.moving, "run "+strings.TrimSpace(l.Field("reason")))
	t.moving = ""
	// A worker that began anew had lost its runs by then; how long before is not in the
	// logs.
	if born := r.births[l.Field("worker")]; l.Field("reason") == "reborn" && born > 0 {
		t.since, t.cause = min(born, l.At), "worker lost"
	}
}

// close records the gap of a task that ends at a time.
func (r *reader) close(name string, t *task, at float64) {
	id, _, _ := strings.Cut(name, ".")
	j := r.job(id)
	if t.done || j.cancelled || at-t.since < minLength {
		return
	}
	r.found = append(r.found, Gap{Queue: j.queue, Job: id, Task: name, From: t.since, To: at, Cause: t.cause})
}

// splitAtOwners returns the gaps with their parts without an owner as gaps of their own.
func (r *reader) splitAtOwners() []Gap {
	var out []Gap
	for _, g := range r.found {
		for _, s := range r.ownerless {
			if s.to <= g.From || s.from >= g.To {
				continue
			}
			without := g
			without.From, without.To, without.Cause = max(g.From, s.from), min(g.To, s.to), NoOwner
			if before := g; s.from > g.From {
				before.To = s.from
				out = append(out, before)
			}
			out = append(out, without)
			g.From = without.To
		}
		if g.Duration() >= minLength {
			out = append(out, g)
		}
	}
	return out
}
