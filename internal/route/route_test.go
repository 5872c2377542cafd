package route_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/route"
	"lagoonrack/internal/wire"
)

func newCore(l route.Limits) *route.Core {
	l.Service = "torhaus"
	c := &route.Core{Seed: 1}
	c.Configure([]route.Limits{l})
	return c
}

func offer(agent string, seq uint64, free int) route.Offer {
	return route.Offer{Offer: wire.Offer{
		Service: "torhaus", Agent: agent, Incarnation: "1", Size: 8, Slots: wire.Slots{Seq: seq, Free: free},
	}}
}

func arrive(id string, idempotent bool) route.Arrive {
	return route.Arrive{ID: id, Service: "torhaus", Class: "any", Idempotent: idempotent}
}

// only returns the single effect of a kind.
func only[T route.Effect](t *testing.T, effects []route.Effect) T {
	t.Helper()
	var found []T
	for _, f := range effects {
		if v, ok := f.(T); ok {
			found = append(found, v)
		}
	}
	NewWithT(t).Expect(found).To(HaveLen(1))
	return found[0]
}

func expectAnswer(t *testing.T, effects []route.Effect, o wire.Outcome, reason string) {
	t.Helper()
	a := only[route.Answer](t, effects)
	g := NewWithT(t)
	g.Expect(a.Outcome).To(Equal(o))
	g.Expect(a.Reason).To(Equal(reason))
}

func TestUnknownService(t *testing.T) {
	c := newCore(route.Limits{})
	e := arrive("a", true)
	e.Service = "nowhere"
	expectAnswer(t, c.Step(0, e), wire.NotRun, "service")
}

func TestRefusalGoesElsewhere(t *testing.T) {
	c := newCore(route.Limits{})
	c.Step(0, offer("m1", 1, 1))
	c.Step(0, offer("m2", 1, 1))
	first := only[route.Send](t, c.Step(0, arrive("a", false)))
	effects := c.Step(0, route.Reply{ID: "a", Attempt: 1, Result: wire.Result{Refused: "full", Slots: wire.Slots{Seq: 2}}})
	second := only[route.Send](t, effects)
	NewWithT(t).Expect(second.Agent).NotTo(Equal(first.Agent))
}

func TestBrokenCall(t *testing.T) {
	for name, tc := range map[string]struct {
		idempotent bool
		fate       wire.KillResult
		lost       bool
		outcome    wire.Outcome
		reason     string
	}{
		"may have run":       {false, wire.KillResult{}, false, wire.Unknown, "lost"},
		"no answer":          {false, wire.KillResult{}, true, wire.Unknown, "lost"},
		"found":              {false, wire.KillResult{Found: true, Result: wire.Result{Status: 200}}, false, wire.Ran, ""},
		"idempotent and ran": {true, wire.KillResult{Found: true, Result: wire.Result{Status: 200}}, false, wire.Ran, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(route.Limits{})
			c.Step(0, offer("m1", 1, 1))
			c.Step(0, arrive("a", tc.idempotent))
			only[route.Kill](t, c.Step(0, route.Break{ID: "a", Attempt: 1}))
			expectAnswer(t, c.Step(0, route.Fate{ID: "a", Attempt: 1, KillResult: tc.fate, Lost: tc.lost}), tc.outcome, tc.reason)
		})
	}
	t.Run("certain", func(t *testing.T) {
		c := newCore(route.Limits{})
		c.Step(0, offer("m1", 1, 2))
		c.Step(0, arrive("a", false))
		c.Step(0, route.Break{ID: "a", Attempt: 1})
		s := only[route.Send](t, c.Step(0, route.Fate{ID: "a", Attempt: 1, KillResult: wire.KillResult{Certain: true}}))
		NewWithT(t).Expect(s.Attempt).To(Equal(2))
	})
}

func TestSilentAndLeavingMinionsGetNothing(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		c := newCore(route.Limits{Silent: 2 * time.Second})
		c.Step(0, offer("m1", 1, 8))
		effects := c.Step(2*time.Second, arrive("a", true))
		NewWithT(t).Expect(effects).To(BeEmpty())
	})
	t.Run("leaving", func(t *testing.T) {
		c := newCore(route.Limits{})
		o := offer("m1", 1, 8)
		o.Leaving = true
		c.Step(0, o)
		NewWithT(t).Expect(c.Step(0, arrive("a", true))).To(BeEmpty())
	})
}

// TestForgottenAgent is the fault in which an entry that had forgotten a paused
// minion believed in as many free slots as the agent had once seen calls.
func TestForgottenAgent(t *testing.T) {
	c := newCore(route.Limits{})
	o := offer("m1", 1, 1)
	o.Slots.Seen = 1949
	c.Step(0, o)
	g := NewWithT(t)
	sends := 0
	for i := range 5 {
		for _, f := range c.Step(0, arrive(strconv.Itoa(i), true)) {
			if _, ok := f.(route.Send); ok {
				sends++
			}
		}
	}
	g.Expect(sends).To(Equal(1))
}

// TestUnwantedGrant holds the number of messages down: a grant that is not
// needed is answered at most once.
func TestUnwantedGrant(t *testing.T) {
	c := newCore(route.Limits{})
	c.Step(0, offer("m1", 1, 0))
	only[route.Bid](t, c.Step(0, arrive("a", true)))
	grant := route.Grant{Agent: "m1", Incarnation: "1", Service: "torhaus", Count: 8, Slots: wire.Slots{Seq: 2, Free: 8}}
	effects := c.Step(0, grant)
	only[route.Send](t, effects)
	NewWithT(t).Expect(only[route.Bid](t, effects).Waiting).To(BeZero())
	NewWithT(t).Expect(c.Step(0, grant)).To(BeEmpty())
}

// TestEstimateCannotRefuseEverything is the fault in which run times learned in
// an overload were longer than the timeout, so that nothing was ever sent.
func TestEstimateCannotRefuseEverything(t *testing.T) {
	c := newCore(route.Limits{Timeout: time.Second})
	now := time.Duration(0)
	for i := range 500 {
		id := strconv.Itoa(i)
		c.Step(now, offer("m1", uint64(2*i+1), 8))
		c.Step(now, arrive(id, true))
		now += 900 * time.Millisecond
		c.Step(now, route.Reply{ID: id, Attempt: 1, Result: wire.Result{Status: 200, Slots: wire.Slots{Seq: uint64(2*i + 2), Free: 8}}})
	}
	c.Step(now, offer("m1", 2000, 8))
	only[route.Send](t, c.Step(now, arrive("last", true)))
}

func BenchmarkRequest(b *testing.B) {
	c := newCore(route.Limits{})
	now := time.Duration(0)
	for i := range 10 {
		c.Step(now, offer(strconv.Itoa(i), 1, 8))
	}
	e := arrive("a", true)
	b.ReportAllocs()
	for n := uint64(2); b.Loop(); n++ {
		now += time.Microsecond
		s := c.Step(now, e)[0].(route.Send)
		slots := wire.Slots{Seq: n, Free: 8, Seen: s.Serial}
		c.Step(now, route.Reply{ID: "a", Attempt: 1, Result: wire.Result{Status: 200, Slots: slots}})
		if n%1000 == 0 {
			for i := range 10 {
				c.Step(now, offer(strconv.Itoa(i), n, 8))
			}
			c.Step(now+3*time.Second, route.Tick{})
			now += 3 * time.Second
			for i := range 10 {
				c.Step(now, offer(strconv.Itoa(i), n, 8))
			}
		}
	}
}
