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
