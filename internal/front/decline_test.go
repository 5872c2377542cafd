package front

import (
	"context"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "an entry's writes")
}

// newFront returns an entry on a store, without peers.
func newFront(s *rows.Store) *Front {
	ctx := context.Background()
	return &Front{Rows: s.Rows(), Clock: clock.New(), Tally: &tally.Set{}, ctx: ctx}
}

var _ = Describe("a job that is sent away", func() {
	var store *rows.Store
	var f *Front
	job := work.Job{ID: "00000000000000a1", Queue: "q", Service: "s", Steps: []work.Step{{Count: 1, Lasts: true}}}
	key := sched.JobKey(job.ID)
	BeforeEach(func() {
		store = &rows.Store{}
		f = newFront(store)
	})
	accept := func() Outcome {
		data, err := work.Encode(job)
		Expect(err).NotTo(HaveOccurred())
		return f.write(context.Background(), key, data, wasRefused)
	}
	shown := func() string {
		s, err := f.readState(context.Background(), job.ID)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("is not known, and may be handed in again", func() {
		Expect(f.decline(context.Background(), job, 3*time.Second)).To(Equal(Outcome{Fate: Refused, Reason: "full", After: 3 * time.Second}))
		Expect(shown()).To(BeEmpty())
		Expect(accept().Fate).To(Equal(Written))
		Expect(shown()).To(Equal("queued"))
	})
	It("is not accepted by a write that was on its way", func() {
		Expect(f.decline(context.Background(), job, time.Second).Fate).To(Equal(Refused))
		data, err := work.Encode(job)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Rows().Commit(context.Background(), plat.Txn{Checks: []plat.Check{{Key: key}}, Writes: []plat.Write{{Key: key, Value: data}}})
		Expect(err).To(MatchError(plat.ErrConflict))
		Expect(shown()).To(BeEmpty())
	})
	It("stays accepted if it was before", func() {
		Expect(accept().Fate).To(Equal(Written))
		Expect(f.decline(context.Background(), job, time.Second).Fate).To(Equal(Stored))
		Expect(shown()).To(Equal("queued"))
	})
	It("is refused once although an answer was lost", func() {
		store.Lose(1)
		Expect(f.decline(context.Background(), job, time.Second).Fate).To(Equal(Refused))
		Expect(store.Version()).To(Equal(uint64(1)))
	})
	It("replaces an earlier refusal, so that a write over that one can't take effect", func() {
		Expect(f.decline(context.Background(), job, time.Second).Fate).To(Equal(Refused))
		old := store.Row(key).Version
		again := job
		again.At = 5
		Expect(f.decline(context.Background(), again, time.Second).Fate).To(Equal(Refused))
		Expect(store.Row(key).Version).To(BeNumerically(">", old))
	})
})

var _ = Describe("a caller that is sent away while the store is away", func() {
	comesBack := func(after time.Duration, want time.Duration) {
		GinkgoHelper()
		f := newFront(&rows.Store{})
		f.since.Store(int64(f.Clock.Now() - after))
		Expect(f.outageAfter()).To(Equal(want))
	}
	It("comes back soon at first, and later the longer it lasts", func() {
		comesBack(200*time.Millisecond, time.Second)
		comesBack(2100*time.Millisecond, 2*time.Second)
		comesBack(time.Minute, 3*time.Second)
	})
})

// Incident inc-10cf of the grown Burgwacht site: an entry on a thin link took the
// store to be away for a second after its return, since it read the whole
// configuration to find out.
var _ = Describe("an entry that the store turned away", func() {
	It("tests with a small row whether the store is back", func() {
		f := newFront(&rows.Store{})
		read := f.Rows.Read
		f.Name, f.Table, f.Key = "entry", "op", "op/config"
		f.Rows.Read = func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
			if key == f.Key {
				<-ctx.Done()
				return plat.Row{}, plat.Stamp{}, ctx.Err()
			}
			return read(ctx, key)
		}
		f.failed(plat.ErrRefused)
		Expect(f.away()).To(BeTrue())
		Eventually(f.away, relayTimeout/2).Should(BeFalse())
		f.loops.Wait()
	})
})

// The grown Ndiaye site has 14 entries: each was pinged every 1.2 s and counted as
// gone after 1.2 s, so that candidates came and went and 8,477 lines told so.
var _ = Describe("entries that ping one another", func() {
	It("are heard twice before they count as gone, however many there are", func() {
		for n := range 100 {
			Expect(fresh(n)).To(BeNumerically(">=", 2*gap(n)+peerTimeout), "%d entries", n)
			Expect(float64(n)*float64(time.Second)/float64(gap(n))).To(BeNumerically("<=", 40), "pings a second, %d entries", n)
		}
	})
})

// An entry that has noticed an outage makes no calls of its own until a probe is
// answered, so an outage without a probe would last for ever.
var _ = Describe("an outage that begins while the probe of the last one ends", func() {
	It("is probed too", func() {
		f := newFront(&rows.Store{})
		f.Name = "entry"
		for range 100_000 {
			f.failed(plat.ErrRefused)
			for began := time.Now(); f.away(); {
				if time.Since(began) > 5*time.Second {
					Fail("the store answers, and nobody asks")
				}
				runtime.Gosched()
			}
		}
		f.loops.Wait()
	})
})
