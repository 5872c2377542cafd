package press_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/press"
)

// truth is a made world: the stress that each filling image adds for each share
// of the processors.
var truth = map[string]float64{"heavy": 1.8, "light": 0.1}

const (
	base, target = 10, 50
	// seconds is how long a table is fed, about a day of the bench.
	seconds = 30
)

// play feeds a table with readings of serving tasks whose load swings.
func play(t *press.Table) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 2 * seconds {
		now := time.Duration(i) * 500 * time.Millisecond
		for task, load := range map[string]float64{"a": 0.3, "b": 0.45, "c": 0.55} {
			r := press.Reading{Task: task, Image: "serve", Target: target, Steady: rng.IntN(3) > 0}
			u := load + 0.1*(rng.Float64()-0.5)
			for image, f := range truth {
				if rng.IntN(3) == 0 {
					r.Fills = append(r.Fills, press.Fill{Image: image, Share: 0.11})
					u += 0.11 * f
				}
			}
			r.Tail = int64(base / (1 - min(0.95, u)))
			t.Observe(now, r)
		}
	}
}

func TestLearnsWhichImageDisturbs(t *testing.T) {
	g := NewWithT(t)
	var tab press.Table
	play(&tab)
	g.Expect(tab.Factor("heavy", "serve")).To(BeNumerically("~", truth["heavy"], 0.5))
	g.Expect(tab.Factor("light", "serve")).To(BeNumerically("<", 0.5))
	g.Expect(tab.Base("serve", target)).To(BeNumerically("~", base, 3))
}

func TestRoomFollowsTheLoad(t *testing.T) {
	g := NewWithT(t)
	var tab press.Table
	play(&tab)
	calm := press.Serving{Task: "a", Image: "serve", Target: target}
	busy := press.Serving{Task: "c", Image: "serve", Target: target}
	heavy := []press.Fill{{Image: "heavy", Share: 0.11}}
	g.Expect(tab.Room(calm, nil)).To(BeNumerically(">", tab.Room(busy, nil)))
	g.Expect(tab.Room(calm, heavy)).To(BeNumerically(">", 0.1), "a heavy one fits beside a calm task")
	g.Expect(tab.Room(busy, append(heavy, heavy...))).To(BeNumerically("<", 0.05), "two don't beside a busy one")
}

func TestAnotherOwnerGoesOnWithWhatWasLearned(t *testing.T) {
	var a, b press.Table
	play(&a)
	b.Load(a.Save())
	NewWithT(t).Expect(b.Factor("heavy", "serve")).To(Equal(a.Factor("heavy", "serve")))
}

func TestAPairThatWasNotSeenTakesAfterItsImage(t *testing.T) {
	var tab press.Table
	play(&tab)
	g := NewWithT(t)
	g.Expect(tab.Factor("heavy", "other")).To(BeNumerically(">", tab.Factor("light", "other")))
}
