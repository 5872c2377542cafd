package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// TestNewOwnerReadsZonesFirst guards against a new owner that schedules by what it heard of the
// zones before its claim, while the store does not tell it more.
func TestNewOwnerReadsZonesFirst(t *testing.T) {
	g := NewWithT(t)
	store := &rows.Store{}
	read, fails := 0, true
	l := &Leader{
		Name: "entry-1", Addr: "10.0.0.1:1", Clock: clock.Steady(), Tally: &tally.Set{}, Rows: store.Rows(), Config: func() *work.Config { return nil },
		Zones: func() evac.Zones { return evac.Zones{} },
		ReadZones: func(context.Context) (uint64, error) {
			read++
			if fails {
				return 0, plat.ErrUnavailable
			}
			return 1, nil
		},
	}
	claimed := ownership{Term: 1, Name: l.Name, Addr: l.Addr}
	_, err := l.load(t.Context(), claimed, plat.Row{}, 0)
	g.Expect(err).To(MatchError(plat.ErrUnavailable))
	fails = false
	loaded, err := l.load(t.Context(), claimed, plat.Row{}, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded).NotTo(BeNil())
	g.Expect(read).To(Equal(2))
}

// TestEachBatchGoesByTheNewestZones guards against starts by an older set of zones, which waits
// behind others in the queue of a busy owner.
func TestEachBatchGoesByTheNewestZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := &Leader{Name: "entry", Addr: "10.0.0.1:1", Clock: clock.Steady(), Tally: &tally.Set{}}
		var zones atomic.Pointer[evac.Zones]
		tell := func(version uint64, closed ...string) {
			z := evac.Zones{}.WithPeer(version, l.Clock.Now(), closed)
			zones.Store(&z)
		}
		tell(1)
		l.Zones = func() evac.Zones { return *zones.Load() }
		starts := 0
		l.Send = func(_ string, o work.Order) (work.Results, error) {
			starts += len(o.Starts)
			return work.Results{}, plat.ErrUnavailable
		}
		ctx, cancel := context.WithCancel(t.Context())
		tm := newTerm(ctx, 1, sched.New(sched.Limits{Evacuation: 5 * time.Second}, 1, 0, 0, sched.StoredRows{}, nil))
		l.term = tm
		tm.loops.Go(func() { l.loopEvents(tm) })
		defer tm.loops.Wait()
		defer cancel()
		l.step(tm, sched.Report{Report: work.Report{
			Agent: "10.0.1.1:1", Listed: true, Word: work.ReportID{Process: 1},
			Worker: work.Worker{Life: work.Life{ID: "w", Born: 1}, Service: "s", Zone: "z", Size: vect.Size{Cores: 8000, Memory: 100}},
		}})
		submit := func(id string) {
			l.step(tm, sched.Submit{Job: work.Job{ID: id, Service: "s", Steps: []work.Step{{Count: 1, Size: vect.Size{Cores: 1000}}}}})
			synctest.Wait()
			c := <-tm.commits
			l.step(tm, sched.Committed{Seq: c.Seq})
			synctest.Wait()
		}
		submit("0000000000000001")
		g.Expect(starts).To(Equal(1))
		// The placement is decided; the evacuation becomes known while it is stored.
		l.step(tm, sched.Submit{Job: work.Job{ID: "0000000000000002", Service: "s", Steps: []work.Step{{Count: 1, Size: vect.Size{Cores: 1000}}}}})
		synctest.Wait()
		c := <-tm.commits
		tell(2, "z")
		l.step(tm, sched.Committed{Seq: c.Seq})
		synctest.Wait()
		g.Expect(starts).To(Equal(1), "the start was withdrawn")
	})
}
