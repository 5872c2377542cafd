package shed_test

import (
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
