package shed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/shed"
)

func TestShed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overload control")
}

// arrive lets jobs that bring the given work in a second arrive from one time to another.
func arrive(g *shed.Gate, from, to time.Duration, perSecond float64) {
	const gap = 100 * time.Millisecond
	for at := from; at < to; at += gap {
		g.Arrive(at, 2, perSecond*gap.Seconds())
	}
}

var _ = Describe("the observed demand", func() {
	It("is the work that arrives in a second", func() {
		g := &shed.Gate{}
		arrive(g, 0, time.Minute, 500)
		Expect(g.Demand(time.Minute)).To(BeNumerically("~", 500, 10))
	})
	// A window much longer than a burst doesn't show it until it is over.
	It("shows half of the excess of a burst of 7 s at its end", func() {
		g := &shed.Gate{}
		arrive(g, 0, time.Minute, 500)
		arrive(g, time.Minute, 67*time.Second, 1000)
		Expect(g.Demand(67 * time.Second)).To(BeNumerically("~", 750, 25))
	})
	It("falls after the last arrival", func() {
		g := &shed.Gate{}
		arrive(g, 0, time.Minute, 500)
		Expect(g.Demand(2 * time.Minute)).To(BeNumerically("<", 5))
	})
	// A new owner reads the jobs that were accepted lately in any order.
	It("is the same for arrivals in any order", func() {
		g, x := &shed.Gate{}, &shed.Gate{}
		g.Arrive(5*time.Second, 0, 100)
		g.Arrive(time.Second, 0, 300)
		x.Arrive(time.Second, 0, 300)
		x.Arrive(5*time.Second, 0, 100)
		Expect(g.Demand(8 * time.Second)).To(BeNumerically("~", x.Demand(8*time.Second), 1e-9))
	})
	It("is 0 before anything arrived", func() {
		Expect((&shed.Gate{}).Demand(time.Second)).To(BeZero())
	})
})

var _ = Describe("the order of jobs of one priority", func() {
	g := &shed.Gate{}
	g.Observe(shed.Load{Idle: 100_000})

	// A job with much work that starts as late as one with little ends late.
	It("starts a large job before a small one that is due at the same time", func() {
		Expect(g.LatestStart(time.Minute, 500_000)).To(BeNumerically("<", g.LatestStart(time.Minute, 50_000)))
	})
	// Jobs were started that could not end in time with all of the service's capacity.
	It("takes a job for late that would need more than half of the service", func() {
		Expect(g.InTime(500_000, 11*time.Second)).To(BeTrue())
		Expect(g.InTime(500_000, 9*time.Second)).To(BeFalse())
		Expect((&shed.Gate{}).InTime(500_000, 0)).To(BeTrue(), "the capacity is not known")
	})
	It("orders by due time while the capacity is not known", func() {
		Expect((&shed.Gate{}).LatestStart(time.Minute, 500_000)).To(Equal(time.Minute))
	})
	// In the order of due times, all jobs that were started shared the capacity and ended late.
	It("finishes first what needs little more", func() {
		Expect(shed.RelativeCost(100, 1000)).To(BeNumerically("<", shed.RelativeCost(500, 1000)))
	})
	// Large jobs were served less than half as often as all.
	It("prefers a large job to a small one with the same share left, but not to one that needs much less", func() {
		Expect(shed.RelativeCost(5000, 10_000)).To(BeNumerically("<", shed.RelativeCost(500, 1000)))
		Expect(shed.RelativeCost(9500, 10_000)).To(BeNumerically(">", shed.RelativeCost(500, 1000)))
	})
	It("puts jobs without work first", func() {
		Expect(shed.RelativeCost(0, 0)).To(BeZero())
	})
})

