package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/evac"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// evacuationLimits are those of an owner that follows evacuations.
var evacuationLimits = sched.Limits{Evacuation: 5 * time.Second}

// zoneTick advances the time and keeps the owner's knowledge of the zones recent. The runs make
// progress.
func (s *testCell) zoneTick(d time.Duration, closed ...string) {
	for until := s.now + d; s.now < until; {
		for _, w := range s.workers {
			for _, r := range w.runs {
				r.percent = max(r.percent, min(r.percent+1, 99))
			}
		}
		s.zoneTickStalled(tickInterval, closed...)
	}
}

// zoneTickStalled is zoneTick while no run makes progress.
func (s *testCell) zoneTickStalled(d time.Duration, closed ...string) {
	for until := s.now + d; s.now < until; s.advance(tickInterval) {
		s.evacuate(closed...)
	}
	s.evacuate(closed...)
}

// evacuate tells the owner which zones are evacuated now.
func (s *testCell) evacuate(closed ...string) {
	s.version++
	s.step(sched.Evacuated{Zones: evac.Zones{}.WithPeer(s.version, s.now, closed)})
}

// newZonedCell returns a cell that follows evacuations, with a zone for each worker: z0, z1 and
// so on.
func newZonedCell(sizes ...int64) *testCell {
	s := newLimitedCell(evacuationLimits, testQueues, sizes...)
	for i, w := range s.workers {
		w.Zone = fmt.Sprint("z", i)
	}
	s.zoneTick(tickInterval)
	return s
}

// startsOrdered counts the starts in the orders to each worker since the cell began.
func (s *testCell) startsOrdered() []int {
	out := make([]int, len(s.workers))
	for _, f := range s.orders {
		out[slices.Index(s.workers, s.workerByAgent(f.Agent))] += len(f.Order.Starts)
	}
	return out
}

