package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// Fate says what became of a caller's change.
type Fate int

// The fates of a change.
const (
	// Stored says that the change is stored, maybe by an earlier call.
	Stored Fate = iota
	// Refused says that it is not and never will be.
	Refused
	// Missing says that there is nothing to change.
	Missing
	// Doubtful says that it may be stored, now or a little later.
	Doubtful
	// Written says that this call stored the change. Callers see Stored.
	Written
)

// Outcome is the answer to a caller.
type Outcome struct {
	Fate Fate
	// Reason is one word for a refusal, and After when to come back.
	Reason string
	After  time.Duration
}

const (
	// tryTimeout bounds one call while the store is not known to be slow; sixty
	// times as slow as usual it answers within 250 ms.
	tryTimeout = 600 * time.Millisecond
	// soonest and latest bound when a caller should come back that was refused
	// because the store is away.
	soonest, latest = time.Second, 3 * time.Second
)

// Submit accepts a job, once for each identifier, or refuses it at once.
func (f *Front) Submit(ctx context.Context, j work.Job) Outcome {
	if err := j.Check(); err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	j.At = f.storeClock()
	data, err := work.Encode(j)
	if err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	if a := f.admit(ctx, j); a.Refused {
		return f.decline(ctx, j, time.Duration(a.After)*time.Millisecond)
	}
	began := f.Clock.Now()
	out := f.write(ctx, sched.JobKey(j.ID), data, wasRefused)
	took := f.Clock.Now() - began
	switch out.Fate {
	case Stored, Written:
		out.Fate = Stored
		f.Tally.Inc("lagoon_jobs_accepted_total")
		f.Tally.Seconds(took.Seconds(), "lagoon_accept_seconds")
		f.Log.Info(logs.Accepted, logs.Fields{"job": j.ID, "queue": j.Queue, "steps": len(j.Steps), "ms": took.Milliseconds()})
		go f.tellSubmit(j)
	case Refused:
		return f.reject(j, out.Reason, out.After, nil)
	default:
		f.Tally.Inc("lagoon_jobs_doubtful_total")
		f.Log.Info(logs.Doubtful, logs.Fields{"job": j.ID, "queue": j.Queue, "ms": took.Milliseconds()})
	}
	return out
}

// admit asks the owner whether a job should be accepted. Without an answer it
// is: the owner can only say what is better for all.
func (f *Front) admit(ctx context.Context, j work.Job) work.Admission {
	if !j.LongRunning() {
		return work.Admission{}
	}
	if a, err := f.leader.Admit(j); err == nil {
		return a
	}
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return work.Admission{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a work.Admission
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Admit", j, &a); err != nil {
		f.Tally.Inc("lagoon_owner_untold_total", "step", "Admit")
		f.Log.Info(logs.PeerLost, logs.Fields{"owner": addr, "step": "Admit", "job": j.ID, "error": err.Error()})
		return work.Admission{}
	}
	return a
}

// decline sends a job away for good: its row says so, and an earlier write that
// would accept it can't take effect any more. The fate is Stored if the job was
// accepted before.
func (f *Front) decline(ctx context.Context, j work.Job, after time.Duration) Outcome {
	data, err := work.Encode(work.Job{ID: j.ID, Queue: j.Queue, Service: j.Service, At: j.At, Refused: true})
	if err != nil {
		return f.reject(j, "invalid", 0, err)
	}
	switch out := f.write(ctx, sched.JobKey(j.ID), data, wasRefused); out.Fate {
	case Written:
		return f.reject(j, "full", after, nil)
	case Refused:
		return f.reject(j, out.Reason, out.After, nil)
	default:
		return out
	}
}

// wasRefused reports whether a row says that its job was sent away.
func wasRefused(row plat.Row) bool {
	var j work.Job
	return work.Decode(row.Value, &j) == nil && j.Refused
}

func (f *Front) reject(j work.Job, reason string, after time.Duration, err error) Outcome {
	f.Tally.Inc("lagoon_job_refusals_total", "reason", reason)
	fields := logs.Fields{"job": j.ID, "queue": j.Queue, "reason": reason, "after": after.Milliseconds()}
	if err != nil {
		f.Log.Error(logs.Rejected, err, fields)
	} else {
		f.Log.Info(logs.Rejected, fields)
	}
	return Outcome{Fate: Refused, Reason: reason, After: after}
}

// outageAfter is when a caller should come back while the store is away. An outage
// is taken to last as long again as it has so far: callers come back soon from a
// short one, and the few calls that they make outlast a longer one.
func (f *Front) outageAfter() time.Duration {
	since := time.Duration(f.since.Load())
	if since == 0 {
		return soonest
	}
	return min(latest, max(soonest, (f.Clock.Now()-since).Round(time.Second)))
}

