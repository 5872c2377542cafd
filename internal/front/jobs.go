package front

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Status is the outcome of a caller's change of a job.
type Status int

// The outcomes of a change.
const (
	// Stored says that the change is stored, perhaps by an earlier call.
	Stored Status = iota
	// Rejected says that the change is not stored and never will be.
	Rejected
	// NotFound says that there is no such job.
	NotFound
	// Unknown says that the change may be stored, now or a little later.
	Unknown
	// Written says that this call stored the change. It is used in this package only;
	// callers get Stored.
	Written
)

// Outcome is the answer to a caller who submits, cancels or reads a job.
type Outcome struct {
	Status Status
	// Reason is one word that says why the call was rejected, and After the duration
	// after which the caller should retry, or 0 if that is of no use.
	Reason string
	After  time.Duration
}

const (
	// tryTimeout bounds one call of the store while the store is not known to be slow.
	// A store that is sixty times slower than usual still answers within 250 ms.
	tryTimeout = 600 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that is returned to callers
	// who are rejected because the store is unavailable.
	minRetryAfter, maxRetryAfter = time.Second, 3 * time.Second
)

// Submit accepts a job, once for each identifier, or rejects it.
func (f *Front) Submit(ctx context.Context, j work.Job) Outcome {
	if err := j.Check(); err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	j.At = f.storeClock()
	j, writes, err := sched.EncodeJob(j, f.Limits)
	if err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	a := f.admit(ctx, j)
	if a.Refused {
		return f.rejectByOwner(ctx, j, a)
	}
	if a.Submitted > 0 {
		j.Submitted = a.Submitted
		if j, writes, err = sched.EncodeJob(j, f.Limits); err != nil {
			return f.reject(j, "invalid", 0, err)
		}
	}
	if lag := f.ownerLag(); lag >= busyLag {
		return f.storeRejection(ctx, j, "busy", busyRetryAfter(lag))
	}
	began := f.Clock.Now()
	out := f.writeJob(ctx, j, writes)
	took := f.Clock.Now() - began
	switch out.Status {
	case Stored, Written:
		out.Status = Stored
		f.Tally.Inc("lagoon_jobs_accepted_total")
		f.Tally.Seconds(took.Seconds(), "lagoon_accept_seconds")
		f.Log.Info(logs.Accepted, logs.Fields{"job": j.ID, "queue": j.Queue, "steps": len(j.Steps), "ms": took.Milliseconds()})
		go f.notifySubmit(j)
	case Rejected:
		return f.reject(j, out.Reason, out.After, nil)
	default:
		f.Tally.Inc("lagoon_jobs_doubtful_total")
		f.Log.Info(logs.OutcomeUnknown, logs.Fields{"job": j.ID, "queue": j.Queue, "ms": took.Milliseconds()})
	}
	return out
}

// admit asks the owner whether a job should be accepted. Without overload control, only
// long-running jobs may be rejected. If the owner does not answer, the job is accepted: a
// rejection only serves the other jobs and is never needed for correctness.
func (f *Front) admit(ctx context.Context, j work.Job) work.Admission {
	if !j.LongRunning() && !f.Limits.Overload {
		return work.Admission{}
	}
	if f.Limits.Overload {
		// The owner doesn't need the specification, which may be most of the job.
		j.Spec = ""
		if !j.LongRunning() && f.ownerLag() >= busyLag {
			// The job is rejected as busy, and the owner has no time to answer.
			return work.Admission{}
		}
	}
	if a, err := f.leader.Admit(j); err == nil {
		return a
	}
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return work.Admission{}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var a work.Admission
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Admit", j, &a); err != nil {
		f.Tally.Inc("lagoon_owner_untold_total", "step", "Admit")
		f.Log.Info(logs.PeerLost, logs.Fields{"owner": addr, "step": "Admit", "job": j.ID, "error": err.Error()})
		return work.Admission{}
	}
	return a
}

// rejectByOwner rejects a job as the owner has decided.
func (f *Front) rejectByOwner(ctx context.Context, j work.Job, a work.Admission) Outcome {
	after := time.Duration(a.After) * time.Millisecond
	j.Submitted, j.Cores, j.Work = a.Submitted, a.Cores, a.Work
	if a.Cores > 0 || a.Work > 0 {
		j.RetryAt = j.At + a.After
	}
	if !a.Overload.Decided {
		return f.storeRejection(ctx, j, "full", after)
	}
	out := f.storeRejection(ctx, j, "overload", after)
	if out.Status == Rejected {
		o := a.Overload
		f.Log.Info(logs.Overloaded, logs.Fields{
			"job": j.ID, "queue": j.Queue, "priority": o.Priority, "after": a.After, "waitMs": o.Wait, "spareMs": o.Spare, "chainMs": o.Chain,
			"aheadCoreSeconds": o.Ahead / milliPerCore, "rateCores": o.Rate / milliPerCore, "workCoreSeconds": a.Work / milliPerCore,
		})
	}
	return out
}

