package front

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/stand/rows"
)

// Plain tests are used here since virtual time needs the test itself.

// slowly has a store answer each call only after a while. What a call does is
// done at once if its answer is late.
func slowly(s *rows.Store, took func(call int) time.Duration) plat.Rows {
	r := s.Rows()
	var calls atomic.Int64
	wait := func(ctx context.Context) error {
		clock.Sleep(ctx, took(int(calls.Add(1))))
		return ctx.Err()
	}
	commit, read := r.Commit, r.Read
	r.Commit = func(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
		st, err := commit(ctx, txn)
		if late := wait(ctx); late != nil {
			return plat.Stamp{}, late
		}
		return st, err
	}
	r.Read = func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
		if late := wait(ctx); late != nil {
			return plat.Row{}, plat.Stamp{}, late
		}
		return read(ctx, key)
	}
	return r
}

func TestWriteToASlowStore(t *testing.T) {
	const caller = 2500 * time.Millisecond
	always := func(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }
	for _, c := range []struct {
		name string
		took func(call int) time.Duration
		want Fate
		// within is the longest time that the caller waits.
		within time.Duration
	}{
		{"a usual answer counts at once", always(4 * time.Millisecond), Written, 10 * time.Millisecond},
		{"a first answer that is late still counts", always(805 * time.Millisecond), Written, 810 * time.Millisecond},
		{"a lost answer is made up for by the next try", func(call int) time.Duration {
			if call == 1 {
				return time.Hour
			}
			return 4 * time.Millisecond
		}, Written, 750 * time.Millisecond},
		{"no answer at all leaves the caller in doubt", always(time.Hour), Doubtful, caller},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &rows.Store{}
				f := newFront(store)
				f.Clock = clock.Steady()
				f.Rows = slowly(store, c.took)
				ctx, stop := context.WithCancel(context.Background())
				f.ctx = ctx
				defer f.loops.Wait()
				defer stop()
				call, cancel := context.WithTimeout(ctx, caller)
				defer cancel()
				began := f.Clock.Now()
				out := f.write(call, "jobs@0/00", []byte{1}, never)
				g.Expect(out.Fate).To(Equal(c.want))
				g.Expect(f.Clock.Now() - began).To(BeNumerically("<=", c.within))
				g.Expect(store.Version()).To(Equal(uint64(1)), "it is done once")
			})
		})
	}
}

func TestWriteToAStoreThatTurnsCallsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &rows.Store{}
		store.Turn(true)
		f := newFront(store)
		f.Clock = clock.Steady()
		ctx, stop := context.WithCancel(context.Background())
		f.ctx = ctx
		defer f.loops.Wait()
		defer stop()
		out := f.write(ctx, "jobs@0/00", []byte{1}, never)
		g.Expect(out.Fate).To(Equal(Refused))
		g.Expect(out.After).To(Equal(time.Second))
		g.Expect(f.Clock.Now()).To(BeNumerically("<", 200*time.Millisecond), "the caller is not held")
		g.Expect(store.Version()).To(BeZero(), "what is refused is not done")
	})
}
