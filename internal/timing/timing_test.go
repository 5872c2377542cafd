package timing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/work"
)

// tasks returns a step of tasks that declare a run time.
func tasks(count int, declared time.Duration) *work.Step {
	return &work.Step{Count: count, Estimate: declared.Milliseconds()}
}

// TestDeclaredRunTimeCountsUntilLearned guards against estimates from too few observations, and
// against declared run times that are believed although those of the queue were always wrong.
func TestDeclaredRunTimeCountsUntilLearned(t *testing.T) {
	g := NewWithT(t)
	var x Table
	s := tasks(1, time.Second)
	expect := func(queue string, usual, long time.Duration) {
		t.Helper()
		u, l := x.Estimate(queue, s)
		g.Expect(u).To(BeNumerically("~", usual, usual/10))
		g.Expect(l).To(BeNumerically("~", long, long/10))
	}
	expect("q", time.Second, 1800*time.Millisecond)
	x.Add(0, "q", s, 3*time.Second)
	x.Add(0, "q", s, 0)
	expect("q", time.Second, 1800*time.Millisecond)
	for range 200 {
		x.Add(0, "q", s, 3*time.Second)
	}
	expect("q", 3*time.Second, 3*time.Second)
	expect("other", time.Second, 1800*time.Millisecond)
	// The geometric mean of what the queue's tasks took and what this one declares, corrected.
	s = tasks(1, 4*time.Second)
	expect("q", 6*time.Second, 6*time.Second)
	s = tasks(1, 0)
	expect("q", 3*time.Second, 3*time.Second)
}

// TestLongestGrowsWithTheNumberOfTasks guards against wide steps that are expected to end with their
// median task.
func TestLongestGrowsWithTheNumberOfTasks(t *testing.T) {
	g := NewWithT(t)
	var x Table
	g.Expect(x.Longest("q", tasks(1, time.Second))).To(Equal(time.Second))
	g.Expect(x.Longest("q", tasks(4, time.Second))).To(Equal(1400 * time.Millisecond))
	g.Expect(x.Longest("q", tasks(7, time.Second))).To(Equal(1800 * time.Millisecond))
	g.Expect(x.Longest("q", tasks(70, time.Second))).To(Equal(1800 * time.Millisecond))
}

// TestOldestQueueIsForgotten guards against a table that grows with the number of queues that ever
// were, and against a forgotten queue whose stored record stays.
func TestOldestQueueIsForgotten(t *testing.T) {
	g := NewWithT(t)
	var x Table
	s := tasks(1, time.Second)
	for i := range maxQueues {
		x.Add(time.Duration(i+1), fmt.Sprint("q", i), s, time.Second)
	}
	x.Add(maxQueues+1, "q0", s, time.Second)
	g.Expect(x.Changed()).To(HaveLen(maxQueues))
	g.Expect(x.Changed()).To(BeEmpty())
	x.Add(maxQueues+2, "new", s, time.Second)
	g.Expect(x.Changed()).To(Equal([]string{"new", "q1"}))
	_, ok := x.Times("q1")
	g.Expect(ok).To(BeFalse())
	v, ok := x.Times("q0")
	g.Expect(ok).To(BeTrue())
	var other Table
	other.Set("q0", v)
	g.Expect(other.Changed()).To(Equal([]string{"q0"}))
}
