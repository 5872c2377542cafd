// Package where holds and formats the explanation of where the tasks of a job, or a request, would
// go now: for each step the candidate workers with what speaks for and against each, and what
// admission says.
//
// Reasons are short codes, such as "capacity". Whoever fills in an Answer decides which apply;
// this package only counts, orders and prints them. A code without an entry in texts is printed
// without an explanation, so that a new reason needs no change here.
package where

import (
	"cmp"
	"maps"
	"slices"

	"lagoonrack/internal/vect"
)

// Answer explains where the tasks of a job would go. The zero value has no steps.
type Answer struct {
	// Job is the name of the job. An answer about a request has the name of a service instead,
	// and a single step whose candidates have slots instead of a capacity.
	Job     string `json:"job,omitempty"`
	Service string `json:"service,omitempty"`
	// Owner is the name of the entry that owns the cell and has given the answer, or
	// that of the entry that answers for itself about a request.
	Owner string `json:"owner"`
	// State is the state of the job if the owner knows it, and otherwise empty. In that case
	// the answer is about a job that is submitted now.
	State string `json:"state,omitempty"`
	// Rejected is why the job would not be accepted, or empty. RetryAfter is when it should be
	// submitted again, in milliseconds from now.
	Rejected   string `json:"rejected,omitempty"`
	RetryAfter int64  `json:"retryAfterMs,omitempty"`
	// Priority is that of the job's queue, and Rank its order within the priority. Ahead is the
	// number of occurrences of jobs with waiting tasks, or of requests, that come first.
	Priority int    `json:"priority"`
	Rank     string `json:"rank,omitempty"`
	Ahead    int    `json:"ahead"`
	// Workers is the number of workers of the job's service.
	Workers int `json:"workers"`
	// Steps holds the steps that were evaluated. More counts the others that are ready and
	// have waiting tasks, and Later those that wait for earlier steps.
	Steps []*step `json:"steps"`
	More  int     `json:"more,omitempty"`
	Later int     `json:"later,omitempty"`
}

// step is a step that is ready to run.
type step struct {
	Name string `json:"name"`
	// Tasks is the number of tasks that need a place, and Size what one of them asks for.
	Tasks int       `json:"tasks"`
	Size  vect.Size `json:"size"`
	// BestEffort says that the tasks use processor time that others leave idle.
	BestEffort bool `json:"bestEffort,omitempty"`
	// Fitting is the number of workers that can take a task now, and Room the number of tasks
	// that all of them can take. Room doesn't count how the tasks affect one another.
	Fitting int `json:"fitting"`
	Room    int `json:"room"`
	// Held is why no task starts although workers can take some, or empty.
	Held string `json:"held,omitempty"`
	// Excluded counts the workers that can't take a task, by each reason for that. A worker
	// with several reasons counts for each.
	Excluded map[string]int `json:"excluded,omitempty"`
	// Candidates holds the workers in the order of preference.
	Candidates []*candidate `json:"candidates"`
}

// candidate is a worker of the job's service.
type candidate struct {
	Worker string `json:"worker"`
	Zone   string `json:"zone,omitempty"`
	Rack   string `json:"rack,omitempty"`
	// Free is the capacity that is not reserved.
	Free vect.Size `json:"free"`
	// Idle is the processor time, in thousandths of a core, that is left for best-effort tasks,
	// Headroom what the latency-critical tasks on the worker would have left beside one more
	// task, and Margin the headroom that the task has to leave. They are set for best-effort
	// tasks only.
	Idle     int64   `json:"idle,omitempty"`
	Headroom float64 `json:"headroom,omitempty"`
	Margin   float64 `json:"margin,omitempty"`
	// Room is the number of the step's tasks that the worker can take now.
	Room int `json:"room"`
	// Score orders the workers that can take a task; the highest comes first.
	Score float64 `json:"score"`
	// Excluded lists the reasons for which the worker can't take a task, Against those that
	// only speak against it, and For those that speak for it.
	Excluded []string `json:"excluded,omitempty"`
	Against  []string `json:"against,omitempty"`
	For      []string `json:"for,omitempty"`
}

// Step adds a step. Its fields are set by the caller, except for those that Add and Cut set.
func (a *Answer) Step(name string) *step {
	s := &step{Name: name}
	a.Steps = append(a.Steps, s)
	return s
}

// Add adds a candidate whose fields are set by the caller before Cut is called. Candidates that
// are equally good are added in the order of preference.
func (s *step) Add(worker string) *candidate {
	c := &candidate{Worker: worker}
	s.Candidates = append(s.Candidates, c)
	return c
}

// Cut counts the candidates, puts them in the order of preference and keeps at most the given
// number of them.
func (s *step) Cut(most int) {
	for _, c := range s.Candidates {
		if len(c.Excluded) == 0 {
			s.Fitting++
			s.Room += c.Room
			continue
		}
		c.Room = 0
		for _, r := range c.Excluded {
			if s.Excluded == nil {
				s.Excluded = map[string]int{}
			}
			s.Excluded[r]++
		}
	}
	slices.SortStableFunc(s.Candidates, compare)
	s.Candidates = slices.Clip(slices.Clone(s.Candidates[:min(max(0, most), len(s.Candidates))]))
}

// compare orders candidates: first those that can take a task, by their scores, then those with
// the fewest reasons against it, and of these the ones with the most free processor time.
func compare(a, b *candidate) int {
	if n := cmp.Compare(len(a.Excluded), len(b.Excluded)); n != 0 {
		return n
	}
	if len(a.Excluded) == 0 {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(b.Free.Cores, a.Free.Cores)
}

// reasons returns the codes of the reasons that exclude workers, the most frequent first.
func (s *step) reasons() []string {
	return slices.SortedFunc(maps.Keys(s.Excluded), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Excluded[b], s.Excluded[a]), cmp.Compare(a, b))
	})
}
