package speed_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/speed"
)

var (
	slow  = speed.Place{Worker: "w1", Rack: "r1", Zone: "z1"}
	mate  = speed.Place{Worker: "w2", Rack: "r1", Zone: "z1"}
	other = speed.Place{Worker: "w3", Rack: "r2", Zone: "z1"}
	far   = speed.Place{Worker: "w4", Rack: "r1", Zone: "z2"}
)

// observe records runs of a speed on a worker, one each second, and returns the time of the
// last one.
func observe(t *speed.Table, p speed.Place, v float64, count int) time.Duration {
	now := time.Duration(0)
	for range count {
		now += time.Second
		t.ObserveSpeed(now, p, v)
	}
	return now
}

// A new worker of a slow rack took as much work as one of a fast rack until it had shown its own
// speed.
func TestWorkerWithoutEvidenceTakesRackThenZoneThenOne(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	now := observe(&tab, slow, 0.5, 20)
	of := func(p speed.Place) float64 { return tab.Of(now, p).Speed }
	g.Expect(of(slow)).To(BeNumerically("~", 0.5, 0.05))
	g.Expect(of(mate)).To(BeNumerically("~", 0.5, 0.1))
	g.Expect(of(other)).To(And(BeNumerically(">", of(mate)), BeNumerically("<", 0.7)))
	g.Expect(tab.OfZone(now, "z1")).To(And(HaveField("Speed", BeNumerically("<", 0.7)), HaveField("Age", time.Duration(0))))
	g.Expect(tab.OfZone(now, "z2")).To(Equal(speed.Estimate{Speed: 1, Share: 1, Age: 90 * time.Second}))
	g.Expect(of(far)).To(Equal(1.0), "the rack of another zone has the same name")
}

// A zone that was slow must not be avoided for ever: without runs there is no new evidence.
func TestEvidenceAges(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	last := observe(&tab, slow, 0.5, 20)
	tab.ObserveShare(last, slow, 0.2, time.Second)
	g.Expect(tab.Of(last, slow).Age).To(BeZero())
	g.Expect(tab.Of(last, slow).Share).To(BeNumerically("<", 0.5))
	g.Expect(tab.Of(last+10*time.Second, slow).Age).To(Equal(10 * time.Second))
	g.Expect(tab.Of(last+30*time.Second, slow).Share).To(BeNumerically(">", 0.9))
	old := tab.Of(last+91*time.Second, slow)
	g.Expect(old).To(Equal(speed.Estimate{Speed: 1, Share: 1, Age: 90 * time.Second}))
	g.Expect(tab.Of(last+91*time.Second, far).Age).To(Equal(90 * time.Second))
}

// Tasks whose own length is unusual must not change the estimate of their worker by much.
func TestSingleTasksSayLittle(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	now := observe(&tab, slow, 1, 20)
	tab.ObserveSpeed(now, slow, 1.0/7)
	g.Expect(tab.Of(now+time.Second, slow).Speed).To(BeNumerically(">", 0.9))
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		tab.ObserveSpeed(now, far, v)
		tab.ObserveShare(now, far, v, time.Second)
	}
	tab.ObserveShare(now, far, 0.1, 0)
	e := tab.Of(now, far)
	g.Expect(e.Speed).To(Equal(1.0))
	g.Expect(e.Share).To(And(BeNumerically(">", 0), BeNumerically("<=", 1)))
}

// Racks and workers that come and go must not make the table grow without a bound.
func TestOldEntriesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	now := observe(&tab, slow, 0.5, 20)
	tab.Of(now, far)
	g.Expect(tab.Len()).To(Equal(6))
	tab.Trim(now + time.Minute)
	g.Expect(tab.Of(now+time.Minute, slow).Speed).To(BeNumerically("<", 1))
	tab.Trim(now + 2*time.Minute)
	g.Expect(tab.Len()).To(BeZero())
}

func TestExpectedEnd(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	now := observe(&tab, slow, 0.5, 50)
	g.Expect(tab.Of(now, far).End(time.Second, 1)).To(Equal(time.Second))
	g.Expect(tab.Of(now, far).End(time.Second, 0.5)).To(Equal(2 * time.Second))
	g.Expect(tab.Of(now, slow).End(time.Second, 1)).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
	g.Expect(tab.Of(now, far).End(time.Second, 0)).To(BeNumerically("<=", 20*time.Second), "no expectation is infinite")
}

// A run that gets little for the moment was moved as one that gets little for good.
func TestRunThatStaysRecovers(t *testing.T) {
	g := NewWithT(t)
	var tab speed.Table
	stays := func(left time.Duration, present float64) time.Duration {
		return tab.Of(0, far).EndIfStays(left, 1, present)
	}
	g.Expect(stays(time.Second, 1)).To(Equal(time.Second))
	g.Expect(stays(4*time.Second, 0)).To(Equal(7*time.Second), "halted, for the time in which the load swings back")
	g.Expect(stays(100*time.Millisecond, 0.5)).To(Equal(200*time.Millisecond), "it ends before")
	g.Expect(stays(4*time.Second, 0.3)).To(BeNumerically("<", stays(4*time.Second, 0.1)))
}

// A move costs the time to stop and to restore a checkpoint.
func TestMovePaysOnlyIfTheRunEndsEarlier(t *testing.T) {
	g := NewWithT(t)
	pays := func(stays, end time.Duration) bool { return speed.MovePays(stays, speed.Move(end), 0.3) }
	g.Expect(pays(2*time.Second, 2*time.Second)).To(BeFalse())
	g.Expect(pays(2*time.Second, time.Second)).To(BeFalse())
	g.Expect(pays(4*time.Second, 2*time.Second)).To(BeTrue())
}
