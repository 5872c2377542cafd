package admit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/admit"
	"lagoonrack/internal/wire"
)

// newCore returns a core with two slots and a queue of one call.
func newCore() *admit.Core { return &admit.Core{Slots: 2, Queue: 1, ExtraGrants: 1, Incarnation: "1"} }

func call(id string) admit.Call {
	return admit.Call{Call: wire.Call{ID: id, Attempt: 1, Incarnation: "1", Entry: "e", Budget: time.Second, Queue: true}}
}

func kill(id string, attempt int) admit.Kill {
	return admit.Kill{Kill: wire.Kill{ID: id, Attempt: attempt, Incarnation: "1"}}
}

// expectRefused checks that the only effect is a refusal with the given reason.
func expectRefused(t *testing.T, effects []admit.Effect, reason string) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(effects).To(HaveLen(1))
	r, ok := effects[0].(admit.Reply)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Result.Refused).To(Equal(reason))
}

// expectStarted checks that the first effect starts the request.
func expectStarted(t *testing.T, effects []admit.Effect, id string) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(effects).NotTo(BeEmpty())
	s, ok := effects[0].(admit.Start)
	g.Expect(ok).To(BeTrue())
	g.Expect(s.ID).To(Equal(id))
}

func TestFullQueueRefuses(t *testing.T) {
	c := newCore()
	expectStarted(t, c.Step(0, call("a")), "a")
	expectStarted(t, c.Step(0, call("b")), "b")
	NewWithT(t).Expect(c.Step(0, call("c"))).To(BeEmpty(), "the call waits")
	expectRefused(t, c.Step(0, call("d")), "full")
}

func TestRefusesCallThatMustNotQueue(t *testing.T) {
	c := newCore()
	c.Step(0, call("a"))
	c.Step(0, call("b"))
	e := call("c")
	e.Queue = false
	expectRefused(t, c.Step(0, e), "full")
}

func TestTombstone(t *testing.T) {
	t.Run("before the call", func(t *testing.T) {
		c := newCore()
		f := c.Step(0, kill("a", 1))[0].(admit.KillReply)
		NewWithT(t).Expect(f.Certain).To(BeTrue())
		expectRefused(t, c.Step(0, call("a")), "tombstone")
	})
	t.Run("of a running call", func(t *testing.T) {
		c := newCore()
		c.Step(0, call("a"))
		f := c.Step(0, kill("a", 1))[0].(admit.KillReply)
		NewWithT(t).Expect(f.Certain).To(BeFalse())
	})
	t.Run("of an earlier incarnation of the agent", func(t *testing.T) {
		c := newCore()
		k := kill("a", 1)
		k.Incarnation = "0"
		f := c.Step(0, k)[0].(admit.KillReply)
		NewWithT(t).Expect(f.Certain).To(BeFalse())
	})
}

func TestDrainingRefusesNewCalls(t *testing.T) {
	c := newCore()
	c.Step(0, call("a"))
	c.Step(0, admit.Drain{})
	expectRefused(t, c.Step(0, call("b")), "leaving")
	NewWithT(t).Expect(c.OpenCalls()).To(Equal(1), "the running call continues")
}

// TestOneGrantPerDemand guards against a message per request: a demand of many
// requests is answered by one message.
func TestOneGrantPerDemand(t *testing.T) {
	c := newCore()
	effects := c.Step(0, admit.Demand{Demand: wire.Demand{Entry: "e", Incarnation: "1", Waiting: 50}})
	g := NewWithT(t)
	g.Expect(effects).To(HaveLen(1))
	g.Expect(effects[0].(admit.Grant).Count).To(Equal(3))
	again := c.Step(time.Millisecond, admit.Demand{Demand: wire.Demand{Entry: "e", Incarnation: "1", Waiting: 50}})
	g.Expect(again).To(BeEmpty(), "reserved slots are not granted again")
}

func BenchmarkCall(b *testing.B) {
	c := &admit.Core{Slots: 8, Queue: 2, ExtraGrants: 2, Incarnation: "1", Retention: time.Millisecond}
	e := call("a")
	e.Idempotent = true
	now := time.Duration(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now += 10 * time.Microsecond
		e.Attempt = n
		c.Step(now, e)
		c.Step(now, admit.Done{ID: "a", Attempt: n})
		if n%500 == 0 {
			c.Step(now, admit.Tick{})
		}
	}
}
