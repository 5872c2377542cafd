package leader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the owner and the store")
}

var _ = Describe("an owner that the store turns away", func() {
	var store *rows.Store
	start := func(via plat.Rows) *leader.Leader {
		l := &leader.Leader{
			Name: "entry", Addr: "127.0.0.1:1", Rows: store.Rows(), Via: via, Clock: clock.New(), Tally: &tally.Set{},
			Config: func() *work.Config { return nil },
			Rank:   func() int { return 0 },
			Send:   func(string, work.Order) (work.Results, error) { return work.Results{}, nil },
			Meet:   func(string, work.Order) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		all.Go(func() { l.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			all.Wait()
		})
		return l
	}
	owns := func(l *leader.Leader) func() bool { return l.Owns }
	stored := func(id string) func() bool {
		return func() bool { return store.Row(sched.StateKey(id)).Version != 0 }
	}
	const id = "00000000000000a1"
	withdraw := func(l *leader.Leader) {
		Expect(l.Submit(work.Job{ID: id, Steps: []work.Step{{Count: 1}}})).To(Succeed())
		Expect(l.Cancel(id)).To(Succeed())
	}
	BeforeEach(func() { store = &rows.Store{} })

	It("goes on through others and keeps its term", func() {
		l := start(store.Via())
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		store.Turn(true)
		withdraw(l)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
		Expect(l.Owns()).To(BeTrue())
		Expect(l.Standing().Cut).To(BeZero())
	})
	It("tells since when it has had no answer if there is no way", func() {
		l := start(plat.Rows{})
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		store.Turn(true)
		withdraw(l)
		Eventually(func() time.Duration { return l.Standing().Cut }, 3*time.Second).Should(BeNumerically(">", 100*time.Millisecond))
		Expect(stored(id)()).To(BeFalse())
		store.Turn(false)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
	})
	It("is not claimed by a process that the store turns away", func() {
		store.Turn(true)
		l := start(store.Via())
		Consistently(owns(l), time.Second).Should(BeFalse())
	})
})
