package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lasting jobs at the gate of a service")
}

const cores = 1000

// busy is a gate of 800 cores that has seen a load for a while.
func busy(lasting, others int64, d time.Duration) (*intake.Gate, time.Duration) {
	g := &intake.Gate{}
	now := time.Duration(0)
	for ; now <= d; now += 100 * time.Millisecond {
		g.Observe(now, intake.Load{Size: 800 * cores, Lasting: lasting * cores, Others: others * cores})
	}
	return g, now
}

// asks expects the answer for a job of so many cores.
func asks(g *intake.Gate, now time.Duration, need int64, want bool) time.Duration {
	GinkgoHelper()
	ok, after := g.Ask(now, need*cores)
	Expect(ok).To(Equal(want))
	return after
}

var _ = Describe("a gate", func() {
	It("takes all jobs while it knows nothing", func() {
		asks(&intake.Gate{}, 0, 5000, true)
	})
	It("keeps a third for other work that asks for it", func() {
		g, now := busy(500, 400, time.Second)
		asks(g, now, 40, true)
		asks(g, now, 60, false)
	})
	It("keeps as much while its workers are still being heard", func() {
		g := &intake.Gate{}
		for i := range int64(8) {
			g.Observe(time.Duration(i)*time.Second, intake.Load{Size: 100 * (i + 1) * cores})
		}
		asks(g, 8*time.Second, 700, false)
		asks(g, 8*time.Second, 500, true)
	})
	It("gives a service to lasting jobs that has no other work", func() {
		g, now := busy(500, 0, 10*time.Minute)
		asks(g, now, 240, true)
		asks(g, now, 280, false)
	})
	It("remembers a crest for a while", func() {
		g, now := busy(500, 300, time.Second)
		for range 200 {
			now += 100 * time.Millisecond
			g.Observe(now, intake.Load{Size: 800 * cores, Lasting: 500 * cores})
		}
		asks(g, now, 150, false)
	})
	It("orders those that it sends away", func() {
		g, now := busy(540, 400, time.Second)
		first := asks(g, now, 80, false)
		second := asks(g, now, 80, false)
		Expect(first).To(BeNumerically(">=", 2*time.Second))
		Expect(second).To(BeNumerically(">", first))
		Expect(asks(g, now, 800, false)).To(Equal(time.Minute))
	})
	It("tells a shorter time where room comes up sooner", func() {
		g, now := busy(540, 400, time.Second)
		slow := asks(g, now, 80, false)
		g, now = busy(540, 400, time.Second)
		for range 10 {
			now += time.Second
			g.Observe(now, intake.Load{Size: 800 * cores, Lasting: 300 * cores, Others: 400 * cores})
			g.Observe(now, intake.Load{Size: 800 * cores, Lasting: 540 * cores, Others: 400 * cores})
		}
		Expect(asks(g, now, 80, false)).To(BeNumerically("<", slow))
	})
})
