package where

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/vect"
)

// newStep returns an answer with one step of three tasks and these workers, in this order: two that
// can take a task, and three that can't.
func newStep(a *Answer) *step {
	s := a.Step("job.0.0")
	s.Tasks, s.Size = 3, vect.Size{Cores: 500, Memory: 16}
	add := func(worker string, freeCores int64, score float64, excluded ...string) {
		c := s.Add(worker)
		c.Free, c.Score, c.Room, c.Excluded = vect.Size{Cores: freeCores}, score, 2, excluded
	}
	add("full", 100, 0.9, "capacity")
	add("second", 2000, 0.4)
	add("gone", 9000, 0.9, "silent", "capacity")
	add("first", 1000, 0.6)
	add("draining", 3000, 0.9, "leaving")
	add("equal", 4000, 0.4)
	return s
}

// TestCutOrdersAndCounts guards against candidates that are cut before they are ordered, counts of
// the candidates that are left instead of all, and room on workers that can't take a task.
func TestCutOrdersAndCounts(t *testing.T) {
	g := NewWithT(t)
	var a Answer
	s := newStep(&a)
	s.Cut(5)
	var names []string
	for _, c := range s.Candidates {
		names = append(names, c.Worker)
		if len(c.Excluded) > 0 {
			g.Expect(c.Room).To(BeZero(), c.Worker)
		}
	}
	g.Expect(names).To(Equal([]string{"first", "second", "equal", "draining", "full"}))
	g.Expect(s.Fitting).To(Equal(3))
	g.Expect(s.Room).To(Equal(6))
	g.Expect(s.Excluded).To(Equal(map[string]int{"capacity": 2, "silent": 1, "leaving": 1}))
	g.Expect(s.reasons()).To(Equal([]string{"capacity", "leaving", "silent"}))
	for _, most := range []int{-1, 0} {
		var a Answer
		s := newStep(&a)
		s.Cut(most)
		g.Expect(s.Candidates).To(BeEmpty())
		g.Expect(s.Fitting).To(Equal(3))
	}
}

// TestStringNamesVerdictAndReasons checks the text for people, also for a reason of which this
// package knows nothing.
func TestStringNamesVerdictAndReasons(t *testing.T) {
	expect := func(name string, a Answer, lines ...string) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := a.String()
			for _, l := range lines {
				g.Expect(text).To(ContainSubstring(l))
			}
			g.Expect(text).To(HaveSuffix("\n"))
			g.Expect(strings.Contains(text, "%!")).To(BeFalse(), text)
		})
	}
	fits := Answer{Job: "job", Owner: "entry-1", Rank: "in time", Ahead: 4, Workers: 6, More: 2, Later: 1}
	newStep(&fits).Cut(2)
	expect("fits", fits, "job job would be accepted; priority 0, in time, 4 ahead of it wait; answered by entry-1\n",
		"3 workers have room for 6 tasks\n", "excluded for capacity: 2\n", "capacity: the worker has less free than a task reserves\n",
		"2 more steps are ready", "1 steps wait for earlier ones")
	none := Answer{Job: "job", Rejected: "full", RetryAfter: 4500}
	s := none.Step("job.0.0")
	s.BestEffort = true
	s.Add("w").Excluded = []string{"unheard-of"}
	s.Cut(1)
	expect("rejected", none, "would be rejected (full); try again in 4.5s", "no worker can take a task now", "HEADROOM",
		"excluded for unheard-of: 1\n", "full: long-running jobs hold", "the owner knows no worker of the service\n")
	gang := Answer{Job: "job", State: "queued"}
	newStep(&gang).Held = "gang"
	gang.Steps[0].Cut(1)
	expect("held", gang, "job job is queued already", "none starts now (gang): 3 workers have room for 6 tasks", "gang: all tasks")
	expect("unknown service", Answer{Job: "job"}, "job job would be accepted\n", "the owner knows no worker of the service\n")
	request := Answer{Service: "torhaus", Owner: "entry-1", Ahead: 2, Workers: 6}
	newStep(&request).Cut(2)
	expect("request", request, "a request of service torhaus would be accepted; 2 ahead of it wait; answered by entry-1\n", "3 workers have 6 free slots\n")
	if text := request.String(); strings.Contains(text, "FREE") || strings.Contains(text, "step") {
		t.Errorf("an answer about a request has columns of jobs:\n%s", text)
	}
}
