package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/where"
	"lagoonrack/internal/work"
)

// dump describes everything that can be reached from a core, by the address of each object. Two
// dumps of a core are equal if nothing has changed between them.
func dump(c *sched.Core) map[string]string {
	d := dumper{}
	d.object(reflect.ValueOf(c))
	return d
}

// dumper holds the descriptions of objects.
type dumper map[string]string

// object describes what a pointer points to, unless that is done already, and returns its address.
func (d dumper) object(p reflect.Value) string {
	key := fmt.Sprintf("%s %x", p.Type(), p.Pointer())
	if _, ok := d[key]; !ok && !p.IsNil() {
		d[key] = ""
		d[key] = d.value(p.Elem())
	}
	return key
}

// value describes a value.
func (d dumper) value(v reflect.Value) string {
	var parts []string
	switch v.Kind() {
	case reflect.Pointer:
		return d.object(v)
	case reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return d.value(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, v.Type().Field(i).Name+":"+d.value(v.Field(i)))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			parts = append(parts, d.value(v.Index(i)))
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			parts = append(parts, d.value(it.Key())+"="+d.value(it.Value()))
		}
		slices.Sort(parts)
	case reflect.Func:
		return fmt.Sprintf("func %x", v.Pointer())
	default:
		return fmt.Sprint(v)
	}
	return v.Kind().String() + "{" + strings.Join(parts, " ") + "}"
}

// expectUnchanged expects that a call changes nothing in the core.
func expectUnchanged(c *sched.Core, call func()) {
	GinkgoHelper()
	before := dump(c)
	call()
	after := dump(c)
	Expect(len(after)).To(Equal(len(before)))
	for k, v := range after {
		// A comparison of the maps as a whole would print all of both.
		Expect(v).To(Equal(before[k]), k)
	}
}

// newJob returns a job of one step.
func newJob(id, queue string, step work.Step) work.Job {
	return work.Job{ID: id, Queue: queue, Service: "s", Spec: "x", Steps: []work.Step{step}}
}

