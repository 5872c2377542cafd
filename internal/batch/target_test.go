package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/race"
	"lagoonrack/internal/unit"
)

// day is the first part of experiments/day.yaml.
func day(t *testing.T) Config {
	t.Helper()
	c, err := Read("../../experiments/day.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c.For, c.Fails = unit.Duration(30*time.Minute), unit.Duration(15*time.Minute)
	return c
}

// TestDayTarget holds the deadlines met to 99% of those that the policy meets
// which knows the true run times, with one worker failing everything.
func TestDayTarget(t *testing.T) {
	if race.Enabled || testing.Short() {
		t.Skip("the same run without the race detector gives the verdict")
	}
	c := day(t)
	knows := run(c, knowing, 0.95, 1)
	o := run(c, learning, 0.95, 1)
	g := NewWithT(t)
	g.Expect(knows.Jobs).To(BeNumerically(">", 500))
	g.Expect(o.Jobs).To(Equal(knows.Jobs), "every job ends")
	g.Expect(both(o, knows)).To(BeNumerically(">=", 0.99))
	g.Expect(o.Bad).To(BeEmpty())
	g.Expect(float64(o.Pages)/o.End.Seconds()).To(BeNumerically("<", 4), "a head a second is added to the pages")
}

// TestSameSeedSameRun shows that a seed reproduces a run.
func TestSameSeedSameRun(t *testing.T) {
	c := day(t)
	c.For, c.Fails = unit.Duration(2*time.Minute), 0
	c.Loads = []float64{0.5}
	a, b := run(c, learning, 0.5, 7), run(c, learning, 0.5, 7)
	g := NewWithT(t)
	g.Expect(a.End).To(Equal(b.End))
	g.Expect(a.Pages).To(Equal(b.Pages))
	g.Expect(a.Evictions).To(Equal(b.Evictions))
}
