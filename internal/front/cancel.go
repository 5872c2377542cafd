package front

import (
	"context"
	"time"

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

// Cancel cancels a job of a queue, or of any queue if that is empty, by storing a row that says
// so. If no such job was accepted, it never will be after the outcome NotFound.
func (f *Front) Cancel(ctx context.Context, queue, id string) Outcome {
	of, row, accepted, err := f.findQueue(ctx, id)
	if err != nil {
		return Outcome{Status: Rejected, Reason: "store", After: f.outageRetryAfter()}
	}
	if !accepted {
		var out Outcome
		if out, row = f.cancelEarly(ctx, queue, id, row); out.Status != Stored {
			return out
		}
		of, _ = acceptedIn(row)
	}
	if f.isForeign(queue, of) {
		// The ID is taken, so no job of the client's own queue is accepted under it.
		return Outcome{Status: NotFound}
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
// under its key. The status is NotFound once the job can't be accepted any more. It is Stored if
// the job has been accepted in the meantime, by the row that is returned.
func (f *Front) cancelEarly(ctx context.Context, queue, id string, row plat.Row) (Outcome, plat.Row) {
	counted := false
	for {
		earlier, ok := earlyCancel(row)
		if ok && (earlier.Queue == queue || earlier.Queue == "") {
			return Outcome{Status: NotFound}, row
		}
		if !counted {
			if wait, ok := f.takeEarlyCancel(); !ok {
				f.Tally.Inc("lagoon_early_cancels_refused_total")
				f.Log.Info(logs.CancelRefused, logs.Fields{"job": id, "queue": queue, "after": wait.Milliseconds()})
				return Outcome{Status: Rejected, Reason: "cancels", After: wait}, row
			}
			counted = true
		}
		if ok {
			// Clients of two queues have cancelled jobs with this ID: the row holds for all.
			queue = ""
		}
		data, err := work.Encode(work.Job{ID: id, Queue: queue, At: f.storeClock(), Refused: true, Cancelled: true})
		if err != nil {
			f.Log.Error(logs.Rejected, err, logs.Fields{"job": id, "reason": "invalid"})
			return Outcome{Status: Rejected, Reason: "invalid"}, row
		}
		replaced := row.Version
		out := f.write(ctx, sched.JobKey(id), data, func(r plat.Row) bool {
			row = r
			return r.Version == replaced
		})
		if out.Status == Written {
			f.Tally.Inc("lagoon_early_cancels_total")
			f.Log.Info(logs.JobCancelled, logs.Fields{"job": id, "queue": queue, "early": true})
			return Outcome{Status: NotFound}, row
		}
		if _, accepted := acceptedIn(row); accepted || out.Status != Stored {
			return out, row
		}
	}
}

// takeEarlyCancel counts a cancellation of an unknown job. It returns false if this entry has
// stored as many as it may, and when the next one may be stored.
func (f *Front) takeEarlyCancel() (wait time.Duration, ok bool) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.earlyCancels.Take(now, maxEarlyCancels, f.Limits.WithDefaults().EndedJobRetention)
}

// neverReplace says that an existing row is never replaced.
func neverReplace(plat.Row) bool { return false }

// earlyCancel returns the content of a row that says that its job was cancelled before it was
// accepted, and false for any other row.
func earlyCancel(row plat.Row) (work.Job, bool) {
	var j work.Job
	err := work.Decode(row.Value, &j)
	return j, err == nil && j.Refused && j.Cancelled
}

// wasCancelled reports whether a row says that a job was cancelled before it was accepted. A job
// with the same ID of another queue in force was not: clients may not keep those of other queues
// from submitting a job.
func (f *Front) wasCancelled(j work.Job, row plat.Row) bool {
	x, ok := earlyCancel(row)
	return ok && (x.Queue == j.Queue || !f.hasQueue(x.Queue))
}

// acceptedIn reports whether a row accepts a job, and for which queue. The queue is empty if the row
// can't be read.
func acceptedIn(row plat.Row) (queue string, accepted bool) {
	var j work.Job
	if err := work.Decode(row.Value, &j); err != nil {
		j = work.Job{}
	}
	return j.Queue, row.Version != 0 && !j.Refused
}

// findQueue returns the queue of an accepted job, or the row under its key if it was not accepted.
// If the owner does not know the job, the read of the row is retried until the store answers or
// the caller's context ends.
func (f *Front) findQueue(ctx context.Context, id string) (queue string, row plat.Row, accepted bool, err error) {
	if j, err := f.askFor(ctx, id); err == nil && j.State != "" {
		return j.Queue, plat.Row{}, true, nil
	}
	for {
		c, cancel := f.withTimeout(ctx, tryTimeout)
		row, err := f.read(c, sched.JobKey(id))
		cancel()
		if err == nil {
			queue, accepted := acceptedIn(row)
			return queue, row, accepted, nil
		}
		f.storeFailed("read job", err)
		clock.Sleep(ctx, 2*firstRetryDelay)
		if ctx.Err() != nil {
			return "", plat.Row{}, false, ctx.Err()
		}
	}
}
