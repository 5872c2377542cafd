package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// earlyJob is the job of these tests, and clientTime how long its client waits for an answer.
var earlyJob = work.Job{ID: "00000000000000a1", Queue: "q", Service: "s", Spec: "x", Steps: []work.Step{{Count: 1}}}

const clientTime = 2 * time.Second

// newEntry returns an entry that is not the owner.
func newEntry(s *rows.Store) *Front {
	f := newFront(s)
	f.leader = &leader.Leader{Clock: f.Clock}
	return f
}

// startEntry is newEntry in a bubble of synctest.
func startEntry(s *rows.Store) (*Front, func()) {
	f, stop := startFront(s)
	f.leader = &leader.Leader{Clock: f.Clock}
	return f, stop
}

// call returns the outcome of a call with a client's deadline.
func call(f *Front, c func(ctx context.Context) Outcome) Outcome {
	ctx, cancel := context.WithTimeout(f.ctx, clientTime)
	defer cancel()
	return c(ctx)
}

func submitEarly(f *Front) Outcome {
	return call(f, func(ctx context.Context) Outcome { return f.Submit(ctx, earlyJob) })
}

func cancelEarlyJob(f *Front) Outcome {
	return call(f, func(ctx context.Context) Outcome { return f.Cancel(ctx, earlyJob.Queue, earlyJob.ID) })
}

// expectState checks what entries tell of the job.
func expectState(g *WithT, f *Front, state string) {
	j, err := f.readState(f.ctx, earlyJob.ID)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(j.State).To(Equal(state))
}

// TestSubmissionAfterItsCancel guards against a job that is accepted after its cancellation was
// acknowledged: its submission was still under way, at an entry that was paused or in a retry, and
// the cancellation of the unknown job left nothing behind that it could find.
func TestSubmissionAfterItsCancel(t *testing.T) {
	for name, before := range map[string]func(g *WithT, f *Front){
		"of a job that was never submitted": func(*WithT, *Front) {},
		"of a job that was rejected": func(g *WithT, f *Front) {
			g.Expect(f.storeRejection(f.ctx, earlyJob, "full", time.Second).Status).To(Equal(Rejected))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &rows.Store{}
			here, there := newEntry(store), newEntry(store)
			before(g, there)
			g.Expect(cancelEarlyJob(here)).To(Equal(Outcome{Status: NotFound}))
			written := store.Version()
			g.Expect(cancelEarlyJob(there)).To(Equal(Outcome{Status: NotFound}))
			g.Expect(store.Version()).To(Equal(written), "a second cancellation stores nothing")
			for range 2 {
				g.Expect(submitEarly(there)).To(Equal(Outcome{Status: Rejected, Reason: ReasonCancelled}))
				g.Expect(there.storeRejection(there.ctx, earlyJob, "full", time.Second)).To(Equal(Outcome{Status: Rejected, Reason: ReasonCancelled}))
			}
			expectState(g, here, "")
		})
	}
}

// TestCancelOfAnotherQueue guards against clients of one queue that keep those of another one from
// submitting a job, by cancelling it before.
func TestCancelOfAnotherQueue(t *testing.T) {
	other := earlyJob
	other.Queue, other.Spec = "other", "y"
	submitOther := func(f *Front) Outcome {
		return call(f, func(ctx context.Context) Outcome { return f.Submit(ctx, other) })
	}
	cancelOther := func(f *Front) Outcome {
		return call(f, func(ctx context.Context) Outcome { return f.Cancel(ctx, other.Queue, other.ID) })
	}
	cancelled := Outcome{Status: Rejected, Reason: ReasonCancelled}
	newEntryWith := func(queues ...string) *Front {
		f := newEntry(&rows.Store{})
		c := &work.Config{Version: 1}
		for _, q := range queues {
			c.Queues = append(c.Queues, work.Queue{Name: q})
		}
		f.config.Store(&loadedConfig{Config: c})
		return f
	}
	t.Run("leaves the job to its queue", func(t *testing.T) {
		g := NewWithT(t)
		f := newEntryWith("q", "other")
		g.Expect(cancelEarlyJob(f)).To(Equal(Outcome{Status: NotFound}))
		g.Expect(submitOther(f).Status).To(Equal(Stored))
		g.Expect(submitEarly(f).Status).To(Equal(Rejected), "the cancelled job is not accepted in its place")
		expectState(g, f, "queued")
	})
	t.Run("holds beside that of the queue itself", func(t *testing.T) {
		g := NewWithT(t)
		f := newEntryWith("q", "other")
		g.Expect(cancelEarlyJob(f)).To(Equal(Outcome{Status: NotFound}))
		g.Expect(cancelOther(f)).To(Equal(Outcome{Status: NotFound}))
		g.Expect(submitOther(f)).To(Equal(cancelled))
		g.Expect(submitEarly(f)).To(Equal(cancelled))
	})
	t.Run("holds if the queue has got another name", func(t *testing.T) {
		g := NewWithT(t)
		f := newEntryWith("other")
		g.Expect(cancelEarlyJob(f)).To(Equal(Outcome{Status: NotFound}))
		g.Expect(submitOther(f)).To(Equal(cancelled))
	})
}

