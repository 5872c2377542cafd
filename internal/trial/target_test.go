package trial

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/race"
	"lagoonrack/internal/unit"
)

// tenMinionConfig is an experiment with 10 minions of 8 slots each in three
// availability zones and with the network delays of production.
func tenMinionConfig() Config {
	return Config{
		Name: "target", Minions: 10, Slots: 8, Spare: 2, Push: 1, Zones: 3, Tries: 1,
		Near: unit.Duration(100 * time.Microsecond), Far: unit.Duration(time.Millisecond),
		Median: unit.Duration(10 * time.Millisecond), Sigma: 0.5, Long: 0.02, Factor: 30,
		Warm: unit.Duration(5 * time.Second), For: unit.Duration(25 * time.Second), Timeout: unit.Duration(4 * time.Second),
	}
}

// skipSlow skips a test that takes too long with the race detector.
func skipSlow(t *testing.T) {
	if race.Enabled || testing.Short() {
		t.Skip("the same run without the race detector gives the verdict")
	}
}

// TestSteadyTarget checks the latency target at steady load: the 99th and 99.9th
// percentiles of short requests exceed those of the limit by at most a tenth and
// one round trip.
func TestSteadyTarget(t *testing.T) {
	skipSlow(t)
	c := tenMinionConfig()
	for _, load := range []float64{0.7, 0.9} {
		limit := runLimit(c, false, load, 1)
		for _, entries := range []int{2, 4} {
			o := runLateBinding(c, entries, load, 1)
			g := NewWithT(t)
			for _, q := range []float64{99, 99.9} {
				g.Expect(o.Quantile(q)).To(BeNumerically("<=", limit.Quantile(q)*11/10+c.roundTrip()),
					"quantile %g at load %g with %d entries", q, load, entries)
			}
			g.Expect(o.Violations).To(BeEmpty())
		}
	}
}

// TestCrestTarget checks overload with retries: during a load of twice the
// capacity, at least 95% as many requests as with the limit are answered in
// time, and latency recovers within three seconds after it.
func TestCrestTarget(t *testing.T) {
	skipSlow(t)
	c := tenMinionConfig()
	c.Timeout, c.Tries, c.Crest = unit.Duration(500*time.Millisecond), 3, 2
	c.Rise, c.Hold, c.For = unit.Duration(2*time.Second), unit.Duration(10*time.Second), unit.Duration(10*time.Second)
	limit := runLimit(c, false, 0.3, 1)
	for _, entries := range []int{2, 4} {
		o := runLateBinding(c, entries, 0.3, 1)
		g := NewWithT(t)
		g.Expect(o.Good).To(BeNumerically(">=", limit.Good*95/100))
		g.Expect(recovery(c, o)).To(BeElementOf("0 s", "1 s", "2 s", "3 s"))
		g.Expect(o.Violations).To(BeEmpty())
	}
}

// TestFaultTarget checks that a fault of one minion costs no more goodput than
// that minion's share of the capacity for the time of the fault.
func TestFaultTarget(t *testing.T) {
	skipSlow(t)
	for _, kind := range []string{"slow", "refuse", "pause"} {
		t.Run(kind, func(t *testing.T) {
			c := tenMinionConfig()
			c.Timeout = unit.Duration(500 * time.Millisecond)
			c.Fault = Fault{Kind: kind, At: unit.Duration(10 * time.Second), For: unit.Duration(5 * time.Second), Factor: 10}
			limit := runLimit(c, false, 0.7, 1)
			o := runLateBinding(c, 2, 0.7, 1)
			lost := float64(c.Fault.For) / float64(c.For) / float64(c.Minions)
			g := NewWithT(t)
			g.Expect(share(o.Good, o.Sent)).To(BeNumerically(">=", share(limit.Good, limit.Sent)-lost))
			g.Expect(o.Violations).To(BeEmpty())
		})
	}
}
