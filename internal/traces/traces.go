// Package traces explains from the logs of several processes what became of a
// job.
//
// Model. Each line of a log is an event with its time, its process and the
// fields of the catalogue. A trace holds the lines that name the job or one of
// its tasks, and those on owners, stores and the workers concerned while the
// job was under way, in order of time. The cause is worked out from them: the
// refusal, the failed runs, or what took the longest.
package traces

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lagoonrack/internal/logs"
)

// Line is one line of a log.
type Line struct {
	// At is the time in seconds: since 1970, or since the start of a run whose
	// log says so in front of each line.
	At      float64        `json:"at"`
	Process string         `json:"process"`
	Event   int            `json:"event"`
	Text    string         `json:"text"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Trace is what the logs say of one job.
type Trace struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Cause says in words why the job ended as it did.
	Cause string `json:"cause"`
}

// lineLimit bounds one line of a log.
const lineLimit = 1 << 20

// Read reads a log. Lines of another form are passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineLimit)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// parse reads one line: a JSON object, with a time and a name before it or not.
func parse(text string) (Line, bool) {
	head, body, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var f map[string]any
	if err := json.Unmarshal([]byte("{"+body), &f); err != nil {
		return Line{}, false
	}
	event, ok := f["event"].(float64)
	if !ok {
		return Line{}, false
	}
	l := Line{Event: int(event), Text: word(f["msg"]), Process: word(f["process"]), Fields: f}
	if t, err := time.Parse(time.RFC3339Nano, word(f["time"])); err == nil {
		l.At = float64(t.UnixMicro()) / 1e6
	}
	if words := strings.Fields(head); len(words) > 0 {
		if at, err := strconv.ParseFloat(words[0], 64); err == nil {
			l.At = at
		}
	}
	for _, k := range []string{"event", "msg", "process", "time", "level"} {
		delete(f, k)
	}
	return l, true
}

func word(v any) string {
	s, _ := v.(string)
	return s
}

func (l Line) field(key string) string { return word(l.Fields[key]) }

// took is how long the step took that the line tells of, in milliseconds.
func (l Line) took() float64 {
	n, _ := l.Fields["ms"].(float64)
	return n
}

// about reports whether a line names a job or one of its tasks.
func (l Line) about(job string) bool {
	return l.field("job") == job || strings.HasPrefix(l.field("task"), job+".")
}

// context lists the events that may explain a job beside its own.
var context = map[int]bool{
	logs.Started.Number: true, logs.Stopping.Number: true, logs.StoreAway.Number: true, logs.StoreUp.Number: true,
	logs.Owned.Number: true, logs.Deposed.Number: true, logs.Released.Number: true,
	logs.WorkerGone.Number: true, logs.Quarantine.Number: true, logs.WorkerLeaves.Number: true, logs.WorkerEnded.Number: true,
	logs.Applied.Number: true,
}

// Of returns the trace of a job, or false if no line names it.
func Of(all []Line, job string) (Trace, bool) {
	t := Trace{Job: job}
	var own []Line
	workers := map[string]bool{}
	for _, l := range all {
		if l.about(job) {
			own = append(own, l)
			workers[l.field("worker")] = true
		}
	}
	if len(own) == 0 {
		return t, false
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].At-lead, own[len(own)-1].At
	t.Lines = slices.Clone(own)
	for _, l := range all {
		w := l.field("worker")
		if !l.about(job) && context[l.Event] && l.At >= from && l.At <= to && (w == "" || workers[w]) {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	t.Cause = cause(own)
	return t, true
}

// lead is how many seconds before a job's first line its context begins.
const lead = 2

// cause works out why a job ended as it did.
func cause(own []Line) string {
	refusals, accepted, doubt := 0, false, false
	reason := ""
	for _, l := range own {
		switch l.Event {
		case logs.Rejected.Number:
			refusals++
			reason = l.field("reason")
		case logs.Accepted.Number:
			accepted = true
		case logs.Doubtful.Number:
			doubt = true
		}
	}
	if doubt && !accepted && len(steps(own)) == 0 {
		return "an entry could not find out whether it was stored, and no owner took it up in these logs"
	}
	if refusals > 0 && !accepted && len(steps(own)) == 0 {
		return fmt.Sprintf("refused %s, last because of %q: it never ran", count(refusals, "time"), reason)
	}
	switch {
	case kind(own, "fail") != nil:
		return failed(own)
	case kind(own, "cancel") != nil || withdrawn(own):
		return "withdrawn by its caller"
	case kind(own, "complete") != nil:
		return fmt.Sprintf("completed after %s; %s", span(kind(own, "complete").took()), slowest(own))
	}
	return "not ended in these logs; " + slowest(own)
}

func withdrawn(own []Line) bool {
	return slices.ContainsFunc(own, func(l Line) bool { return l.Event == logs.Withdrawn.Number })
}

func steps(own []Line) []Line {
	return slices.DeleteFunc(slices.Clone(own), func(l Line) bool { return l.field("kind") == "" })
}

// kind returns the last decision of a kind, or nil.
func kind(own []Line, k string) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].field("kind") == k {
			return &own[i]
		}
	}
	return nil
}

// failed names the task that failed too often, and where.
func failed(own []Line) string {
	where := map[string][]string{}
	for _, l := range own {
		if l.field("kind") == "end" && l.field("reason") == "failed" {
			where[l.field("task")] = append(where[l.field("task")], l.field("worker"))
		}
	}
	worst := ""
	for _, t := range slices.Sorted(maps.Keys(where)) {
		if worst == "" || len(where[t]) > len(where[worst]) {
			worst = t
		}
	}
	if worst == "" {
		return "given up: a task failed too often, under an earlier owner"
	}
	return fmt.Sprintf("given up: task %s failed %s, on %s", worst, count(len(where[worst]), "time"), strings.Join(where[worst], ", "))
}

// shortWait is the wait for a place, in milliseconds, that needs no mention.
const shortWait = 500

// slowest tells what kept a job most: waits for a place, lost and moved runs.
func slowest(own []Line) string {
	var longest *Line
	ends := map[string][]string{}
	for i, l := range own {
		switch l.field("kind") {
		case "place":
			if longest == nil || l.took() > longest.took() {
				longest = &own[i]
			}
		case "end", "vanish", "refused":
			if r := l.field("reason"); r != "done" {
				what := l.field("kind") + " " + r
				ends[what] = append(ends[what], l.field("worker"))
			}
		}
	}
	var parts []string
	if longest != nil && longest.took() > shortWait {
		parts = append(parts, fmt.Sprintf("task %s waited %s for a place", longest.field("task"), span(longest.took())))
	}
	for _, k := range slices.Sorted(maps.Keys(ends)) {
		runs := count(len(ends[k]), "run")
		slices.Sort(ends[k])
		parts = append(parts, fmt.Sprintf("%s: %s, on %s", runs, k, strings.Join(slices.Compact(ends[k]), ", ")))
	}
	if len(parts) == 0 {
		return "no wait, no run was lost"
	}
	return strings.Join(parts, "; ")
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprint(n, " ", noun)
}

func span(ms float64) string { return (time.Duration(ms) * time.Millisecond).String() }

// Print writes a trace in words.
func (t Trace) Print(w io.Writer) {
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%12.3f  %-24s %d %s", l.At, l.Process, l.Event, l.Text)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(w, "  %s=%v", k, l.Fields[k])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "cause: %s\n", t.Cause)
}