// tellSubmit tells the owner of a job. If that fails the owner reads the row.
func (f *Front) tellSubmit(j work.Job) {
	if f.leader.Submit(j) == nil {
		return
	}
	f.tell("Submit", j, j.ID)
}

func (f *Front) tellCancel(id string) {
	if f.leader.Cancel(id) == nil {
		return
	}
	f.tell("Cancel", id, id)
}

func (f *Front) tell(method string, v any, id string) {
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

// Cancel withdraws a job.
func (f *Front) Cancel(ctx context.Context, id string) Outcome {
	found, err := f.exists(ctx, id)
	if err != nil {
		return Outcome{Fate: Refused, Reason: "store", After: f.outageAfter()}
	}
	if !found {
		return Outcome{Fate: Missing}
	}
	out := f.write(ctx, sched.CancelKey(id), []byte{1}, never)
	if out.Fate == Written {
		out.Fate = Stored
	}
	if out.Fate == Stored {
		f.Tally.Inc("lagoon_jobs_cancelled_total")
		f.Log.Info(logs.Withdrawn, logs.Fields{"job": id})
		go f.tellCancel(id)
	}
	return out
}

// never says that a row that is there stays.
func never(plat.Row) bool { return false }

// exists reports whether a job is stored. It is read until the store answers or
// the caller's time is over.
func (f *Front) exists(ctx context.Context, id string) (bool, error) {
	if s, err := f.askState(ctx, id); err == nil && s != "" {
		return true, nil
	}
	for {
		c, cancel := f.within(ctx, tryTimeout)
		row, err := f.read(c, sched.JobKey(id))
		cancel()
		if err == nil {
			return row.Version != 0 && !wasRefused(row), nil
		}
		f.storeFailed("read job", err)
		clock.Sleep(ctx, 2*tryPause)
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
	}
}

// askTimeout bounds the wait for the owner's word on a job.
const askTimeout = 250 * time.Millisecond

// askState asks the owner for the state of a job.
func (f *Front) askState(ctx context.Context, id string) (string, error) {
	if s, err := f.leader.State(id); err == nil {
		return s, nil
	}
	addr, _ := f.leader.Owner()
	if addr == "" || addr == f.server.Addr() {
		return "", errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s string
	err := f.pool.Get(addr).Call(ctx, work.EntryService+".State", id, &s)
	return s, err
}

var errNoOwner = errors.New("the owner is not known")

// State returns the state of a job, or Missing.
func (f *Front) State(ctx context.Context, id string) (string, Outcome) {
	if s, err := f.askState(ctx, id); err == nil && s != "" {
		return s, Outcome{}
	}
	for {
		s, err := f.readState(ctx, id)
		if err == nil && s == "" {
			return "", Outcome{Fate: Missing}
		}
		if err == nil {
			return s, Outcome{}
		}
		f.storeFailed("read state", err)
		clock.Sleep(ctx, 2*tryPause)
		if ctx.Err() != nil {
			return "", Outcome{Fate: Refused, Reason: "store", After: f.outageAfter()}
		}
		if s, err := f.askState(ctx, id); err == nil && s != "" {
			return s, Outcome{}
		}
	}
}

// readState reads the state of a job from its rows.
func (f *Front) readState(ctx context.Context, id string) (string, error) {
	ctx, cancel := f.within(ctx, tryTimeout)
	defer cancel()
	keys := []string{sched.JobKey(id), sched.StateKey(id), sched.CancelKey(id)}
	found := make([]plat.Row, len(keys))
	errs := make([]error, len(keys))
	var all sync.WaitGroup
	for i, k := range keys {
		all.Go(func() { found[i], errs[i] = f.read(ctx, k) })
	}
	all.Wait()
	job, state, cancelled := found[0], found[1], found[2]
	if err := errors.Join(errs...); err != nil || job.Version == 0 || wasRefused(job) {
		return "", err
	}
	var st work.State
	if state.Version != 0 {
		if err := work.Decode(state.Value, &st); err != nil {
			return "", fault.At("decode state", id).Wrap(err)
		}
	}
	return sched.Shown(st, cancelled.Version != 0), nil
}

// Pending counts the jobs of a queue of which no task was started. It is at
// most one ping old, or the last that an owner said.
func (f *Front) Pending(queue string) int {
	if n, err := f.leader.Pending(); err == nil {
		return n[queue]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[queue]
}
