package trial

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/race"
	"lagoonrack/internal/unit"
)

// site is Burgwacht's size with the users' delays.
func site() Config {
	return Config{
		Name: "target", Minions: 10, Slots: 8, Spare: 2, Push: 1, Zones: 3, Tries: 1,
		Near: unit.Duration(100 * time.Microsecond), Far: unit.Duration(time.Millisecond),
		Median: unit.Duration(10 * time.Millisecond), Sigma: 0.5, Long: 0.02, Factor: 30,
		Warm: unit.Duration(5 * time.Second), For: unit.Duration(25 * time.Second), Timeout: unit.Duration(4 * time.Second),
	}
}

func skipSlow(t *testing.T) {
	if race.Enabled || testing.Short() {
		t.Skip("the same run without the race detector gives the verdict")
	}
}

// TestSteadyTarget holds short requests to the users' target: within a tenth of
// the limit, plus the round trip.
func TestSteadyTarget(t *testing.T) {
	skipSlow(t)
	c := site()
	for _, load := range []float64{0.7, 0.9} {
		limit := runLimit(c, false, load, 1)
		for _, entries := range []int{2, 4} {
			o := runLate(c, entries, load, 1)
			g := NewWithT(t)
			for _, q := range []float64{99, 99.9} {
				g.Expect(o.Quantile(q)).To(BeNumerically("<=", limit.Quantile(q)*11/10+c.roundTrip()),
					"quantile %g at load %g with %d entries", q, load, entries)
			}
			g.Expect(o.Bad).To(BeEmpty())
		}
	}
}

// TestCrestTarget holds the answers in time at a crest to 95% of the limit's,
// and the recovery to three seconds.
func TestCrestTarget(t *testing.T) {
	skipSlow(t)
	c := site()
	c.Timeout, c.Tries, c.Crest = unit.Duration(500*time.Millisecond), 3, 2
	c.Rise, c.Hold, c.For = unit.Duration(2*time.Second), unit.Duration(10*time.Second), unit.Duration(10*time.Second)
	limit := runLimit(c, false, 0.3, 1)
	for _, entries := range []int{2, 4} {
		o := runLate(c, entries, 0.3, 1)
		g := NewWithT(t)
		g.Expect(o.Good).To(BeNumerically(">=", limit.Good*95/100))
		g.Expect(recovery(c, o)).To(BeElementOf("0 s", "1 s", "2 s", "3 s"))
		g.Expect(o.Bad).To(BeEmpty())
	}
}

// TestFaultTarget holds the loss of goodput to the share of capacity lost.
func TestFaultTarget(t *testing.T) {
	skipSlow(t)
	for _, kind := range []string{"slow", "refuse", "pause"} {
		t.Run(kind, func(t *testing.T) {
			c := site()
			c.Timeout = unit.Duration(500 * time.Millisecond)
			c.Fault = Fault{Kind: kind, At: unit.Duration(10 * time.Second), For: unit.Duration(5 * time.Second), Factor: 10}
			limit := runLimit(c, false, 0.7, 1)
			o := runLate(c, 2, 0.7, 1)
			lost := float64(c.Fault.For) / float64(c.For) / float64(c.Minions)
			g := NewWithT(t)
			g.Expect(share(o.Good, o.Sent)).To(BeNumerically(">=", share(limit.Good, limit.Sent)-lost))
			g.Expect(o.Bad).To(BeEmpty())
		})
	}
}
