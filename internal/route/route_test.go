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

// onlyEffect returns the single effect of type T, and fails if there is not
// exactly one.
func onlyEffect[T route.Effect](t *testing.T, effects []route.Effect) T {
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
	a := onlyEffect[route.Answer](t, effects)
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

func TestRefusedRequestSentToOtherAgent(t *testing.T) {
	c := newCore(route.Limits{})
	c.Step(0, offer("m1", 1, 1))
	c.Step(0, offer("m2", 1, 1))
	first := onlyEffect[route.Send](t, c.Step(0, arrive("a", false)))
	effects := c.Step(0, route.Reply{ID: "a", Attempt: 1, Result: wire.Result{Refused: "full", Slots: wire.Slots{Seq: 2}}})
	second := onlyEffect[route.Send](t, effects)
	NewWithT(t).Expect(second.Agent).NotTo(Equal(first.Agent))
}

func TestSendWithoutCompleteAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		idempotent bool
		result     wire.KillResult
		lost       bool
		outcome    wire.Outcome
		reason     string
	}{
		"may have started":  {false, wire.KillResult{}, false, wire.Unknown, "lost"},
		"kill not answered": {false, wire.KillResult{}, true, wire.Unknown, "lost"},
		"ended":             {false, wire.KillResult{Found: true, Result: wire.Result{Status: 200}}, false, wire.Ran, ""},
		"idempotent, ended": {true, wire.KillResult{Found: true, Result: wire.Result{Status: 200}}, false, wire.Ran, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(route.Limits{})
			c.Step(0, offer("m1", 1, 1))
			c.Step(0, arrive("a", tc.idempotent))
			onlyEffect[route.Kill](t, c.Step(0, route.SendFailed{ID: "a", Attempt: 1}))
			expectAnswer(t, c.Step(0, route.KillReply{ID: "a", Attempt: 1, KillResult: tc.result, Lost: tc.lost}), tc.outcome, tc.reason)
		})
	}
	t.Run("certain: sent again", func(t *testing.T) {
		c := newCore(route.Limits{})
		c.Step(0, offer("m1", 1, 2))
		c.Step(0, arrive("a", false))
		c.Step(0, route.SendFailed{ID: "a", Attempt: 1})
		s := onlyEffect[route.Send](t, c.Step(0, route.KillReply{ID: "a", Attempt: 1, KillResult: wire.KillResult{Certain: true}}))
		NewWithT(t).Expect(s.Attempt).To(Equal(2))
	})
}

func TestUnresponsiveAndDrainingMinionsNotUsed(t *testing.T) {
	t.Run("unresponsive", func(t *testing.T) {
		c := newCore(route.Limits{UnresponsiveAfter: 2 * time.Second})
		c.Step(0, offer("m1", 1, 8))
		effects := c.Step(2*time.Second, arrive("a", true))
		NewWithT(t).Expect(effects).To(BeEmpty())
	})
	t.Run("draining", func(t *testing.T) {
		c := newCore(route.Limits{})
		o := offer("m1", 1, 8)
		o.Leaving = true
		c.Step(0, o)
		NewWithT(t).Expect(c.Step(0, arrive("a", true))).To(BeEmpty())
	})
}

// TestRediscoveredAgentKeepsSerial guards against an entry that overestimates
// the free slots of an agent. An entry that had removed a paused minion started
// its serials at 0 again when the agent came back, and counted every call that
// the agent had received before as a free slot.
func TestRediscoveredAgentKeepsSerial(t *testing.T) {
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

// TestUnusedGrantWithdrawsBidOnce checks that the first grant that is not fully
// used withdraws the bid, and that further unused grants cause no messages.
func TestUnusedGrantWithdrawsBidOnce(t *testing.T) {
	c := newCore(route.Limits{})
	c.Step(0, offer("m1", 1, 0))
	onlyEffect[route.Bid](t, c.Step(0, arrive("a", true)))
	grant := route.Grant{Agent: "m1", Incarnation: "1", Service: "torhaus", Count: 8, Slots: wire.Slots{Seq: 2, Free: 8}}
	effects := c.Step(0, grant)
	onlyEffect[route.Send](t, effects)
	NewWithT(t).Expect(onlyEffect[route.Bid](t, effects).Waiting).To(BeZero())
	NewWithT(t).Expect(c.Step(0, grant)).To(BeEmpty())
}

// TestRunTimeEstimateDoesNotRejectAllRequests guards against a run-time estimate
// that rejects all requests. Run times measured in an overload were longer than
// the timeout, so no request was sent any more and the estimate never recovered.
func TestRunTimeEstimateDoesNotRejectAllRequests(t *testing.T) {
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
	onlyEffect[route.Send](t, c.Step(now, arrive("last", true)))
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
