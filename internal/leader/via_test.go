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
	RunSpecs(t, "leader")
}

var _ = Describe("an owner whose calls the store rejects", func() {
	var store *rows.Store
	startLeader := func(withRelay plat.Rows) *leader.Leader {
		l := &leader.Leader{
			Name: "entry", Addr: "127.0.0.1:1", Rows: store.Rows(), RowsWithRelay: withRelay, Clock: clock.New(), Tally: &tally.Set{},
			Config:        func() *work.Config { return nil },
			Rank:          func() int { return 0 },
			Send:          func(string, work.Order) (work.Results, error) { return work.Results{}, nil },
			AnnounceOwner: func(string, work.Order) {},
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
	submitAndCancel := func(l *leader.Leader) {
		Expect(l.Submit(work.Job{ID: id, Steps: []work.Step{{Count: 1}}})).To(Succeed())
		Expect(l.Cancel(id)).To(Succeed())
	}
	BeforeEach(func() { store = &rows.Store{} })

	It("commits through other entries and keeps the cell", func() {
		l := startLeader(store.Via())
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		store.Turn(true)
		submitAndCancel(l)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
		Expect(l.Owns()).To(BeTrue())
		Expect(l.Status().StoreOutage).To(BeZero())
	})
	It("reports the length of the outage if there is no relay", func() {
		l := startLeader(plat.Rows{})
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		store.Turn(true)
		submitAndCancel(l)
		Eventually(func() time.Duration { return l.Status().StoreOutage }, 3*time.Second).Should(BeNumerically(">", 100*time.Millisecond))
		Expect(stored(id)()).To(BeFalse())
		store.Turn(false)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
	})
	It("does not claim the cell although a relay would work", func() {
		store.Turn(true)
		l := startLeader(store.Via())
		Consistently(owns(l), time.Second).Should(BeFalse())
	})
})
