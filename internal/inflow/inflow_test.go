package inflow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonrack/internal/inflow"
)

// limits are limits in which each figure differs from the others.
var limits = inflow.Limits{
	Memory: 1000, Head: 10 * time.Second, Body: 100 * time.Second,
	Idle: 120 * time.Second, Answer: 60 * time.Second, Rate: 10,
}

// rig is a core with one door.
type rig struct {
	*testing.T
	core inflow.Core
	door inflow.Door
}

func newRig(t *testing.T, connections int) *rig {
	return &rig{T: t, core: inflow.Core{Limits: limits}, door: inflow.Door{Limit: connections}}
}

// open opens a connection that must be admitted without a victim.
func (r *rig) open(now time.Duration) *inflow.Conn {
	r.Helper()
	c, victim := r.core.Open(now, &r.door)
	if c == nil || victim != nil {
		r.Fatalf("Open(%v) = %v, %v", now, c, victim)
	}
	return c
}

// begin opens a connection with a part of a request that is charged n bytes.
func (r *rig) begin(now time.Duration, n int64) *inflow.Conn {
	r.Helper()
	c := r.open(now)
	r.core.BeginHead(now, c)
	r.core.Hold(now, c, n)
	return c
}

// serve makes a connection carry a whole request that is answered at once.
func (r *rig) serve(now time.Duration, c *inflow.Conn) {
	r.core.BeginHead(now, c)
	r.core.Whole(now, c)
	r.core.Answered(now, c)
}

// checkRefused checks why a connection is refused.
func (r *rig) checkRefused(c *inflow.Conn, want inflow.Reason) {
	r.Helper()
	if c.Refused() != want {
		r.Errorf("refused for %q, want %q", c.Refused(), want)
	}
}

// checkExpired checks why the time of the only connection is over.
func (r *rig) checkExpired(now time.Duration, want inflow.Reason) {
	r.Helper()
	got := inflow.None
	r.core.Expired(now, func(_ *inflow.Conn, why inflow.Reason) { got = why })
	if got != want {
		r.Errorf("expired at %v for %q, want %q", now, got, want)
	}
}

// Guards against a crowd of large unfinished requests that pushes out a small one, and against
// one that was held long and pushes out a new one of the same size.
func TestRefusesWhatHoldsTheMostForTheLongest(t *testing.T) {
	r := newRig(t, 10)
	old, small, large := r.begin(0, 300), r.begin(0, 10), r.begin(5*time.Second, 400)
	asker := r.begin(6*time.Second, 280)
	r.core.Hold(6*time.Second, asker, 300)
	r.checkRefused(old, inflow.Memory)
	r.checkRefused(small, inflow.None)
	r.checkRefused(large, inflow.None)
	r.checkRefused(asker, inflow.None)
}

// Guards against refusing a request that is whole: a client could not tell that it has no
// effect.
func TestNeverRefusesWhatIsWhole(t *testing.T) {
	r := newRig(t, 2)
	whole := r.begin(0, 900)
	if !r.core.Whole(0, whole) {
		t.Error("the request is not to be answered")
	}
	asker := r.begin(time.Second, 200)
	r.checkRefused(whole, inflow.None)
	r.checkRefused(asker, inflow.Memory)
	r.core.Close(asker)
	second := r.open(time.Second)
	r.core.BeginHead(time.Second, second)
	r.core.Whole(time.Second, second)
	if c, victim := r.core.Open(time.Hour, &r.door); c != nil || victim != nil {
		t.Errorf("Open = %v, %v beside two connections with whole requests", c, victim)
	}
}

// Guards against answering a request that became whole after it had been refused, and so
// might run although its client was told that it does not.
func TestRefusedRequestIsNotWhole(t *testing.T) {
	r := newRig(t, 10)
	first := r.begin(0, 900)
	r.begin(time.Second, 200)
	r.checkRefused(first, inflow.Memory)
	if r.core.Whole(time.Second, first) {
		t.Error("a refused request is to be answered")
	}
}

// Guards against refusing the largest request that a listener allows, beside no other, when the
// budget is small.
func TestSingleRequestMayExceedTheBudget(t *testing.T) {
	r := newRig(t, 10)
	r.open(0)
	r.checkRefused(r.begin(0, 5000), inflow.None)
}

// Guards against connections that never carry a request and keep out others.
func TestClosesConnectionsWithoutRequestsFirst(t *testing.T) {
	r := newRig(t, 3)
	served, silent, newer := r.open(0), r.open(time.Second), r.open(2*time.Second)
	r.serve(time.Second, served)
	for _, want := range []*inflow.Conn{silent, newer} {
		c, victim := r.core.Open(3*time.Second, &r.door)
		if c == nil || victim != want {
			t.Fatalf("the victim is not the oldest connection without a request")
		}
		r.serve(3*time.Second, c)
	}
	if _, victim := r.core.Open(4*time.Second, &r.door); victim != served {
		t.Error("the victim is not the connection that has been idle for the longest")
	}
}

