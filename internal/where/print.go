package where

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lagoonrack/internal/vect"
)

// texts explains the codes of reasons.
var texts = map[string]string{
	"label":    "the worker does not have the label that the step needs",
	"advice":   "the advisor has not allowed the worker yet; it is asked once the job is accepted",
	"refused":  "the advisor does not allow the worker",
	"moving":   "the task is to go to another worker that it was moved for",
	"avoided":  "the task was moved off the worker moments ago",
	"suspect":  "runs of several jobs have failed on the worker; it gets single runs as probes",
	"spread":   "the step's tasks have to be apart",
	"headroom": "latency-critical tasks on the worker would miss their targets",
	"gang":     "all tasks of the gang have to start together, and there is not enough room",
	"silent":   "the worker or its agent does not answer",
	"leaving":  "the worker is being drained",
	"zone":     "the worker's zone is evacuated, or it is not known whether it is",
	"blocked":  "the worker has just rejected a run",
	"capacity": "the worker has less free than a task reserves",
	"idle":     "the worker's latency-critical tasks leave less processor time idle than a task asks for",
	"near":     "the worker has the label that the step prefers",
	"alone":    "no latency-critical task is on the worker",
	"failed":   "the task has failed or stalled on the worker",
	"beside":   "tasks of the step are on the worker already",
	"full":     "long-running jobs hold what the service does not keep for other work",
	"overload": "the work ahead of the job takes so long that it would end too late to be of use",
	"busy":     "the owner of the cell is behind with its work",
	"queue":    "as many requests wait as may",
	"late":     "the request would not end in time",
	"stopping": "the entry is stopping",
	"service":  "the entry has no such service",
	"ejected":  "several calls in a row have failed there",
	"slots":    "no slot is free there",
	"slow":     "calls take much longer there than elsewhere",
}

// String formats the answer for people.
func (a *Answer) String() string {
	var b strings.Builder
	a.printVerdict(&b)
	for _, s := range a.Steps {
		s.print(&b, a.Service != "")
	}
	if a.More > 0 {
		fmt.Fprintf(&b, "%d more steps are ready and were not evaluated\n", a.More)
	}
	if a.Later > 0 {
		fmt.Fprintf(&b, "%d steps wait for earlier ones\n", a.Later)
	}
	a.printReasons(&b)
	return b.String()
}

// printVerdict prints what admission says and where the job stands among those that wait.
func (a *Answer) printVerdict(b *strings.Builder) {
	what := "job " + a.Job
	if a.Service != "" {
		what = "a request of service " + a.Service
	}
	switch {
	case a.State != "":
		fmt.Fprintf(b, "%s is %s already", what, a.State)
	case a.Rejected != "":
		fmt.Fprintf(b, "%s would be rejected (%s)", what, a.Rejected)
	default:
		fmt.Fprintf(b, "%s would be accepted", what)
	}
	if a.RetryAfter > 0 {
		fmt.Fprintf(b, "; try again in %s", time.Duration(a.RetryAfter)*time.Millisecond)
	}
	switch {
	case a.Rank != "":
		fmt.Fprintf(b, "; priority %d, %s, %d ahead of it wait", a.Priority, a.Rank, a.Ahead)
	case a.Service != "":
		fmt.Fprintf(b, "; %d ahead of it wait", a.Ahead)
	}
	if a.Owner != "" {
		fmt.Fprintf(b, "; answered by %s", a.Owner)
	}
	fmt.Fprintln(b)
	if a.Workers == 0 {
		fmt.Fprintf(b, "%s knows no worker of the service\n", cmp.Or(a.Owner, "the owner"))
	}
}

// print prints a step, or a request, with its candidates.
func (s *step) print(b *strings.Builder, request bool) {
	kind := ""
	if s.BestEffort {
		kind = " on idle processor time"
	}
	if !request {
		fmt.Fprintf(b, "\nstep %s: %d tasks of %s%s\n", s.Name, s.Tasks, s.Size, kind)
	}
	switch {
	case request && s.Fitting > 0:
		fmt.Fprintf(b, "%d workers have %d free slots\n", s.Fitting, s.Room)
	case request:
		fmt.Fprintln(b, "no worker has a free slot")
	case s.Held != "":
		fmt.Fprintf(b, "none starts now (%s): %d workers have room for %d tasks\n", s.Held, s.Fitting, s.Room)
	case s.Fitting > 0:
		fmt.Fprintf(b, "%d workers have room for %d tasks\n", s.Fitting, s.Room)
	default:
		fmt.Fprintln(b, "no worker can take a task now")
	}
	s.printCandidates(b, request)
	for _, r := range s.reasons() {
		fmt.Fprintf(b, "excluded for %s: %d\n", r, s.Excluded[r])
	}
}

// printCandidates prints the table of the candidates.
func (s *step) printCandidates(b *strings.Builder, request bool) {
	if len(s.Candidates) == 0 {
		return
	}
	t := tabwriter.NewWriter(b, 0, 8, 2, ' ', 0)
	fmt.Fprint(t, "WORKER\t")
	if !request {
		fmt.Fprint(t, "ZONE\tRACK\tFREE\t")
	}
	if s.BestEffort {
		fmt.Fprint(t, "IDLE\tHEADROOM\tMARGIN\t")
	}
	fmt.Fprintln(t, "ROOM\tSCORE\tFOR\tAGAINST\tEXCLUDED")
	for _, c := range s.Candidates {
		fmt.Fprintf(t, "%s\t", c.Worker)
		if !request {
			fmt.Fprintf(t, "%s\t%s\t%s\t", list(c.Zone), list(c.Rack), brief(c.Free))
		}
		if s.BestEffort {
			fmt.Fprintf(t, "%.1f\t%.2f\t%.2f\t", float64(c.Idle)/1000, c.Headroom, c.Margin)
		}
		fmt.Fprintf(t, "%d\t%.2f\t%s\t%s\t%s\n", c.Room, c.Score, list(c.For...), list(c.Against...), list(c.Excluded...))
	}
	// A strings.Builder takes all that is written to it.
	_ = t.Flush()
}

// printReasons explains the reasons that occur in the answer.
func (a *Answer) printReasons(b *strings.Builder) {
	var used []string
	add := func(codes ...string) {
		for _, r := range codes {
			if texts[r] != "" && !slices.Contains(used, r) {
				used = append(used, r)
			}
		}
	}
	add(a.Rejected)
	for _, s := range a.Steps {
		add(s.Held)
		add(s.reasons()...)
		for _, c := range s.Candidates {
			add(c.For...)
			add(c.Against...)
		}
	}
	if len(used) > 0 {
		fmt.Fprintln(b)
	}
	for _, r := range used {
		fmt.Fprintf(b, "%s: %s\n", r, texts[r])
	}
}

// brief formats a size for a table.
func brief(s vect.Size) string {
	out := fmt.Sprintf("%.4g cores %d MiB", float64(s.Cores)/1000, s.Memory)
	if s.Accel > 0 {
		out += fmt.Sprintf(" %d accel", s.Accel)
	}
	return out
}

// list joins codes for a table; a dash means none.
func list(codes ...string) string {
	if s := strings.Join(codes, ","); s != "" {
		return s
	}
	return "-"
}
