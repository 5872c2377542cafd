package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// After the loss of the store's history an owner reads all rows of jobs at once. Those beyond
// the room in its queue were dropped and never read again: accepted jobs were not started,
// and cancelled ones ran on.
func TestRowsOfTheFeedAreNotDropped(t *testing.T) {
	const jobs, firstJob = 4000, 16
	var rows []plat.Row
	for i := range jobs {
		id := fmt.Sprintf("%016x", firstJob+i)
		rows = append(rows, plat.Row{Key: sched.JobKey(id), Version: uint64(i + 1), Value: encoded(t, id, work.Step{Count: 1})})
		if i%2 == 0 {
			rows = append(rows, plat.Row{Key: sched.CancelKey(id), Version: uint64(i + 1), Value: []byte{1}})
		}
	}
	gone := func(context.Context, string, uint64, time.Duration) ([]plat.Row, plat.Stamp, error) {
		return nil, plat.Stamp{}, plat.ErrHistoryGone
	}
	list := func(context.Context, string) ([]plat.Row, plat.Stamp, error) {
		return rows, plat.Stamp{Version: jobs}, nil
	}
	feed := func(context.Context, string, uint64, time.Duration) ([]plat.Row, plat.Stamp, error) {
		return rows, plat.Stamp{Version: jobs}, nil
	}
	for name, source := range map[string]plat.Rows{
		"all rows after the loss of the history": {Feed: gone, List: list},
		"many changes at once":                   {Feed: feed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l, tm := newOwner(t)
				l.Rows = source
				release := block(l, tm)
				read := make(chan struct{})
				tm.loops.Go(func() {
					defer close(read)
					l.readFeed(tm)
				})
				time.Sleep(time.Second)
				tm.inboxMu.Lock()
				waiting := tm.inbox.Len()
				tm.inboxMu.Unlock()
				g.Expect(waiting).To(BeNumerically("<", jobs), "the queue stays bounded")
				release()
				for range 200 {
					if len(tm.commits) > 0 {
						c := <-tm.commits
						l.step(tm, sched.Committed{Seq: c.Seq})
					}
					time.Sleep(100 * time.Millisecond)
				}
				<-read
				tm.mu.Lock()
				defer tm.mu.Unlock()
				for i := range jobs {
					want := "queued"
					if i%2 == 0 {
						want = "cancelled"
					}
					g.Expect(tm.core.State(fmt.Sprintf("%016x", firstJob+i))).To(Equal(want))
				}
				g.Expect(tm.feedVersion).To(Equal(uint64(jobs)))
			})
		})
	}
}