// Guards against each limit of time being applied in the wrong phase or not at all.
func TestExpires(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		r := newRig(t, 1)
		r.open(0)
		r.checkExpired(limits.Idle, inflow.None)
		r.checkExpired(limits.Idle+1, inflow.IdleTime)
	})
	t.Run("head", func(t *testing.T) {
		r := newRig(t, 1)
		c := r.open(0)
		r.core.BeginHead(time.Second, c)
		r.checkExpired(time.Second+limits.Head, inflow.None)
		r.checkExpired(time.Second+limits.Head+1, inflow.HeadTime)
	})
	t.Run("body", func(t *testing.T) {
		r := newRig(t, 1)
		c := r.begin(0, 1)
		r.core.ReceiveBody(time.Second, c, 0)
		r.core.ReceiveBody(2*time.Second, c, 1<<20)
		r.checkExpired(time.Second+limits.Body, inflow.None)
		r.checkExpired(time.Second+limits.Body+1, inflow.BodyTime)
	})
	t.Run("rate", func(t *testing.T) {
		r := newRig(t, 1)
		c := r.begin(0, 1)
		r.core.ReceiveBody(0, c, 150)
		r.checkExpired(15*time.Second, inflow.None)
		r.checkExpired(15*time.Second+1, inflow.BodyRate)
		r.core.ReceiveBody(16*time.Second, c, 200)
		r.checkExpired(16*time.Second, inflow.None)
	})
	t.Run("rate in the grace period", func(t *testing.T) {
		r := newRig(t, 1)
		r.core.ReceiveBody(0, r.begin(0, 1), 0)
		r.checkExpired(10*time.Second, inflow.None)
		r.checkExpired(10*time.Second+1, inflow.BodyRate)
	})
	t.Run("answer", func(t *testing.T) {
		r := newRig(t, 1)
		c := r.begin(0, 1)
		r.core.Whole(0, c)
		r.checkExpired(time.Hour, inflow.None)
		r.core.BeginWrite(time.Hour, c)
		r.checkExpired(time.Hour+limits.Answer, inflow.None)
		r.checkExpired(time.Hour+limits.Answer+1, inflow.AnswerTime)
		r.core.EndWrite(c)
		r.checkExpired(2*time.Hour, inflow.None)
	})
}

// Guards against sums that drift from what the connections hold, which would refuse all
// requests or none after some time, and against a budget or a limit that is exceeded.
func TestKeepsItsSums(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t, 8)
		held := map[*inflow.Conn]int64{}
		whole := map[*inflow.Conn]bool{}
		for now := time.Duration(0); now < 300*time.Second; now += time.Second {
			if c, victim := r.core.Open(now, &r.door); c != nil {
				delete(held, victim)
				delete(whole, victim)
				held[c] = 0
			}
			if len(held) > 8 {
				t.Fatalf("seed %d: %d connections", seed, len(held))
			}
			for c := range held {
				act(rnd, r, now, c, held, whole)
			}
			sum, kept, holders := int64(0), int64(0), 0
			for c, n := range held {
				sum += n
				if n > 0 && c.Refused() == inflow.None {
					kept += n
					holders++
				}
			}
			if kept > limits.Memory && holders > 1 {
				t.Fatalf("seed %d: %d connections hold %d together", seed, holders, kept)
			}
			if sum != r.core.Held() || r.core.Len() != len(held) {
				t.Fatalf("seed %d: holds %d in %d connections, want %d in %d", seed, r.core.Held(), r.core.Len(), sum, len(held))
			}
		}
		for c := range held {
			r.core.Close(c)
		}
		if r.core.Held() != 0 || r.core.Len() != 0 {
			t.Fatalf("seed %d: holds %d in %d connections at the end", seed, r.core.Held(), r.core.Len())
		}
	}
}

// act does one random step with a connection.
func act(rnd *rand.Rand, r *rig, now time.Duration, c *inflow.Conn, held map[*inflow.Conn]int64, whole map[*inflow.Conn]bool) {
	switch {
	case rnd.IntN(6) == 0 && !whole[c]:
		r.core.Close(c)
		delete(held, c)
	case whole[c]:
		if rnd.IntN(3) == 0 {
			r.core.Answered(now, c)
			held[c], whole[c] = 0, false
		}
	case c.Refused() != inflow.None:
	case !c.Partial():
		r.core.BeginHead(now, c)
	case rnd.IntN(4) == 0:
		whole[c] = r.core.Whole(now, c)
	default:
		held[c] += rnd.Int64N(400)
		r.core.Hold(now, c, held[c])
	}
}