const (
	// busyLag is how far behind the owner may be while jobs are still accepted. Beyond it
	// a short job ends too late to be of use, and each further one delays those that wait.
	busyLag = 1500 * time.Millisecond
	// maxBusyRetryAfter bounds the time after which a job that was rejected for the
	// owner's lag should be submitted again.
	maxBusyRetryAfter = 10 * time.Second
)

// busyRetryAfter returns the time after which a job should be submitted again that was
// rejected because the owner is behind: an owner works a backlog off in about the time in
// which it came about.
func busyRetryAfter(lag time.Duration) time.Duration {
	return min(maxBusyRetryAfter, (2 * lag).Round(time.Second))
}

// ownerLag returns how far behind the owner is, as it last said.
func (f *Front) ownerLag() time.Duration {
	if s := f.leader.Status(); s.OwnedTerm > 0 {
		return s.Lag
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.pendingAt > pendingMaxAge {
		return 0
	}
	return f.ownerBehind
}

// storeRejection rejects a job and stores the rejection in its row, so that an earlier
// write that would accept the job can't take effect any more. The status is Stored if
// the job was accepted before.
func (f *Front) storeRejection(ctx context.Context, j work.Job, reason string, after time.Duration) Outcome {
	data, err := work.Encode(work.Job{
		ID: j.ID, Queue: j.Queue, Service: j.Service, At: j.At, Refused: true,
		Submitted: j.Submitted, RetryAt: j.RetryAt, Cores: j.Cores, Work: j.Work,
	})
	if err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	switch out := f.writeJob(ctx, j, []plat.Write{{Key: sched.JobKey(j.ID), Value: data}}); out.Status {
	case Written:
		return f.reject(j, reason, after, nil)
	case Rejected:
		return f.reject(j, out.Reason, out.After, nil)
	default:
		return out
	}
}

// writeJob writes the rows of a job, or of its rejection. The job is rejected if it was cancelled
// before, or if another one has its ID.
func (f *Front) writeJob(ctx context.Context, j work.Job, writes []plat.Write) Outcome {
	var existing plat.Row
	out := f.writeAll(ctx, writes, func(r plat.Row) bool {
		existing = r
		return isRejected(r) && !f.wasCancelled(j, r)
	})
	switch {
	case out.Status != Stored:
	case f.wasCancelled(j, existing):
		return Outcome{Status: Rejected, Reason: ReasonCancelled}
	case f.isTaken(j, existing):
		return Outcome{Status: Rejected, Reason: "taken"}
	}
	return out
}

// isTaken reports whether a row holds another job with the same ID, which belongs to another
// queue in force. The tasks of both would have the same names. A job that is the same but for
// its queue is taken for the one that is submitted: its queue may have got another name since.
func (f *Front) isTaken(j work.Job, row plat.Row) bool {
	var x work.Job
	if work.Decode(row.Value, &x) != nil || x.Queue == j.Queue || !f.hasQueue(x.Queue) {
		return false
	}
	x.Queue, x.Service, x.Terms, x.At, x.Submitted = j.Queue, j.Service, j.Terms, j.At, j.Submitted
	_, own, err := sched.EncodeJob(j, f.Limits)
	if err != nil {
		return false
	}
	data, err := work.Encode(x)
	return err == nil && !bytes.Equal(data, own[0].Value)
}

// hasQueue reports whether the configuration in force has a queue.
func (f *Front) hasQueue(name string) bool {
	c := f.Config()
	return c != nil && slices.ContainsFunc(c.Queues, func(q work.Queue) bool { return q.Name == name })
}

// isRejected reports whether a row says that its job was rejected.
func isRejected(row plat.Row) bool {
	var j work.Job
	return work.Decode(row.Value, &j) == nil && j.Refused
}

// reject counts and logs the rejection of a job and returns its outcome.
func (f *Front) reject(j work.Job, reason string, after time.Duration, err error) Outcome {
	f.Tally.Inc("lagoon_job_refusals_total", "reason", reason)
	fields := logs.Fields{"job": j.ID, "queue": j.Queue, "reason": reason, "after": after.Milliseconds()}
	if err != nil {
		f.Log.Error(logs.Rejected, err, fields)
	} else {
		f.Log.Info(logs.Rejected, fields)
	}
	return Outcome{Status: Rejected, Reason: reason, After: after}
}

// outageRetryAfter returns the duration after which a caller should retry while the
// store is unavailable: the length of the outage so far, within bounds, since an outage
// is expected to last about as long again. Callers thus retry soon after a short outage,
// and do not use up their few retries within a longer one.
func (f *Front) outageRetryAfter() time.Duration {
	since := time.Duration(f.storeDownSince.Load())
	if since == 0 {
		return minRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, (f.Clock.Now()-since).Round(time.Second)))
}