var _ = Describe("the explanation where a job would go", func() {
	const most = 10
	advised := work.Queue{Name: "advised", Service: "s", Attempts: 3, Stretch: 2, Target: 500, Advised: true, Decide: 20, Each: 1}
	queues := append([]work.Queue{advised}, testQueues...)
	// busyCell returns a cell with long-running and best-effort tasks, an advised job, a job
	// that waits, a suspect worker, one that drains, and a service that rejects long-running jobs.
	busyCellWith := func(limits sched.Limits) *testCell {
		s := newLimitedCell(limits, queues, 16, 16, 16, 32, 32, 64)
		s.submit("web", "serve", latencyStep(6, 8))
		s.submit("plan", "fill", bestEffortStep(4))
		s.submit("asked", "advised", shortStep(2, false))
		for _, job := range []string{"poison0", "poison1", "poison2"} {
			step := shortStep(1, false)
			s.submit(job, "short", step)
			s.advance(tickInterval)
			for _, w := range s.workers {
				for r := range w.runs {
					if strings.HasPrefix(r.Task, job) {
						s.endRun(w, r, work.Failed)
					}
				}
			}
		}
		s.workers[1].Leaving = true
		s.submit("wide", "short", work.Step{Count: 40, Size: vect.Size{Cores: 14 * cores, Memory: 10}, Estimate: 500})
		s.advance(3 * time.Second)
		return s
	}
	busyCell := func() *testCell { return busyCellWith(sched.Limits{}) }
	// jobs are new jobs of each kind, and some that the busy cell knows.
	jobs := func() []work.Job {
		gang := work.Step{Count: 9, Size: vect.Size{Cores: 14 * cores, Memory: 10}, Gang: true, Tight: true}
		label := shortStep(1, false)
		label.Needs = "missing"
		timed := newJob("timed", "short", shortStep(2, false))
		timed.Times, timed.Every, timed.First = 3, 1000, 1<<50
		chain := newJob("chain", "short", shortStep(2, false))
		chain.Steps = append(chain.Steps, work.Step{Count: 1, After: []int{0}}, shortStep(3, true))
		unmeasured := bestEffortStep(5)
		unmeasured.Image = "unmeasured"
		return []work.Job{
			newJob("unmeasured", "fill", unmeasured), newJob("new", "short", shortStep(3, false)), newJob("best-effort", "fill", bestEffortStep(5)),
			newJob("lasting", "serve", latencyStep(2, 8)), newJob("large", "serve", latencyStep(40, 16)),
			newJob("advised-2", "advised", shortStep(2, false)), newJob("gang", "short", gang), newJob("labelled", "short", label),
			timed, chain, newJob("unknown-queue", "nowhere", shortStep(1, false)),
			{ID: "wide"}, {ID: "asked"}, {ID: "plan"}, {ID: "web"},
		}
	}

	// A question of an operator must not change what the owner decides: it is not an event, and a
	// later owner or a comparison run would decide differently.
	It("changes nothing in the core", func() {
		s := busyCell()
		for _, j := range jobs() {
			// The cached headroom of workers expires after 100 ms.
			for _, after := range []time.Duration{0, time.Second} {
				expectUnchanged(s.core, func() { s.core.Where(s.now+after, j, most) })
			}
		}
		expectUnchanged(s.core, func() {})
	})
	// Overload control keeps promises to rejected callers, and estimates of workers' speed are
	// combined when they are asked for.
	It("changes nothing in a core with overload control that learns the speed of workers", func() {
		s := busyCellWith(sched.Limits{Overload: true, Uneven: true})
		for i := range 60 {
			s.submit(fmt.Sprint("ahead", i), "short", work.Step{Count: 40, Size: vect.Size{Cores: 14 * cores, Memory: 10}, Estimate: 500})
		}
		s.submit("learned", "short", shortStep(1, false))
		s.advance(3 * time.Second)
		for _, j := range jobs() {
			expectUnchanged(s.core, func() { s.core.Where(s.now, j, most) })
		}
	})
	It("is noticed by the comparison if it changes something", func() {
		s := busyCell()
		before := dump(s.core)
		s.core.Admit(s.now, newJob("lasting", "serve", latencyStep(2, 8)))
		Expect(maps.Equal(before, dump(s.core))).To(BeFalse())
	})
	It("says what admission says", func() {
		s := busyCell()
		for _, j := range jobs() {
			a := s.core.Where(s.now, j, most)
			if s.core.State(j.ID) != "" {
				Expect(a.State).To(Equal(s.core.State(j.ID)))
				Expect(a.Rejected).To(BeEmpty())
				continue
			}
			real := s.core.Admit(s.now, j)
			Expect(a.Rejected != "").To(Equal(real.Refused), j.ID)
			Expect(a.RetryAfter).To(Equal(real.After), j.ID)
		}
		Expect(s.core.Where(s.now, newJob("large", "serve", latencyStep(40, 16)), most).Rejected).To(Equal("full"))
	})

	// expectExcluded expects a reason against each of some workers, and that no worker fits.
	expectExcluded := func(s *testCell, j work.Job, reason string, workers int) {
		GinkgoHelper()
		a := s.core.Where(s.now, j, most)
		Expect(a.Steps).To(HaveLen(1))
		Expect(a.Steps[0].Fitting).To(BeZero())
		Expect(a.Steps[0].Excluded).To(HaveKeyWithValue(reason, workers))
		Expect(a.String()).To(ContainSubstring("excluded for " + reason))
	}
	It("names the reason why no worker can take a task", func() {
		s := newTestCell(queues, 16, 16)
		label := shortStep(1, false)
		label.Needs = "missing"
		expectExcluded(s, newJob("labelled", "short", label), "label", 2)
		expectExcluded(s, newJob("huge", "short", work.Step{Count: 1, Size: vect.Size{Cores: 17 * cores}}), "capacity", 2)
		expectExcluded(s, newJob("asked", "advised", shortStep(1, false)), "advice", 2)
		s.submit("told", "advised", shortStep(1, false))
		s.step(sched.Advice{Question: s.adviceRequests[0].Question, Valid: time.Second})
		expectExcluded(s, work.Job{ID: "told"}, "refused", 2)
		apart := latencyStep(3, 1)
		apart.Apart = 1
		s.submit("apart", "serve", apart)
		expectExcluded(s, work.Job{ID: "apart"}, "spread", 2)
		for _, w := range s.workers {
			w.Leaving = true
		}
		s.advance(tickInterval)
		expectExcluded(s, newJob("new", "short", shortStep(1, false)), "leaving", 2)
		workers := s.workers
		s.workers = nil
		s.advance(2 * time.Second)
		s.workers = workers
		expectExcluded(s, newJob("new", "short", shortStep(1, false)), "silent", 2)
	})
	It("says that a job would be rejected for overload", func() {
		limits := sched.Limits{Overload: true}
		s := newLimitedCell(limits, testQueues, 4)
		s.advance(3 * time.Second)
		step := work.Step{Count: 8, Size: vect.Size{Cores: cores, Memory: 10}, Estimate: 1000}
		s.submit("first", "short", step)
		for s.core.State("first") != "completed" {
			s.advance(time.Second)
			for r := range s.workers[0].runs {
				s.endRun(s.workers[0], r, work.Done)
			}
		}
		for i := range 40 {
			s.submit(fmt.Sprint("waiting", i), "short", step)
		}
		s.advance(tickInterval)
		next := newJob("next", "short", step)
		var a where.Answer
		expectUnchanged(s.core, func() { a = s.core.Where(s.now, next, most) })
		Expect(a.Rejected).To(Equal("overload"))
		Expect(a.RetryAfter).To(Equal(s.core.Admit(s.now, next).After))
	})
	It("names an evacuated zone", func() {
		s := newZonedCell(16, 16, 16)
		s.evacuate("z0", "z2")
		a := s.core.Where(s.now, newJob("new", "short", shortStep(1, false)), most)
		Expect(a.Steps[0].Excluded).To(HaveKeyWithValue("zone", 2))
		Expect(a.Steps[0].Fitting).To(Equal(1))
	})
	It("names what keeps best-effort tasks off a worker", func() {
		s := newTestCell(queues, 16)
		s.submit("web", "serve", latencyStep(1, 14))
		s.submit("plan", "fill", bestEffortStep(6))
		// For a longer time, the tasks of this cell would be moved as starved.
		s.advance(3 * tickInterval)
		expectExcluded(s, newJob("more", "fill", bestEffortStep(6)), "idle", 1)
	})
	It("says that a gang has not enough room", func() {
		s := newTestCell(queues, 16, 16)
		gang := work.Step{Count: 3, Size: vect.Size{Cores: 10 * cores}, Gang: true}
		a := s.core.Where(s.now, newJob("gang", "short", gang), most)
		Expect(a.Steps[0].Held).To(Equal("gang"))
		Expect(a.Steps[0].Room).To(Equal(2))
		gang.Count = 2
		Expect(s.core.Where(s.now, newJob("gang", "short", gang), most).Steps[0].Held).To(BeEmpty())
	})
	It("is about the first ready steps and cut to what the caller asks for", func() {
		s := newTestCell(queues, 16, 16, 16)
		chain := newJob("chain", "short", shortStep(1, false))
		for range 5 {
			chain.Steps = append(chain.Steps, shortStep(1, false))
		}
		chain.Steps = append(chain.Steps, work.Step{Count: 1, After: []int{0}})
		a := s.core.Where(s.now, chain, 2)
		Expect(a.Steps).To(HaveLen(4))
		Expect(a.More).To(Equal(2))
		Expect(a.Later).To(Equal(1))
		Expect(a.Workers).To(Equal(3))
		for _, x := range a.Steps {
			Expect(x.Candidates).To(HaveLen(2))
			Expect(x.Fitting).To(Equal(3))
		}
	})
	It("counts the jobs that are ahead", func() {
		s := newTestCell(queues, 16)
		s.submit("web", "serve", latencyStep(1, 16))
		for i := range 3 {
			s.submit(fmt.Sprint("waits", i), "short", shortStep(1, false))
		}
		s.advance(time.Second)
		Expect(s.core.Where(s.now, newJob("new", "fill", bestEffortStep(1)), most).Ahead).To(Equal(3))
	})

	// The explanation would mislead if it named another worker than the scheduler chooses.
	It("names first the worker that the scheduler chooses", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		placed, waited := 0, 0
		for range 60 {
			sizes := make([]int64, 2+rng.IntN(8))
			for i := range sizes {
				sizes[i] = 8 << rng.IntN(3)
			}
			s := newTestCell(queues, sizes...)
			for i := range 30 {
				j := newJob(fmt.Sprintf("job%d", i), "short", work.Step{Count: 1 + rng.IntN(4), Size: vect.Size{Cores: int64(1+rng.IntN(8)) * cores, Memory: 10}, Estimate: 800})
				switch rng.IntN(3) {
				case 0:
					j.Queue, j.Steps[0] = "serve", latencyStep(1, int64(1+rng.IntN(6)))
					j.Steps[0].Apart = rng.IntN(2)
				case 1:
					j.Queue, j.Steps[0] = "fill", bestEffortStep(int64(1+rng.IntN(6)))
					j.Steps[0].Near = fmt.Sprintf("r%d", rng.IntN(3))
				}
				a := s.core.Where(s.now, j, 1)
				j.At = s.now.Milliseconds()
				s.step(sched.Submit{Job: j})
				i := slices.IndexFunc(s.decisions, func(d sched.Decision) bool { return d.Kind == "place" && d.Task == j.ID+".0.0.0" })
				if i < 0 {
					Expect(a.Steps[0].Fitting).To(BeZero(), a.String())
					waited++
				} else {
					Expect(a.Steps[0].Fitting).NotTo(BeZero(), a.String())
					Expect(a.Steps[0].Candidates[0].Worker).To(Equal(s.decisions[i].Worker), a.String())
					placed++
				}
				s.advance(time.Duration(rng.IntN(8)) * tickInterval)
				if w := s.workers[rng.IntN(len(s.workers))]; rng.IntN(2) == 0 {
					for r := range w.runs {
						s.endRun(w, r, work.Done)
						break
					}
				}
			}
		}
		Expect(placed).To(BeNumerically(">", 300))
		Expect(waited).To(BeNumerically(">", 100))
	})
})

