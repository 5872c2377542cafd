package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/race"
	"lagoonrack/internal/unit"
)

// shortDay returns the experiment in experiments/day.yaml, limited to jobs that
// arrive in the first half hour.
func shortDay(t *testing.T) Config {
	t.Helper()
	c, err := Read("../../experiments/day.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c.For, c.Fails = unit.Duration(30*time.Minute), unit.Duration(15*time.Minute)
	return c
}

// TestDayTarget checks the target for deadlines: of the deadlines that the oracle
// meets, the cell meets at least 99%, although one worker fails all of its tasks
// from the middle of the experiment on.
func TestDayTarget(t *testing.T) {
	if race.Enabled || testing.Short() {
		t.Skip("the same run without the race detector gives the verdict")
	}
	c := shortDay(t)
	oracle := run(c, policyOracle, 0.95, 1)
	o := run(c, policyCell, 0.95, 1)
	g := NewWithT(t)
	g.Expect(oracle.Jobs).To(BeNumerically(">", 500))
	g.Expect(o.Jobs).To(Equal(oracle.Jobs), "every job ends")
	g.Expect(sharedDeadlines(o, oracle)).To(BeNumerically(">=", 0.99))
	g.Expect(o.Violations).To(BeEmpty())
	g.Expect(float64(o.Pages)/o.LastEnd.Seconds()).To(BeNumerically("<", 4), "the owner's heartbeat adds one write a second to those of the pages")
}

// TestRunIsReproducible checks that two runs with the same seed have the same
// outcome.
func TestRunIsReproducible(t *testing.T) {
	c := shortDay(t)
	c.For, c.Fails = unit.Duration(2*time.Minute), 0
	c.Loads = []float64{0.5}
	a, b := run(c, policyCell, 0.5, 7), run(c, policyCell, 0.5, 7)
	g := NewWithT(t)
	g.Expect(a.LastEnd).To(Equal(b.LastEnd))
	g.Expect(a.Pages).To(Equal(b.Pages))
	g.Expect(a.Evictions).To(Equal(b.Evictions))
}