// notifySubmit notifies the owner of a stored job. If that fails, the owner reads the
// job's row from the feed.
func (f *Front) notifySubmit(j work.Job) {
	if f.leader.Submit(j) == nil {
		return
	}
	f.notifyOwner("Submit", j, j.ID)
}

// notifyCancel notifies the owner of a stored cancellation. If that fails, the owner
// reads its row from the feed.
func (f *Front) notifyCancel(id string) {
	if f.leader.Cancel(id) == nil {
		return
	}
	f.notifyOwner("Cancel", id, id)
}

// notifyOwner calls a method of the owner on another entry.
func (f *Front) notifyOwner(method string, v any, id string) {
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+"."+method, v, new(work.Pong)); err != nil {
		f.Tally.Inc("lagoon_owner_untold_total", "step", method)
		f.Log.Info(logs.PeerLost, logs.Fields{"owner": addr, "step": method, "job": id, "error": err.Error()})
	}
}

// ownerTimeout bounds a question to the owner about a job.
const ownerTimeout = 250 * time.Millisecond

// askFor asks the owner for a job.
func (f *Front) askFor(ctx context.Context, id string) (work.Found, error) {
	if j, err := f.leader.Find(id); err == nil {
		return j, nil
	}
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return work.Found{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var j work.Found
	err := f.pool.Get(addr).Call(ctx, work.EntryService+".Find", id, &j)
	return j, err
}

var errNoOwner = errors.New("the owner is not known")

// State returns the state of a job of a queue, or of any queue if that is empty. If there is no
// such job, or neither the owner nor the store answers, the state is empty and the outcome says
// why.
func (f *Front) State(ctx context.Context, queue, id string) (string, Outcome) {
	for {
		j, err := f.askFor(ctx, id)
		if err != nil || j.State == "" {
			j, err = f.readState(ctx, id)
		}
		switch {
		case err == nil && (j.State == "" || f.isForeign(queue, j.Queue)):
			return "", Outcome{Status: NotFound}
		case err == nil:
			return j.State, Outcome{}
		}
		f.storeFailed("read state", err)
		clock.Sleep(ctx, 2*firstRetryDelay)
		if ctx.Err() != nil {
			return "", Outcome{Status: Rejected, Reason: "store", After: f.outageRetryAfter()}
		}
	}
}

// isForeign reports whether a job of one queue is out of reach for the clients of another one. A
// queue that is not in force any more may have got another name since.
func (f *Front) isForeign(clients, job string) bool {
	return clients != "" && clients != job && f.hasQueue(job)
}

// readState reads a job from its rows.
func (f *Front) readState(ctx context.Context, id string) (work.Found, error) {
	ctx, cancel := f.withTimeout(ctx, tryTimeout)
	defer cancel()
	keys := []string{sched.JobKey(id), sched.StateKey(id), sched.CancelKey(id)}
	found := make([]plat.Row, len(keys))
	errs := make([]error, len(keys))
	var all sync.WaitGroup
	for i, k := range keys {
		all.Go(func() { found[i], errs[i] = f.read(ctx, k) })
	}
	all.Wait()
	row, state, cancelled := found[0], found[1], found[2]
	queue, accepted := acceptedIn(row)
	if err := errors.Join(errs...); err != nil || !accepted {
		return work.Found{}, err
	}
	var st work.State
	if state.Version != 0 {
		var err error
		if st, err = work.DecodeState(state.Value); err != nil {
			return work.Found{}, fault.At("decode state", id).Wrap(err)
		}
	}
	return work.Found{State: sched.JobState(st, cancelled.Version != 0), Queue: queue}, nil
}

// pendingMaxAge is how old an owner's count of pending jobs may be that is passed on.
const pendingMaxAge = 2 * time.Second

// Pending returns the number of jobs in a queue of which no task was started. It is at
// most pendingMaxAge old: if no owner has told a newer one, the owner is asked. It returns
// false if that does not answer.
func (f *Front) Pending(ctx context.Context, queue string) (int, bool) {
	if n, err := f.leader.Pending(); err == nil {
		return n[queue], true
	}
	if n, ok := f.lastPending(queue); ok {
		return n, true
	}
	f.askOwner(ctx)
	return f.lastPending(queue)
}

// lastPending returns the count of pending jobs that an owner last told, unless it is too
// old.
func (f *Front) lastPending(queue string) (int, bool) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingJobs == nil || now-f.pendingAt > pendingMaxAge {
		return 0, false
	}
	return f.pendingJobs[queue], true
}

// askOwner pings the owner that the ownership row names. An entry that has just started
// may not have met it yet.
func (f *Front) askOwner(ctx context.Context) {
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var pong work.Pong
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Ping", f.newPing(), &pong); err != nil {
		f.Log.Info(logs.PeerLost, logs.Fields{"owner": addr, "step": "Ping", "error": err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordPending(pong)
}
