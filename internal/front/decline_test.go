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
	RunSpecs(t, "front")
}

// newFront returns an entry that uses a store and has no peers.
func newFront(s *rows.Store) *Front {
	ctx := context.Background()
	return &Front{Rows: s.Rows(), Clock: clock.New(), Tally: &tally.Set{}, ctx: ctx}
}

var _ = Describe("a rejected job", func() {
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
		return f.write(context.Background(), key, data, isRejected)
	}
	state := func() string {
		j, err := f.readState(context.Background(), job.ID)
		Expect(err).NotTo(HaveOccurred())
		return j.State
	}

	It("has no state, and may be submitted again", func() {
		Expect(f.storeRejection(context.Background(), job, "full", 3*time.Second)).To(Equal(Outcome{Status: Rejected, Reason: "full", After: 3 * time.Second}))
		Expect(state()).To(BeEmpty())
		Expect(accept().Status).To(Equal(Written))
		Expect(state()).To(Equal("queued"))
	})
	It("is not accepted by an earlier write that was delayed", func() {
		Expect(f.storeRejection(context.Background(), job, "full", time.Second).Status).To(Equal(Rejected))
		data, err := work.Encode(job)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Rows().Commit(context.Background(), plat.Txn{Checks: []plat.Check{{Key: key}}, Writes: []plat.Write{{Key: key, Value: data}}})
		Expect(err).To(MatchError(plat.ErrConflict))
		Expect(state()).To(BeEmpty())
	})
	It("stays accepted if it was accepted before", func() {
		Expect(accept().Status).To(Equal(Written))
		Expect(f.storeRejection(context.Background(), job, "full", time.Second).Status).To(Equal(Stored))
		Expect(state()).To(Equal("queued"))
	})
	It("is rejected by one write although the answer was lost", func() {
		store.LoseAnswers(1)
		Expect(f.storeRejection(context.Background(), job, "full", time.Second).Status).To(Equal(Rejected))
		Expect(store.Version()).To(Equal(uint64(1)))
	})
	// A new owner gave the time that its predecessor had promised to others again.
	It("keeps what its caller was told, for the next owner", func() {
		x := job
		x.At = 7000
		out := f.rejectByOwner(context.Background(), x, work.Admission{Refused: true, After: 3000, Submitted: 6000, Work: 50, Overload: work.Overload{Decided: true}})
		Expect(out).To(Equal(Outcome{Status: Rejected, Reason: "overload", After: 3 * time.Second}))
		row, err := sched.DecodeJob(store.Row(key), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(sched.NewRejectedJob(row, 1)).To(Equal(sched.RejectedJob{ID: x.ID, Version: 1, At: 7000, Queue: "q", Service: "s", Submitted: 6000, RetryAt: 10_000, Work: 50}))
		Expect(state()).To(BeEmpty())
	})
	// Without the setting, the rows are as earlier versions wrote them.
	It("keeps nothing if the owner doesn't ask for it", func() {
		f.rejectByOwner(context.Background(), job, work.Admission{Refused: true, After: 3000})
		row, err := sched.DecodeJob(store.Row(key), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(row).To(Equal(work.Job{ID: job.ID, Queue: "q", Service: "s", Refused: true}))
	})
	It("replaces an earlier rejection, so that a delayed write over the earlier one can't take effect", func() {
		Expect(f.storeRejection(context.Background(), job, "full", time.Second).Status).To(Equal(Rejected))
		old := store.Row(key).Version
		again := job
		again.At = 5
		Expect(f.storeRejection(context.Background(), again, "full", time.Second).Status).To(Equal(Rejected))
		Expect(store.Row(key).Version).To(BeNumerically(">", old))
	})
})

var _ = Describe("the retry delay for callers while the store is unavailable", func() {
	expectRetryAfter := func(outage time.Duration, want time.Duration) {
		GinkgoHelper()
		f := newFront(&rows.Store{})
		f.storeDownSince.Store(int64(f.Clock.Now() - outage))
		Expect(f.outageRetryAfter()).To(Equal(want))
	}
	It("grows with the length of the outage, within bounds", func() {
		expectRetryAfter(200*time.Millisecond, time.Second)
		expectRetryAfter(2100*time.Millisecond, 2*time.Second)
		expectRetryAfter(time.Minute, 3*time.Second)
	})
})

// A probe that read the whole configuration let an entry on a slow link take the store
// for unavailable for a second after its return.
var _ = Describe("the probe of an unavailable store", func() {
	It("reads a small row", func() {
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
		f.recordFailure(plat.ErrRefused)
		Expect(f.storeDown()).To(BeTrue())
		Eventually(f.storeDown, relayTimeout/2).Should(BeFalse())
		f.loops.Wait()
	})
})

// On a site with 14 entries each was pinged every 1.2 s and counted as lost after 1.2 s
// without an answer. So entries were lost and found all the time, with 8,477 log lines.
var _ = Describe("pings between entries", func() {
	It("may be lost twice before an entry counts as lost, for any number of entries", func() {
		for n := range 100 {
			Expect(aliveTimeout(n)).To(BeNumerically(">=", 2*peerInterval(n)+peerTimeout), "%d entries", n)
			Expect(float64(n)*float64(time.Second)/float64(peerInterval(n))).To(BeNumerically("<=", 40), "pings a second, %d entries", n)
		}
	})
})

// An entry that has noticed an outage makes no direct calls until a probe is answered,
// so without a probe the entry would never use the store again.
var _ = Describe("an outage that begins while the probe of the previous one ends", func() {
	It("starts a probe of its own", func() {
		f := newFront(&rows.Store{})
		f.Name = "entry"
		for range 100_000 {
			f.recordFailure(plat.ErrRefused)
			for began := time.Now(); f.storeDown(); {
				if time.Since(began) > 5*time.Second {
					Fail("the store answers but no probe is running")
				}
				runtime.Gosched()
			}
		}
		f.loops.Wait()
	})
})