var _ = Describe("an owner that follows evacuations", func() {
	It("starts nothing before it knows the zones, nor when it has not heard of them for long", func() {
		s := newLimitedCell(evacuationLimits, testQueues, 8)
		s.submit("a", "short", shortStep(1, false))
		s.advance(time.Second)
		Expect(s.tasksPerWorker("a")).To(Equal([]int{0}))
		s.evacuate()
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("a")).To(Equal([]int{1}))
		s.advance(evac.MaxAge(evacuationLimits.Evacuation) + tickInterval)
		s.submit("b", "short", shortStep(1, false))
		s.advance(time.Second)
		Expect(s.tasksPerWorker("b")).To(Equal([]int{0}))
		s.evacuate()
		s.advance(tickInterval)
		Expect(s.tasksPerWorker("b")).To(Equal([]int{1}))
	})
	It("starts nothing in an evacuated zone until it is taken back, and lets the runs there go on", func() {
		s := newZonedCell(16, 16)
		s.submit("web", "serve", latencyStep(2, 9))
		s.zoneTick(tickInterval)
		Expect(s.tasksPerWorker("web")).To(Equal([]int{1, 1}))
		s.evacuate("z1")
		s.submit("a", "short", shortStep(3, false))
		s.zoneTick(5*time.Second, "z1")
		Expect(s.tasksPerWorker("a")).To(Equal([]int{1, 0}))
		Expect(s.tasksPerWorker("web")).To(Equal([]int{1, 1}))
		Expect(s.core.Census().Held).To(HaveKeyWithValue("zone", 2))
		Expect(s.core.Census()).To(HaveField("Evacuated", 1))
		Expect(s.core.Census()).To(HaveField("Ready", 1))
		s.zoneTick(tickInterval)
		Expect(s.tasksPerWorker("a")).To(Equal([]int{1, 1}))
		Expect(s.core.CheckIndexes()).To(Succeed())
	})
	It("starts nothing anywhere while all zones are evacuated, and loses nothing", func() {
		s := newZonedCell(8, 8)
		s.evacuate("z0", "z1")
		s.submit("a", "short", shortStep(4, false))
		s.submit("web", "serve", latencyStep(1, 1))
		s.zoneTick(6*time.Second, "z0", "z1")
		Expect(s.startsOrdered()).To(Equal([]int{0, 0}))
		s.zoneTick(tickInterval)
		Expect(s.tasksPerWorker("a")).To(ConsistOf(1, 2))
		Expect(s.tasksPerWorker("web")).To(ConsistOf(1, 0))
	})
	// The placement is stored before the start is ordered, which takes seconds while the store
	// is slow.
	It("withdraws starts that were decided and not ordered", func() {
		s := newZonedCell(8, 8)
		s.setStoreDown(true)
		s.submit("a", "short", shortStep(4, false))
		s.zoneTick(tickInterval)
		s.zoneTick(tickInterval, "z1")
		s.setStoreDown(false)
		s.zoneTick(time.Second, "z1")
		Expect(s.startsOrdered()[1]).To(BeZero())
		Expect(s.tasksPerWorker("a")).To(Equal([]int{2, 0}))
		Expect(s.core.CheckIndexes()).To(Succeed())
		s.zoneTick(tickInterval)
		Expect(s.tasksPerWorker("a")).To(Equal([]int{2, 2}))
	})
	It("withdraws a gang as a whole", func() {
		s := newZonedCell(8, 8, 8)
		s.setStoreDown(true)
		gang := shortStep(2, false)
		gang.Gang, gang.Size.Cores = true, 8*cores
		s.submit("g", "short", gang)
		s.zoneTick(tickInterval)
		s.zoneTick(tickInterval, "z0")
		s.setStoreDown(false)
		s.zoneTick(2*time.Second, "z0")
		Expect(s.tasksPerWorker("g")).To(Equal([]int{0, 1, 1}))
		Expect(s.startsOrdered()[0]).To(BeZero())
	})
	// Only the worker's list shows what became of an order without an answer. A repeated order
	// would start the run after the evacuation.
	It("does not repeat an order, and starts the task elsewhere once the order can't be carried out any more", func() {
		s := newZonedCell(8, 8)
		s.ordersLost = true
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		first := slices.Index(s.startsOrdered(), 1)
		closed := s.workers[first].Zone
		s.ordersLost = false
		s.zoneTick(time.Second, closed)
		Expect(s.startsOrdered()).To(ConsistOf(1, 0), "the order may still be in flight")
		s.zoneTick(2*time.Second, closed)
		Expect(s.startsOrdered()).To(Equal([]int{1, 1}))
		Expect(s.tasksPerWorker("a")[1-first]).To(Equal(1))
	})
	It("lets a run with an unknown outcome go on if the worker lists it", func() {
		s := newZonedCell(8)
		s.resultsLost = true
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		s.zoneTick(4*time.Second, "z0")
		Expect(s.tasksPerWorker("a")).To(Equal([]int{1}))
	})
	It("does not order the starts that an earlier owner decided", func() {
		s := newZonedCell(8, 8)
		s.ordersLost = true
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		first := slices.Index(s.startsOrdered(), 1)
		closed := s.workers[first].Zone
		s.ordersLost, s.orders = false, nil
		s.replaceOwner(work.Job{ID: "a", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{shortStep(1, false)}})
		s.zoneTick(4*time.Second, closed)
		Expect(s.startsOrdered()[first]).To(BeZero())
		Expect(s.tasksPerWorker("a")[1-first]).To(Equal(1))
	})
	// Seed 7 of TestChaosEvacuations: the rows name only the worker and not its zone.
	It("orders nothing on a worker that has not reported to it", func() {
		s := newZonedCell(8)
		s.ordersLost = true
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		s.orders = nil
		s.replaceOwner(work.Job{ID: "a", Queue: "short", Service: "s", Spec: "x", Steps: []work.Step{shortStep(1, false)}})
		for range 30 {
			s.now += tickInterval
			s.evacuate("z0")
			s.step(sched.Tick{})
		}
		Expect(s.startsOrdered()).To(Equal([]int{0}))
	})
	It("starts no copy of a straggler in an evacuated zone", func() {
		s := newZonedCell(8, 8)
		step := shortStep(1, false)
		step.Copies = true
		s.submit("a", "short", step)
		s.zoneTick(tickInterval)
		busy := slices.Index(s.tasksPerWorker("a"), 1)
		other := s.workers[1-busy].Zone
		percent := func(w *testWorker) {
			for _, r := range w.runs {
				r.percent++
			}
		}
		for range 8 {
			percent(s.workers[busy])
			s.zoneTickStalled(500*time.Millisecond, other)
		}
		Expect(s.startsOrdered()).To(ConsistOf(1, 0))
		s.zoneTickStalled(500 * time.Millisecond)
		Expect(s.startsOrdered()).To(Equal([]int{1, 1}))
	})
	It("stops a run without progress in an evacuated zone only if another worker can take it", func() {
		s := newZonedCell(8, 8)
		s.submit("big", "serve", latencyStep(1, 8))
		s.zoneTick(tickInterval)
		full := slices.Index(s.tasksPerWorker("big"), 1)
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		closed := s.workers[1-full].Zone
		s.zoneTickStalled(4*time.Second, closed)
		Expect(s.countMoves("stalled")).To(BeZero())
		Expect(s.tasksPerWorker("a")[1-full]).To(Equal(1))
		for r := range maps.Clone(s.workers[full].runs) {
			s.endRun(s.workers[full], r, work.Stopped)
		}
		s.step(sched.Cancel{ID: "big"})
		s.zoneTickStalled(500*time.Millisecond, closed)
		Expect(s.countMoves("stalled")).To(Equal(1))
		Expect(s.tasksPerWorker("a")[full]).To(Equal(1))
	})
	It("preempts no run in an evacuated zone", func() {
		s := newZonedCell(8)
		s.submit("plan", "fill", bestEffortStep(4))
		s.zoneTick(time.Second)
		running := s.tasksPerWorker("plan")
		s.evacuate("z0")
		s.submit("web", "serve", latencyStep(1, 8))
		s.zoneTick(2*time.Second, "z0")
		Expect(s.countMoves("preempted")).To(BeZero())
		Expect(s.tasksPerWorker("plan")).To(Equal(running))
	})
	It("moves a long-running task off a draining worker only to a zone that is not evacuated", func() {
		s := newZonedCell(8, 8)
		s.submit("web", "serve", latencyStep(1, 4))
		s.zoneTick(4 * time.Second)
		busy := slices.Index(s.tasksPerWorker("web"), 1)
		s.workers[busy].Leaving, s.workers[busy].Remaining = true, 9000
		other := s.workers[1-busy].Zone
		s.zoneTick(time.Second, other)
		Expect(s.tasksPerWorker("web")[busy]).To(Equal(1))
		s.zoneTick(time.Second)
		Expect(s.tasksPerWorker("web")[1-busy]).To(Equal(1))
	})
	It("asks the advisor only about workers of other zones", func() {
		s := newLimitedCell(evacuationLimits, append([]work.Queue{{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true}}, testQueues...), 8, 8)
		s.workers[0].Zone, s.workers[1].Zone = "z0", "z1"
		s.zoneTick(tickInterval, "z0")
		s.submit("a", "advised", shortStep(1, false))
		s.zoneTick(tickInterval, "z0")
		Expect(s.adviceRequests).To(HaveLen(1))
		Expect(s.adviceRequests[0].Workers).To(Equal([]string{"w1"}))
	})
	It("counts only the capacity of zones that are not evacuated for admission", func() {
		s := newZonedCell(32, 32)
		s.zoneTick(3 * time.Second)
		job := func(id string) work.Job {
			return work.Job{ID: id, Queue: "serve", Service: "s", Spec: "x", Steps: []work.Step{latencyStep(1, 30)}}
		}
		Expect(s.core.Admit(s.now, job("a")).Refused).To(BeFalse())
		s.zoneTick(3*time.Second, "z0", "z1")
		Expect(s.core.Admit(s.now, job("b")).Refused).To(BeTrue())
	})
	It("sets a time limit to the starts in its orders", func() {
		s := newZonedCell(8)
		s.submit("a", "short", shortStep(1, false))
		s.zoneTick(tickInterval)
		for _, f := range s.orders {
			Expect(f.Order.StartBy).To(Equal(s.orderedAt[0] + evac.OrderLifetime))
		}
		unset := newTestCell(testQueues, 8)
		unset.submit("a", "short", shortStep(1, false))
		unset.advance(tickInterval)
		Expect(unset.orders).NotTo(BeEmpty())
		Expect(unset.orders[0].Order.StartBy).To(BeZero())
	})
	It("prefers a warm worker, and for work that can't wait even a worse one", func() {
		place := func(limits sched.Limits, queue string, step work.Step) int {
			s := newLimitedCell(limits, testQueues, 16, 16)
			s.evacuate()
			s.submit("other", "serve", latencyStep(1, 4))
			s.advance(tickInterval)
			cold := s.workers[slices.Index(s.tasksPerWorker("other"), 1)]
			cold.Cold = 5000
			s.evacuate()
			s.advance(tickInterval)
			s.submit("a", queue, step)
			s.evacuate()
			s.advance(tickInterval)
			return s.tasksPerWorker("a")[slices.Index(s.workers, cold)]
		}
		Expect(place(evacuationLimits, "serve", latencyStep(1, 2))).To(BeZero())
		Expect(place(sched.Limits{}, "serve", latencyStep(1, 2))).To(Equal(1), "without the setting")
		Expect(place(evacuationLimits, "short", shortStep(1, false))).To(BeZero(), "a job with little slack")
	})
})