// TestCancelBesideSubmission guards against a job that runs on after both calls were answered, if
// its submission and its cancellation reach a store that is slow at the same time.
func TestCancelBesideSubmission(t *testing.T) {
	for _, first := range []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(fmt.Sprint("cancelled after ", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &rows.Store{}
				here, stopHere := startEntry(store)
				defer stopHere()
				there, stopThere := startEntry(store)
				defer stopThere()
				// Each call takes effect 800 ms after it was sent.
				there.Rows = lateStore(store, 800*time.Millisecond)
				var submitted, cancelled Outcome
				var calls sync.WaitGroup
				calls.Go(func() { submitted = submitEarly(there) })
				time.Sleep(first)
				cancelled = cancelEarlyJob(here)
				calls.Wait()
				time.Sleep(time.Second)
				switch cancelled.Status {
				case NotFound:
					g.Expect(submitted.Status).NotTo(Equal(Stored))
					expectState(g, here, "")
				case Stored:
					expectState(g, here, "cancelled")
				default:
					t.Fatalf("the cancellation has the outcome %+v", cancelled)
				}
			})
		})
	}
}

// lateStore returns a store whose calls take effect some time after they were sent, even if the
// caller does not wait for that.
func lateStore(s *rows.Store, latency time.Duration) plat.Rows {
	r := s.Rows()
	commit, read := r.Commit, r.Read
	r.Commit = func(_ context.Context, txn plat.Txn) (plat.Stamp, error) {
		time.Sleep(latency)
		return commit(context.Background(), txn)
	}
	r.Read = func(_ context.Context, key string) (plat.Row, plat.Stamp, error) {
		time.Sleep(latency)
		return read(context.Background(), key)
	}
	return r
}

// TestCancelAsJobIsAccepted guards against an answer that there is no such job, given from a read
// that was made before the job was accepted.
func TestCancelAsJobIsAccepted(t *testing.T) {
	g := NewWithT(t)
	store := &rows.Store{}
	f, other := newEntry(store), newEntry(store)
	read := f.Rows.Read
	f.Rows.Read = func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
		row, s, err := read(ctx, key)
		if row.Version == 0 {
			g.Expect(submitEarly(other).Status).To(Equal(Stored))
		}
		return row, s, err
	}
	g.Expect(cancelEarlyJob(f)).To(Equal(Outcome{Status: Stored}))
	expectState(g, f, "cancelled")
}

// TestUnstoredCancelIsNotAcknowledged guards against an answer that there is no such job while a
// submission could still be accepted.
func TestUnstoredCancelIsNotAcknowledged(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Status
	}{{plat.ErrRefused, Rejected}, {plat.ErrUnavailable, Unknown}} {
		t.Run(c.err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &rows.Store{}
				f, stop := startEntry(store)
				defer stop()
				f.Rows.Commit = func(context.Context, plat.Txn) (plat.Stamp, error) { return plat.Stamp{}, c.err }
				g.Expect(cancelEarlyJob(f).Status).To(Equal(c.want))
			})
		})
	}
}

// TestCancelsOfUnknownJobsAreBounded guards against clients that fill the store, and the memory of
// the owner, by cancelling jobs that were never submitted.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	g := NewWithT(t)
	store := &rows.Store{}
	f := newEntry(store)
	cancel := func(i int) Outcome { return f.Cancel(f.ctx, earlyJob.Queue, fmt.Sprintf("%016x", i)) }
	refused := 0
	for i := range 30_000 {
		switch out := cancel(i); out.Status {
		case NotFound:
		case Rejected:
			refused++
			g.Expect(out.Reason).To(Equal("cancels"))
			g.Expect(out.After).To(BeNumerically(">", 0))
		default:
			t.Fatalf("job %d: %+v", i, out)
		}
	}
	stored, _, err := store.Rows().List(f.ctx, sched.JobTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(stored)).To(Equal(30_000 - refused))
	g.Expect(len(stored)).To(BeNumerically("<=", 2*maxEarlyCancels))
	for _, r := range stored {
		g.Expect(len(r.Value)).To(BeNumerically("<", 100))
	}
	g.Expect(cancel(0)).To(Equal(Outcome{Status: NotFound}), "what is stored is acknowledged again")
	g.Expect(submitEarly(f).Status).To(Equal(Rejected))
	accepted := earlyJob
	accepted.ID = "000000000000ffff"
	g.Expect(f.Submit(f.ctx, accepted).Status).To(Equal(Stored))
	g.Expect(cancel(0xffff).Status).To(Equal(Stored), "accepted jobs are cancelled as ever")
}

