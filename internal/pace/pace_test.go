package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/pace"
	"lagoonrack/internal/work"
)

const (
	// cores is the size of the worker in thousandths of a core.
	cores = 64000
	// target and base are tail latencies in milliseconds.
	target = 50
	base   = 10.0
)

var (
	serve = work.Run{Task: "s", Num: 1}
	heavy = work.Run{Task: "h", Num: 1}
	light = work.Run{Task: "l", Num: 1}
	about = map[work.Run]work.About{
		serve: {Run: serve, Lasts: true, Target: target, Image: "serve"},
		heavy: {Run: heavy, Fills: true, Image: "heavy"},
		light: {Run: light, Fills: true, Image: "light"},
	}
	factors = []work.Interference{{Fill: "heavy", Serve: "serve", Factor: 2}, {Fill: "light", Serve: "serve", Factor: 0.1}}
)

// simulation is one worker with a latency-critical run, whose tail follows from
// its load and from the levels of two best-effort runs.
type simulation struct {
	throttler pace.Throttler
	load      float64
	levels    map[work.Run]int
	// measuredShare is the share of the real tail that is measured.
	measuredShare float64
	now           time.Duration
	// overTarget is how long the real tail has been over its target.
	overTarget time.Duration
}

func newSimulation() *simulation {
	w := &simulation{measuredShare: 1, levels: map[work.Run]int{heavy: 100, light: 100}}
	w.throttler.SetModel(cores, factors, map[string]float64{"serve": base})
	return w
}

// tail returns the real tail of the latency-critical run in milliseconds.
func (w *simulation) tail() int64 {
	u := w.load + 2*0.11*float64(w.levels[heavy])/100 + 0.1*0.11*float64(w.levels[light])/100
	return int64(base / (1 - min(0.97, u)))
}

// run simulates some seconds and returns the longest time over the target.
func (w *simulation) run(seconds float64) time.Duration {
	var longest time.Duration
	for end := w.now + time.Duration(seconds*float64(time.Second)); w.now < end; w.now += 300 * time.Millisecond {
		tail := w.tail()
		if tail > target {
			w.overTarget += 300 * time.Millisecond
		} else {
			w.overTarget = 0
		}
		longest = max(longest, w.overTarget)
		list := []work.Running{
			{Run: serve, Percent: 100, Figure: int64(w.measuredShare * float64(tail))},
			{Run: heavy, Figure: int64(7000 * w.levels[heavy] / 100)},
			{Run: light, Figure: int64(7000 * w.levels[light] / 100)},
		}
		for _, p := range w.throttler.Step(w.now, list, about) {
			w.levels[p.Run] = p.Percent
		}
	}
	return longest
}

func TestThrottlesTheInterferingRun(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation()
	w.load = 0.7
	g.Expect(w.run(5)).To(BeNumerically("<", 2*time.Second), "more than 4 s over the target is too long")
	g.Expect(w.levels[heavy]).To(BeNumerically("<", 60))
	g.Expect(w.levels[light]).To(Equal(100))
}

func TestReleasesRunsAfterLoadFalls(t *testing.T) {
	w := newSimulation()
	w.load = 0.7
	w.run(4)
	w.load = 0.3
	w.run(4)
	NewWithT(t).Expect(w.levels).To(Equal(map[work.Run]int{heavy: 100, light: 100}))
}

// TestHaltsAllRunsAfterLongTimeOverTarget lets the load of the latency-critical
// run alone exceed its stress limit, so that throttling cannot help.
func TestHaltsAllRunsAfterLongTimeOverTarget(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation()
	w.load = 0.9
	w.run(4)
	g.Expect(w.levels).To(Equal(map[work.Run]int{heavy: 0, light: 0}), "both best-effort runs are halted")
}

func TestRepeatsLostOrder(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation()
	w.load = 0.7
	w.run(2)
	w.throttler.OrderLost(heavy)
	list := []work.Running{{Run: serve, Percent: 100, Figure: 12}, {Run: heavy, Figure: 2000}, {Run: light, Figure: 7000}}
	found := false
	for _, p := range w.throttler.Step(w.now, list, about) {
		found = found || p.Run == heavy
	}
	g.Expect(found).To(BeTrue())
}

// TestNewProcessReleasesThrottledRuns guards against best-effort runs that stay throttled for
// good, since the agent's next process takes them for runs that were never throttled.
func TestNewProcessReleasesThrottledRuns(t *testing.T) {
	for name, withCritical := range map[string]bool{"beside a latency-critical run": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			list := []work.Running{{Run: heavy, Figure: 1400}, {Run: light, Figure: 1400}}
			if withCritical {
				list = append(list, work.Running{Run: serve, Percent: 100, Figure: 12})
			}
			var next pace.Throttler
			next.SetModel(cores, factors, map[string]float64{"serve": base})
			g := NewWithT(t)
			g.Expect(next.Step(0, list, nil)).To(BeEmpty(), "nothing is known of the runs")
			ordered := map[work.Run]int{}
			for _, p := range next.Step(300*time.Millisecond, list, about) {
				ordered[p.Run] = p.Percent
			}
			g.Expect(ordered).To(Equal(map[work.Run]int{heavy: 100, light: 100}))
			g.Expect(next.Step(600*time.Millisecond, list, about)).To(BeEmpty(), "ordered once")
		})
	}
}

// TestThrottlesWhenTailIsMeasuredTooLow guards against trust in measurements that
// are too low. In a simulation, tails were measured as 77 to 104 ms while the real
// tail was over its target of 125 ms for four seconds.
func TestThrottlesWhenTailIsMeasuredTooLow(t *testing.T) {
	for _, load := range []float64{0.55, 0.6, 0.65, 0.7} {
		w := newSimulation()
		w.load, w.measuredShare = load, 0.7
		NewWithT(t).Expect(w.run(15)).To(BeNumerically("<", 3500*time.Millisecond), "load %v; more than 4 s over the target is too long", load)
	}
}

// TestReleasesRunsWithoutLatencyCriticalRuns guards against best-effort runs that stay
// halted after the latency-critical run beside them has ended or moved: nothing was left
// whose tail could have released them. One that is only starting up keeps the levels, or
// it would begin at full interference.
func TestReleasesRunsWithoutLatencyCriticalRuns(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation()
	w.load = 0.9
	w.run(4)
	g.Expect(w.levels).To(Equal(map[work.Run]int{heavy: 0, light: 0}))
	alone := []work.Running{{Run: heavy}, {Run: light}}
	g.Expect(w.throttler.Step(w.now, append([]work.Running{{Run: serve, Percent: 40}}, alone...), about)).To(BeEmpty())
	g.Expect(w.throttler.Step(w.now, alone, about)).To(ConsistOf(
		work.Throttle{Run: heavy, Percent: 100, Reason: "calm"}, work.Throttle{Run: light, Percent: 100, Reason: "calm"}))
}
