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
	RunSpecs(t, "admission of long-running jobs")
}

// cores converts cores to thousandths of a core.
const cores = 1000

// observe returns a controller of 800 cores that has observed a constant load
// for a duration, and the time after it.
func observe(longRunning, other int64, d time.Duration) (*intake.Controller, time.Duration) {
	g := &intake.Controller{}
	now := time.Duration(0)
	for ; now <= d; now += 100 * time.Millisecond {
		g.Observe(now, intake.Load{Capacity: 800 * cores, LongRunning: longRunning * cores, Other: other * cores})
	}
	return g, now
}

// expectAdmit expects that a job that needs the given cores is accepted or
// rejected, and returns the time after which it should be submitted again.
func expectAdmit(g *intake.Controller, now time.Duration, need int64, want bool) time.Duration {
	GinkgoHelper()
	ok, after := g.Admit(now, need*cores)
	Expect(ok).To(Equal(want))
	return after
}

var _ = Describe("admission controller", func() {
	It("accepts all jobs before it has observed a load", func() {
		expectAdmit(&intake.Controller{}, 0, 5000, true)
	})
	It("reserves a third for other work with a high demand", func() {
		g, now := observe(500, 400, time.Second)
		expectAdmit(g, now, 40, true)
		expectAdmit(g, now, 60, false)
	})
	It("reserves a third while workers still register", func() {
		g := &intake.Controller{}
		for i := range int64(8) {
			g.Observe(time.Duration(i)*time.Second, intake.Load{Capacity: 100 * (i + 1) * cores})
		}
		expectAdmit(g, 8*time.Second, 700, false)
		expectAdmit(g, 8*time.Second, 500, true)
	})
	It("lowers the reserve if there is no other work", func() {
		g, now := observe(500, 0, 10*time.Minute)
		expectAdmit(g, now, 240, true)
		expectAdmit(g, now, 280, false)
	})
	It("keeps the reserve for a while after a peak of other work", func() {
		g, now := observe(500, 300, time.Second)
		for range 200 {
			now += 100 * time.Millisecond
			g.Observe(now, intake.Load{Capacity: 800 * cores, LongRunning: 500 * cores})
		}
		expectAdmit(g, now, 150, false)
	})
	It("gives later retry times to jobs that are rejected later", func() {
		g, now := observe(540, 400, time.Second)
		first := expectAdmit(g, now, 80, false)
		second := expectAdmit(g, now, 80, false)
		Expect(first).To(BeNumerically(">=", 2*time.Second))
		Expect(second).To(BeNumerically(">", first))
		Expect(expectAdmit(g, now, 800, false)).To(Equal(time.Minute))
	})
	It("gives an earlier retry time where capacity becomes free faster", func() {
		g, now := observe(540, 400, time.Second)
		slow := expectAdmit(g, now, 80, false)
		g, now = observe(540, 400, time.Second)
		for range 10 {
			now += time.Second
			g.Observe(now, intake.Load{Capacity: 800 * cores, LongRunning: 300 * cores, Other: 400 * cores})
			g.Observe(now, intake.Load{Capacity: 800 * cores, LongRunning: 540 * cores, Other: 400 * cores})
		}
		Expect(expectAdmit(g, now, 80, false)).To(BeNumerically("<", slow))
	})

	// The demand that tasks declare while they run and wait is several times the work that
	// they bring: a short backlog took the reserve to its bound for minutes.
	It("follows the work that arrives, if it is to, and not the tasks that wait", func() {
		load := intake.Load{Capacity: 800 * cores, LongRunning: 400 * cores, Other: 2000 * cores, Demand: 100 * cores}
		g := &intake.Controller{FollowDemand: true}
		now := time.Duration(0)
		for ; now <= 10*time.Minute; now += 100 * time.Millisecond {
			g.Observe(now, load)
		}
		expectAdmit(g, now, 290, true)
		expectAdmit(g, now, 310, false)
	})
	// With a reserve of at most 0.32, large best-effort jobs ended late on days of high load.
	It("reserves up to 0.45 for the work that arrives", func() {
		g := &intake.Controller{FollowDemand: true}
		g.Observe(0, intake.Load{Capacity: 1000 * cores, Demand: 900 * cores})
		expectAdmit(g, 0, 549, true)
		expectAdmit(g, 0, 551, false)
	})
	It("reserves as much before the demand is known", func() {
		g := &intake.Controller{FollowDemand: true}
		g.Observe(0, intake.Load{Capacity: 1000 * cores})
		expectAdmit(g, 0, 549, true)
		expectAdmit(g, 0, 551, false)
	})
})