// TestRandomSubmissionsAndCancels plays clients that submit, reject and cancel a job at several
// entries at about the same time, over a store whose calls take effect late or get no answer. It
// guards against answers that contradict each other or what is stored in the end.
func TestRandomSubmissionsAndCancels(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			r := &lockedRand{Rand: rand.New(rand.NewPCG(seed, 1))}
			store := &rows.Store{}
			// What is still under way ends within the bubble.
			defer time.Sleep(2 * maxStoreDelay)
			var entries []*Front
			for range 3 {
				f, stop := startEntry(store)
				defer stop()
				f.Rows = unreliableStore(store, r)
				entries = append(entries, f)
			}
			var calls sync.WaitGroup
			var submitted, cancelled answers
			for range 2 + r.IntN(4) {
				f, pause, kind := entries[r.IntN(len(entries))], time.Duration(r.IntN(2500))*time.Millisecond, r.IntN(5)
				calls.Go(func() {
					time.Sleep(pause)
					switch kind {
					case 0, 1:
						submitted.add(submitEarly(f))
					case 2:
						submitted.add(call(f, func(ctx context.Context) Outcome { return f.storeRejection(ctx, earlyJob, "full", time.Second) }))
					default:
						cancelled.add(cancelEarlyJob(f))
					}
				})
			}
			calls.Wait()
			time.Sleep(2 * maxStoreDelay)
			found, err := newEntry(store).readState(context.Background(), earlyJob.ID)
			state := found.State
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			if cancelled.has(NotFound) {
				g.Expect(submitted.has(Stored)).To(BeFalse(), "seed %d: accepted, and cancelled as a job that doesn't exist", seed)
				g.Expect(state).To(BeEmpty(), "seed %d", seed)
			}
			if cancelled.has(Stored) {
				g.Expect(state).To(Equal("cancelled"), "seed %d", seed)
			}
			if submitted.has(Stored) {
				g.Expect(state).NotTo(BeEmpty(), "seed %d: accepted, and not stored", seed)
			}
		})
	}
}

// answers collects the outcomes of calls that end at the same time.
type answers struct {
	mu    sync.Mutex
	given []Outcome
}

func (a *answers) add(o Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.given = append(a.given, o)
}

// has reports whether a call had an outcome with the status.
func (a *answers) has(s Status) bool {
	return slices.ContainsFunc(a.given, func(o Outcome) bool { return o.Status == s })
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	*rand.Rand
}

// IntN returns a random number below n.
func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rand.IntN(n)
}

// maxStoreDelay bounds how late a call of unreliableStore takes effect.
const maxStoreDelay = 1500 * time.Millisecond

// unreliableStore returns a store that rejects some calls, answers some late and some not at all.
// Each takes effect at most maxStoreDelay after it was sent, whether or not its caller waits.
func unreliableStore(s *rows.Store, r *lockedRand) plat.Rows {
	intn := r.IntN
	// carry does a call and returns whether it is rejected, and whether its answer arrives.
	carry := func(ctx context.Context, do func()) error {
		if intn(8) == 0 {
			return plat.ErrRefused
		}
		done, lost := make(chan struct{}), intn(6) == 0
		delay := time.Duration(1+intn(20)) * time.Millisecond
		if intn(3) == 0 {
			delay = time.Duration(intn(int(maxStoreDelay/time.Millisecond))) * time.Millisecond
		}
		go func() {
			time.Sleep(delay)
			do()
			if !lost {
				close(done)
			}
		}()
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return plat.ErrUnavailable
		}
	}
	return plat.Rows{
		Read: func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
			var row plat.Row
			var err error
			if lost := carry(ctx, func() { row, _, err = s.Rows().Read(context.Background(), key) }); lost != nil {
				return plat.Row{}, plat.Stamp{}, lost
			}
			return row, plat.Stamp{}, err
		},
		Commit: func(ctx context.Context, txn plat.Txn) (plat.Stamp, error) {
			var stamp plat.Stamp
			var err error
			if lost := carry(ctx, func() { stamp, err = s.Rows().Commit(context.Background(), txn) }); lost != nil {
				return plat.Stamp{}, lost
			}
			return stamp, err
		},
	}
}
