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
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the owner and the store")
}

// table is a store of rows in memory that may turn callers away.
type table struct {
	mu      sync.Mutex
	rows    map[string]plat.Row
	version uint64
	away    bool
}

// at returns the store as a process sees it that it may turn away.
func (t *table) at() plat.Rows {
	return plat.Rows{
		Read: func(_ context.Context, key string) (plat.Row, plat.Stamp, error) { return t.read(key, true) },
		List: func(context.Context, string) ([]plat.Row, plat.Stamp, error) { return nil, t.stamp(), nil },
		Feed: func(context.Context, string, uint64, time.Duration) ([]plat.Row, plat.Stamp, error) {
			return nil, t.stamp(), nil
		},
		Commit: func(_ context.Context, txn plat.Txn) (plat.Stamp, error) { return t.commit(txn, true) },
	}
}

// via returns the store as other processes see it.
func (t *table) via() plat.Rows {
	return plat.Rows{
		Read:   func(_ context.Context, key string) (plat.Row, plat.Stamp, error) { return t.read(key, false) },
		Commit: func(_ context.Context, txn plat.Txn) (plat.Stamp, error) { return t.commit(txn, false) },
	}
}

func (t *table) stamp() plat.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return plat.Stamp{Version: t.version}
}

func (t *table) read(key string, turned bool) (plat.Row, plat.Stamp, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if turned && t.away {
		return plat.Row{}, plat.Stamp{}, plat.ErrRefused
	}
	return t.rows[key], plat.Stamp{Version: t.version}, nil
}

func (t *table) commit(txn plat.Txn, turned bool) (plat.Stamp, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if turned && t.away {
		return plat.Stamp{}, plat.ErrRefused
	}
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return plat.Stamp{}, plat.ErrConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		t.rows[w.Key] = plat.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return plat.Stamp{Version: t.version}, nil
}

func (t *table) turn(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
}

var _ = Describe("an owner that the store turns away", func() {
	var rows *table
	start := func(via plat.Rows) *leader.Leader {
		l := &leader.Leader{
			Name: "entry", Addr: "127.0.0.1:1", Rows: rows.at(), Via: via, Clock: clock.New(), Tally: &tally.Set{},
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
		return func() bool {
			row, _, err := rows.read(sched.StateKey(id), false)
			return err == nil && row.Version != 0
		}
	}
	const id = "00000000000000a1"
	withdraw := func(l *leader.Leader) {
		Expect(l.Submit(work.Job{ID: id, Steps: []work.Step{{Count: 1}}})).To(Succeed())
		Expect(l.Cancel(id)).To(Succeed())
	}
	BeforeEach(func() { rows = &table{rows: map[string]plat.Row{}} })

	It("goes on through others and keeps its term", func() {
		l := start(rows.via())
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		rows.turn(true)
		withdraw(l)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
		Expect(l.Owns()).To(BeTrue())
		Expect(l.Standing().Cut).To(BeZero())
	})
	It("tells since when it has had no answer if there is no way", func() {
		l := start(plat.Rows{})
		Eventually(owns(l), 3*time.Second).Should(BeTrue())
		rows.turn(true)
		withdraw(l)
		Eventually(func() time.Duration { return l.Standing().Cut }, 3*time.Second).Should(BeNumerically(">", 100*time.Millisecond))
		Expect(stored(id)()).To(BeFalse())
		rows.turn(false)
		Eventually(stored(id), 3*time.Second).Should(BeTrue())
	})
	It("is not claimed by a process that the store turns away", func() {
		rows.turn(true)
		l := start(rows.via())
		Consistently(owns(l), time.Second).Should(BeFalse())
	})
})