var _ = Describe("the admission of a job", func() {
	const minute = time.Minute
	// loaded returns a gate of 100 idle cores with the given backlog in core-seconds of jobs of
	// a priority, which are due early.
	loaded := func(priority int, coreSeconds float64) *shed.Gate {
		g := &shed.Gate{}
		g.Observe(shed.Load{Capacity: 100_000, Idle: 100_000, Free: 50_000, Backlog: []shed.Backlog{{Priority: priority, Due: minute, Work: coreSeconds * 1000}}})
		return g
	}
	// job takes 5 s and may end 30 s after its first submission, at 1 min.
	job := shed.Job{ID: "a", Priority: 2, BestEffort: true, Work: 200_000, Chain: 5 * time.Second, Due: minute + 10*time.Second, Limit: minute + 30*time.Second}

	It("accepts while the capacity is not known", func() {
		g := &shed.Gate{}
		g.Observe(shed.Load{Backlog: []shed.Backlog{{Work: 1e12}}})
		Expect(g.Admit(minute, job).Refused).To(BeFalse())
	})
	// The job can wait for 25 s.
	It("accepts a job that may still end in useful time", func() {
		Expect(loaded(2, 2500).Admit(minute, job).Refused).To(BeFalse())
		Expect(loaded(2, 3700).Admit(minute, job).Refused).To(BeFalse(), "the backlog may be less than learned")
	})
	It("rejects a job that would certainly end too late, and says when to retry", func() {
		v := loaded(2, 4000).Admit(minute, job)
		Expect(v.Refused).To(BeTrue())
		Expect(v.Wait).To(Equal(40 * time.Second))
		Expect(v.Spare).To(Equal(25 * time.Second))
		Expect(v.After).To(Equal(37*time.Second), "the backlog is then a bearable wait")
	})
	It("doesn't let a job wait for less urgent ones", func() {
		Expect(loaded(3, 1e6).Admit(minute, job).Refused).To(BeFalse())
		Expect(loaded(0, 1e6).Admit(minute, job).Refused).To(BeTrue())
	})
	It("counts what more urgent jobs bring in a second", func() {
		g := loaded(2, 2500)
		for at := time.Duration(0); at < minute; at += 100 * time.Millisecond {
			g.Arrive(at, 0, 5000)
		}
		v := g.Admit(minute, job)
		Expect(v.Rate).To(BeNumerically("~", 50_000, 1000))
		Expect(v.Refused).To(BeTrue())
	})
	It("does not wait for hopeless jobs of the same priority, nor for those that are due later", func() {
		g := &shed.Gate{}
		g.Observe(shed.Load{Capacity: 100_000, Idle: 100_000, Backlog: []shed.Backlog{
			{Priority: 2, Due: minute, Work: 1e9, Hopeless: true}, {Priority: 2, Due: 2 * minute, Work: 1e9},
		}})
		Expect(g.Admit(minute, job).Refused).To(BeFalse())
	})
	// Jobs that reserve cores can't use what long-running jobs reserve and leave idle.
	It("counts the capacity that the job can use", func() {
		x := job
		x.BestEffort = false
		Expect(loaded(2, 2000).Admit(minute, x).Refused).To(BeTrue())
		Expect(loaded(2, 2000).Admit(minute, job).Refused).To(BeFalse())
	})
	// Invariant 8: the size of a job must not decide.
	It("rejects large jobs no earlier than small ones", func() {
		for _, backlog := range []float64{2500, 3700, 4000} {
			large := job
			large.Work *= 100
			Expect(loaded(2, backlog).Admit(minute, large).Refused).To(Equal(loaded(2, backlog).Admit(minute, job).Refused))
		}
	})
	It("does not alternate around the limit", func() {
		g := loaded(2, 4000)
		Expect(g.Admit(minute, job).Refused).To(BeTrue())
		g.Observe(shed.Load{Capacity: 100_000, Idle: 100_000, Backlog: []shed.Backlog{{Priority: 2, Due: minute, Work: 3200_000}}})
		Expect(g.Admit(minute, job).Refused).To(BeTrue())
		g.Observe(shed.Load{Capacity: 100_000, Idle: 100_000, Backlog: []shed.Backlog{{Priority: 2, Due: minute, Work: 3000_000}}})
		Expect(g.Admit(minute, job).Refused).To(BeFalse())
	})
	It("rejects no job for a wait of less than 3 s, however long ago it was first submitted", func() {
		late := job
		late.Limit = minute - time.Hour
		Expect(loaded(2, 300).Admit(minute, late).Refused).To(BeFalse())
		Expect(loaded(2, 500).Admit(minute, late).Refused).To(BeTrue())
	})
	It("gives later retry times to jobs that are rejected later, also by an earlier owner", func() {
		g := loaded(2, 4000)
		first := g.Admit(minute, job).After
		other := job
		other.ID = "b"
		Expect(g.Admit(minute, other).After).To(Equal(first + 2*time.Second))
		Expect(g.Admit(minute, other).After).To(Equal(first+2*time.Second), "its own promise does not count")

		next := loaded(2, 4000)
		next.Promise(minute, "a", shed.Promise{At: minute + first, Priority: 2, Work: job.Work})
		Expect(next.Admit(minute, other).After).To(Equal(first + 2*time.Second))
		Expect(next.Admit(3*minute, other).After).NotTo(Equal(first+2*time.Second), "the promise is over")
	})
	It("gives a retry time of at least 2 s and at most a minute", func() {
		Expect(loaded(2, 1e9).Admit(minute, job).After).To(Equal(time.Minute))
		x := job
		x.Limit = 0
		Expect(loaded(2, 470).Admit(minute, x).After).To(Equal(2 * time.Second))
	})
	// Each rejection looks at all promises, which were as many as the jobs rejected in a minute.
	It("keeps a bounded number of promises", func() {
		g := loaded(2, 0)
		for i := range 10_000 {
			g.Promise(minute, fmt.Sprint(i), shed.Promise{At: 2 * minute, Priority: 2, Work: 1})
		}
		Expect(g.Promises()).To(Equal(4096))
		g.Promise(3*minute, "x", shed.Promise{At: 4 * minute})
		Expect(g.Promises()).To(Equal(1), "those that are over are dropped")
	})
	It("counts jobs that were accepted since the load was observed", func() {
		g := loaded(2, 0)
		g.Accepted("x", shed.Backlog{Priority: 2, Due: minute, Work: 4000_000})
		Expect(g.Admit(minute, job).Refused).To(BeTrue())
		Expect(g.Backlog()).To(Equal(4000_000.0))
	})
})
