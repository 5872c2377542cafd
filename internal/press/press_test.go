package press_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/press"
)

// trueFactors holds the interference factor of each best-effort image in the
// simulation.
var trueFactors = map[string]float64{"heavy": 1.8, "light": 0.1}

const (
	// base and target are tail latencies in milliseconds.
	base, target = 10, 50
	// seconds is the simulated time of the measurements.
	seconds = 30
)

// observeTasks updates a table with measurements of three latency-critical tasks
// whose loads vary at random, every half second.
func observeTasks(t *press.Table) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 2 * seconds {
		now := time.Duration(i) * 500 * time.Millisecond
		for task, load := range map[string]float64{"a": 0.3, "b": 0.45, "c": 0.55} {
			r := press.Measurement{Task: task, Image: "serve", Target: target, Steady: rng.IntN(3) > 0}
			u := load + 0.1*(rng.Float64()-0.5)
			for image, f := range trueFactors {
				if rng.IntN(3) == 0 {
					r.BestEffort = append(r.BestEffort, press.BestEffortTask{Image: image, Share: 0.11})
					u += 0.11 * f
				}
			}
			r.Tail = int64(base / (1 - min(0.95, u)))
			t.Observe(now, r)
		}
	}
}

func TestFactorsApproachTrueValues(t *testing.T) {
	g := NewWithT(t)
	var tab press.Table
	observeTasks(&tab)
	g.Expect(tab.Factor("heavy", "serve")).To(BeNumerically("~", trueFactors["heavy"], 0.5))
	g.Expect(tab.Factor("light", "serve")).To(BeNumerically("<", 0.5))
	g.Expect(tab.Base("serve", target)).To(BeNumerically("~", base, 3))
}

func TestHeadroomDependsOnLoad(t *testing.T) {
	g := NewWithT(t)
	var tab press.Table
	observeTasks(&tab)
	lowLoad := press.LatencyCriticalTask{Task: "a", Image: "serve", Target: target}
	highLoad := press.LatencyCriticalTask{Task: "c", Image: "serve", Target: target}
	heavy := []press.BestEffortTask{{Image: "heavy", Share: 0.11}}
	g.Expect(tab.Headroom(lowLoad, nil)).To(BeNumerically(">", tab.Headroom(highLoad, nil)))
	g.Expect(tab.Headroom(lowLoad, heavy)).To(BeNumerically(">", 0.1), "one heavy task fits beside a task with a low load")
	g.Expect(tab.Headroom(highLoad, append(heavy, heavy...))).To(BeNumerically("<", 0.05), "two heavy tasks do not fit beside one with a high load")
}

// TestRestoreKeepsFactors guards against a new owner that starts without the
// factors that the previous owner has learned.
func TestRestoreKeepsFactors(t *testing.T) {
	var a, b press.Table
	observeTasks(&a)
	b.Restore(a.Save())
	NewWithT(t).Expect(b.Factor("heavy", "serve")).To(Equal(a.Factor("heavy", "serve")))
}

// TestUnseenPairUsesImageFactor checks that the factor of a pair without
// measurements is derived from the same best-effort image beside another
// latency-critical image.
func TestUnseenPairUsesImageFactor(t *testing.T) {
	var tab press.Table
	observeTasks(&tab)
	g := NewWithT(t)
	g.Expect(tab.Factor("heavy", "other")).To(BeNumerically(">", tab.Factor("light", "other")))
}
