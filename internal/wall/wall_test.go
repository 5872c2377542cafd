package wall

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	day = 1_000_000 * time.Hour
	// interval is the time between two reports of a machine.
	interval = 100 * time.Millisecond
)

// reports is a clock that gets the reports of five machines.
type reports struct {
	Clock
	now time.Duration
	// offset is how far each machine's clock is ahead of the true time.
	offset [5]time.Duration
}

// advance lets all machines report for a time.
func (r *reports) advance(d time.Duration) {
	for until := r.now + d; r.now < until; {
		r.now += interval
		for i, x := range r.offset {
			r.Add(r.now, fmt.Sprint(i), day+x)
		}
	}
}

// expectOffset expects the estimate near the true time plus an offset.
func (r *reports) expectOffset(g *WithT, offset time.Duration) {
	got, ok := r.At(r.now)
	g.Expect(ok).To(BeTrue())
	g.Expect(got - r.now - day).To(BeNumerically("~", offset, time.Millisecond))
}

// TestNeedsSeveralMachines guards against a time of day by one machine's clock while others may
// still report.
func TestNeedsSeveralMachines(t *testing.T) {
	g := NewWithT(t)
	var c Clock
	known := func() bool {
		_, ok := c.Offset()
		return ok
	}
	c.Add(0, "a", day)
	c.Add(0, "b", day)
	g.Expect(known()).To(BeFalse())
	c.Add(time.Second, "a", day)
	g.Expect(known()).To(BeTrue(), "no more machines have reported in a second")
	c = Clock{}
	for _, m := range []string{"a", "b", "c"} {
		c.Add(0, m, day)
	}
	g.Expect(known()).To(BeTrue())
	c = Clock{}
	c.Restore(day)
	g.Expect(known()).To(BeTrue())
}

// TestJumpsCountOnlyIfTheyLast guards against an estimate that moves when most clocks jump for less
// than a minute, and against one that never follows a correction of the clocks.
func TestJumpsCountOnlyIfTheyLast(t *testing.T) {
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		g := NewWithT(t)
		var r reports
		r.advance(time.Second)
		r.offset = [5]time.Duration{by, by, by, by, 0}
		r.advance(50 * time.Second)
		r.expectOffset(g, 0)
		r.advance(20 * time.Second)
		r.expectOffset(g, by)
	}
}

// TestSmallDifferencesAreFollowedSlowly guards against an estimate that jumps, or never corrects its
// drift.
func TestSmallDifferencesAreFollowedSlowly(t *testing.T) {
	g := NewWithT(t)
	var r reports
	r.advance(time.Second)
	for i := range r.offset {
		r.offset[i] = 100 * time.Millisecond
	}
	r.advance(2 * time.Second)
	r.expectOffset(g, 10*time.Millisecond)
	r.advance(30 * time.Second)
	r.expectOffset(g, 100*time.Millisecond)
}
