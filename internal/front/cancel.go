package front

import (
	"context"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// A client may cancel a job while its submission is still under way: at an entry that is paused,
// or to a store that is slow. The acknowledgement of the cancellation is final, so the
// cancellation is stored under the key of the job itself. Of the two conditional writes only one
// takes effect: either the job is accepted and then cancelled, or its submission finds the
// cancellation and is rejected.

// ReasonCancelled is the reason of a rejection for a job that was cancelled before it was
// accepted. It is never accepted.
const ReasonCancelled = "cancelled"

// maxEarlyCancels is how many cancellations of unknown jobs an entry stores at once, and within
// the retention time of ended jobs. Each costs the owner about 300 bytes of memory for that time.
const maxEarlyCancels = 512

// Cancel cancels a job by storing a row that says so. If no such job was accepted, it never will
// be after the outcome NotFound.
func (f *Front) Cancel(ctx context.Context, id string) Outcome {
	row, known, err := f.findJob(ctx, id)
	if err != nil {
		return Outcome{Status: Rejected, Reason: "store", After: f.outageRetryAfter()}
	}
	if !known {
		out, accepted := f.cancelEarly(ctx, id, row)
		if !accepted {
			return out
		}
	}
	out := f.write(ctx, sched.CancelKey(id), []byte{1}, neverReplace)
	if out.Status == Written {
		out.Status = Stored
	}
	if out.Status == Stored {
		f.Tally.Inc("lagoon_jobs_cancelled_total")
		f.Log.Info(logs.JobCancelled, logs.Fields{"job": id})
		go f.notifyCancel(id)
	}
	return out
}

// cancelEarly stores the cancellation of a job that was not accepted, given the row that was read
// under its key. It returns true if the job has been accepted in the meantime. Otherwise the
// status is NotFound once it can't be accepted any more.
func (f *Front) cancelEarly(ctx context.Context, id string, row plat.Row) (out Outcome, accepted bool) {
	if isCancelledEarly(row) {
		return Outcome{Status: NotFound}, false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	wait, ok := f.earlyCancels.Take(now, maxEarlyCancels, f.Limits.WithDefaults().EndedJobRetention)
	f.mu.Unlock()
	if !ok {
		f.Tally.Inc("lagoon_early_cancels_refused_total")
		f.Log.Info(logs.CancelRefused, logs.Fields{"job": id, "after": wait.Milliseconds()})
		return Outcome{Status: Rejected, Reason: "cancels", After: wait}, false
	}
	data, err := work.Encode(work.Job{ID: id, At: f.storeClock(), Refused: true, Cancelled: true})
	if err != nil {
		f.Log.Error(logs.Rejected, err, logs.Fields{"job": id, "reason": "invalid"})
		return Outcome{Status: Rejected, Reason: "invalid"}, false
	}
	var existing plat.Row
	out = f.write(ctx, sched.JobKey(id), data, func(r plat.Row) bool {
		existing = r
		return isRejected(r) && !isCancelledEarly(r)
	})
	switch {
	case out.Status == Written:
		f.Tally.Inc("lagoon_early_cancels_total")
		f.Log.Info(logs.JobCancelled, logs.Fields{"job": id, "early": true})
	case out.Status != Stored:
		return out, false
	case !isCancelledEarly(existing):
		return out, true
	}
	return Outcome{Status: NotFound}, false
}

// neverReplace says that an existing row is never replaced.
func neverReplace(plat.Row) bool { return false }

// isCancelledEarly reports whether a row says that its job was cancelled before it was accepted.
func isCancelledEarly(row plat.Row) bool {
	var j work.Job
	return work.Decode(row.Value, &j) == nil && j.Refused && j.Cancelled
}

// findJob reports whether a job was accepted. If the owner does not know the job, the read of its
// row is retried until the store answers or the caller's context ends; the row is returned.
func (f *Front) findJob(ctx context.Context, id string) (row plat.Row, accepted bool, err error) {
	if s, err := f.ownerState(ctx, id); err == nil && s != "" {
		return plat.Row{}, true, nil
	}
	for {
		c, cancel := f.withTimeout(ctx, tryTimeout)
		row, err := f.read(c, sched.JobKey(id))
		cancel()
		if err == nil {
			return row, row.Version != 0 && !isRejected(row), nil
		}
		f.storeFailed("read job", err)
		clock.Sleep(ctx, 2*firstRetryDelay)
		if ctx.Err() != nil {
			return plat.Row{}, false, ctx.Err()
		}
	}
}
