package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/route"
	"lagoonrack/internal/where"
	"lagoonrack/internal/wire"
)

// TestWhereAgreesWithRouting guards against an explanation that names other agents than requests are
// sent to, and against questions that change where they are sent: of two cores with the same events,
// one is asked.
func TestWhereAgreesWithRouting(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	limits := route.Limits{Timeout: time.Second, Queue: 2, EjectAfter: 2}
	asked, other := newCore(limits), newCore(limits)
	var now time.Duration
	step := func(e route.Event) []route.Effect {
		out := asked.Step(now, e)
		g.Expect(out).To(Equal(other.Step(now, e)))
		return out
	}
	ask := func() where.Answer {
		a, ok := asked.Where(now, "torhaus", 50)
		g.Expect(ok).To(BeTrue())
		return a
	}
	// settle ends the attempts of some effects; one in ten can't be sent.
	var settle func(effects []route.Effect)
	settle = func(effects []route.Effect) {
		for _, f := range slices.Clone(effects) {
			x, ok := f.(route.Send)
			if !ok {
				continue
			}
			if rng.IntN(10) == 0 {
				settle(step(route.SendFailed{ID: x.ID, Attempt: x.Attempt}))
				continue
			}
			now += time.Duration(rng.IntN(20)) * time.Millisecond
			settle(step(route.Reply{ID: x.ID, Attempt: x.Attempt, Result: wire.Result{Status: 200}}))
		}
	}
	incarnations := map[string]int{}
	sent, rejected, waited := 0, 0, 0
	for i := range 6000 {
		now += time.Duration(rng.IntN(30)) * time.Millisecond
		if rng.IntN(3) > 0 {
			o := offer(fmt.Sprint("m", rng.IntN(6)), uint64(i+1), rng.IntN(3))
			o.Leaving = rng.IntN(20) == 0
			// An agent that leaves is used again once it has restarted.
			o.Incarnation = fmt.Sprint(incarnations[o.Agent])
			if o.Leaving {
				incarnations[o.Agent]++
			}
			settle(step(o))
			continue
		}
		a := ask()
		id := fmt.Sprint("r", i)
		effects := slices.Clone(step(arrive(id, true)))
		for _, f := range effects {
			switch f := f.(type) {
			case route.Send:
				if f.ID != id {
					continue
				}
				sent++
				g.Expect(a.Rejected).To(BeEmpty())
				// Among equals, the choice is random.
				best := map[string]bool{}
				for _, x := range a.Steps[0].Candidates {
					best[x.Worker] = len(x.Excluded) == 0 && x.Score == a.Steps[0].Candidates[0].Score
				}
				g.Expect(best[f.Agent]).To(BeTrue(), "%s\n%s", f.Agent, a.String())
			case route.Answer:
				if f.ID == id && f.Outcome == wire.NotRun {
					rejected++
					g.Expect(a.Rejected).NotTo(BeEmpty(), f.Reason)
				}
			}
		}
		if a.Rejected == "" && a.Steps[0].Fitting == 0 {
			waited++
			g.Expect(ask().Ahead).To(Equal(asked.Waiting("torhaus")))
		}
		settle(effects)
	}
	t.Logf("%d sent, %d rejected, %d waited", sent, rejected, waited)
	g.Expect(sent).To(BeNumerically(">", 200))
	g.Expect(rejected).To(BeNumerically(">", 20))
	g.Expect(waited).To(BeNumerically(">", 20))
	_, ok := asked.Where(now, "nowhere", 1)
	g.Expect(ok).To(BeFalse())
	step(route.Drain{})
	g.Expect(ask().Rejected).To(Equal("stopping"))
}