// TestWhereCostIsBounded guards against an explanation that keeps the owner of 1,000 workers from
// its work for long. Allocations are counted because, unlike times, they don't depend on the machine.
func TestWhereCostIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedLoadedCell(sched.Limits{}, 1000, 1)
	s.play(time.Second, 0.95)
	j := newJob("new", "fill", work.Step{Count: 20, Size: vect.Size{Cores: 3500, Memory: 100}, Fills: true, Image: "fill-1", Estimate: 2000})
	j.Steps = slices.Repeat(j.Steps, 50)
	allocations := testing.AllocsPerRun(3, func() { s.core.Where(s.now, j, 1<<30) })
	a := s.core.Where(s.now, j, 1<<30)
	g.Expect(a.Steps).To(HaveLen(4))
	g.Expect(a.More).To(Equal(46))
	for _, x := range a.Steps {
		g.Expect(x.Candidates).To(HaveLen(100))
	}
	g.Expect(allocations).To(BeNumerically("<", 10*len(a.Steps)*len(s.nodes)))
}

// BenchmarkWhere measures one explanation of four best-effort steps.
func BenchmarkWhere(b *testing.B) {
	for _, workers := range []int{240, 1000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newLimitedLoadedCell(sched.Limits{}, workers, 1)
			s.play(2*time.Second, 0.95)
			step := work.Step{Count: 20, Size: vect.Size{Cores: 3500, Memory: 100}, Fills: true, Image: "fill-1", Estimate: 2000}
			j := work.Job{ID: "new", Queue: "fill", Service: "s", Steps: []work.Step{step, step, step, step}}
			b.ReportAllocs()
			for b.Loop() {
				s.core.Where(s.now, j, 10)
			}
		})
	}
}
