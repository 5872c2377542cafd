// Package traces explains the outcome of a job from the logs of several
// processes.
//
// Each line of a log is an event with its time, its process and its fields. The
// trace of a job holds, in order of time, the lines that name the job or one of
// its tasks, and the lines on owners, the store and the workers of its runs from
// the same period. The cause is derived from the lines of the job: the
// rejection, the failed runs, or the longest waits and the lost runs.
package traces

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"lagoonrack/internal/logs"
)

// Line is one line of a log.
type Line struct {
	// At is the time in seconds: since 1970, or, if the log has a number in front
	// of each line (seconds since the start of a test run), that number.
	At      float64        `json:"at"`
	Process string         `json:"process"`
	Event   int            `json:"event"`
	Text    string         `json:"text"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Trace holds the log lines that concern one job, and its outcome.
type Trace struct {
	Job   string `json:"job"`
	Lines []Line `json:"lines"`
	// Cause says in plain text why the job ended as it did.
	Cause string `json:"cause"`
}

// maxLineLength is the maximum length of a line in bytes; Read returns an error
// for a longer one.
const maxLineLength = 1 << 20

// Read reads a log. It skips lines that are not log events.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// ReadFile reads a log file, or standard input if its name is "-".
func ReadFile(name string) ([]Line, error) {
	if name == "-" {
		return Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// parse reads one line: a JSON object, optionally preceded by a time in seconds
// and a process name. It reports whether the line is a log event.
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
	l := Line{Event: int(event), Text: stringOf(f["msg"]), Process: stringOf(f["process"]), Fields: f}
	if t, err := time.Parse(time.RFC3339Nano, stringOf(f["time"])); err == nil {
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

// stringOf returns v if it is a string, else an empty string.
func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// Field returns the text of a field, or an empty string.
func (l Line) Field(key string) string { return stringOf(l.Fields[key]) }

// Millis returns the duration of the logged step in milliseconds, or 0.
func (l Line) Millis() float64 {
	n, _ := l.Fields["ms"].(float64)
	return n
}

// concerns reports whether a line names the job or one of its tasks.
func (l Line) concerns(job string) bool {
	return l.Field("job") == job || strings.HasPrefix(l.Field("task"), job+".")
}

// contextEvents lists the events that may explain the outcome of a job although
// they do not name it.
var contextEvents = map[int]bool{
	logs.Started.Number: true, logs.Stopping.Number: true, logs.StoreUnavailable.Number: true, logs.StoreUp.Number: true,
	logs.Owned.Number: true, logs.CellLost.Number: true, logs.Released.Number: true,
	logs.WorkerUnresponsive.Number: true, logs.Quarantine.Number: true, logs.WorkerDraining.Number: true, logs.WorkerEnded.Number: true,
	logs.Applied.Number: true,
}

// Of returns the trace of a job, or false if no line names the job.
func Of(all []Line, job string) (Trace, bool) {
	t := Trace{Job: job}
	var own []Line
	workers := map[string]bool{}
	for _, l := range all {
		if l.concerns(job) {
			own = append(own, l)
			workers[l.Field("worker")] = true
		}
	}
	if len(own) == 0 {
		return t, false
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].At-contextLead, own[len(own)-1].At
	t.Lines = slices.Clone(own)
	for _, l := range all {
		w := l.Field("worker")
		if !l.concerns(job) && contextEvents[l.Event] && l.At >= from && l.At <= to && (w == "" || workers[w]) {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	t.Cause = causeOf(own)
	return t, true
}

// contextLead is how long before a job's first line its trace begins to include
// context events, in seconds.
const contextLead = 2

// causeOf derives why a job ended as it did from the lines that name it, in order
// of time.
func causeOf(own []Line) string {
	rejections, accepted, outcomeUnknown := 0, false, false
	reason := ""
	for _, l := range own {
		switch l.Event {
		case logs.Rejected.Number:
			rejections++
			reason = l.Field("reason")
		case logs.Accepted.Number:
			accepted = true
		case logs.OutcomeUnknown.Number:
			outcomeUnknown = true
		}
	}
	if outcomeUnknown && !accepted && len(decisions(own)) == 0 {
		return "an entry could not find out whether it was stored, and no owner took it up in these logs"
	}
	if rejections > 0 && !accepted && len(decisions(own)) == 0 {
		return fmt.Sprintf("refused %s, last because of %q: it never ran", count(rejections, "time"), reason)
	}
	switch {
	case lastOfKind(own, "fail") != nil:
		return failureCause(own)
	case lastOfKind(own, "cancel") != nil || isCancelled(own):
		return "withdrawn by its caller"
	case lastOfKind(own, "complete") != nil:
		return fmt.Sprintf("completed after %s; %s", formatMillis(lastOfKind(own, "complete").Millis()), delays(own))
	}
	return "not ended in these logs; " + delays(own)
}

// isCancelled reports whether an entry stored a cancellation of the job.
func isCancelled(own []Line) bool {
	return slices.ContainsFunc(own, func(l Line) bool { return l.Event == logs.JobCancelled.Number })
}

// decisions returns the lines that log a decision of an owner.
func decisions(own []Line) []Line {
	return slices.DeleteFunc(slices.Clone(own), func(l Line) bool { return l.Field("kind") == "" })
}

// lastOfKind returns the last decision of the given kind, or nil.
func lastOfKind(own []Line, k string) *Line {
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].Field("kind") == k {
			return &own[i]
		}
	}
	return nil
}

// failureCause names the task with the most failures and the workers on which it
// failed.
func failureCause(own []Line) string {
	where := map[string][]string{}
	for _, l := range own {
		if l.Field("kind") == "end" && l.Field("reason") == "failed" {
			where[l.Field("task")] = append(where[l.Field("task")], l.Field("worker"))
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

// maxUnmentionedWait is the longest wait of a task for placement, in milliseconds,
// that a cause does not mention.
const maxUnmentionedWait = 500

// heldTexts says what the reasons mean for which a task is held back although a worker has the
// capacity for it.
var heldTexts = map[string]string{
	"label":    "no worker has the label that it needs",
	"advice":   "the advisor had not allowed a worker yet",
	"refused":  "the advisor refused the workers with the capacity",
	"moving":   "it was to go to a worker that could not take it yet",
	"avoided":  "it had been moved off the only worker that could take it",
	"suspect":  "only workers on which runs had failed could take it",
	"spread":   "the tasks of its step have to be apart",
	"headroom": "latency-critical tasks would have suffered",
	"gang":     "not all members of its gang fitted at a time",
	"zone":     "only workers of evacuated zones had the capacity",
}

// heldText describes the longest time for which a task was held back.
func heldText(l *Line) string {
	reason := l.Field("reason")
	return fmt.Sprintf("task %s was held back for at least %s (%s: %s)", l.Field("task"), formatMillis(l.Millis()), reason, heldTexts[reason])
}

// delays describes what delayed a job: the longest wait of a task for placement, the longest
// one for each reason beside workers with the capacity, and the runs that did not end in success.
func delays(own []Line) string {
	var longest *Line
	held := map[string]*Line{}
	ends := map[string][]string{}
	for i, l := range own {
		switch l.Field("kind") {
		case "place":
			if longest == nil || l.Millis() > longest.Millis() {
				longest = &own[i]
			}
		case "held":
			if h := held[l.Field("reason")]; h == nil || l.Millis() > h.Millis() {
				held[l.Field("reason")] = &own[i]
			}
		case "end", "vanish", "refused", "withdrawn":
			if r := l.Field("reason"); r != "done" {
				what := l.Field("kind") + " " + r
				ends[what] = append(ends[what], l.Field("worker"))
			}
		}
	}
	var parts []string
	if longest != nil && longest.Millis() > maxUnmentionedWait {
		parts = append(parts, fmt.Sprintf("task %s waited %s for a place", longest.Field("task"), formatMillis(longest.Millis())))
	}
	for _, reason := range slices.Sorted(maps.Keys(held)) {
		parts = append(parts, heldText(held[reason]))
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

// count returns a number with its noun, in the plural unless the number is 1.
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprint(n, " ", noun)
}

func formatMillis(ms float64) string { return (time.Duration(ms) * time.Millisecond).String() }

// Print writes a trace as text: the lines in order and then the cause.
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
