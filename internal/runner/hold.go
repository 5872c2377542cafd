package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const (
	// leaseRequestWait is how long the worker may wait for a run to end before it
	// answers a lease request. Each reply contains measurements of the last half
	// second.
	leaseRequestWait = 500 * time.Millisecond
	// measureWait is the wait while the worker runs both latency-critical and
	// best-effort tasks, because throttling needs frequent measurements.
	measureWait = 300 * time.Millisecond
	// replyMargin is how long a reply may take in addition to the wait.
	replyMargin = 600 * time.Millisecond
	// retryPause is the pause after a lease request that failed.
	retryPause = 100 * time.Millisecond
	// idleWait is the wait while nothing runs.
	idleWait = time.Second
)

// loopLease keeps one lease request open at the worker. A request renews the lease
// and returns the list of runs.
func (r *Runner) loopLease(ctx context.Context) {
	for ctx.Err() == nil {
		request, ok := r.nextLeaseRequest()
		if !ok {
			select {
			case <-ctx.Done():
			case <-r.workerAnnounced:
			}
			continue
		}
		c, cancel := context.WithTimeout(ctx, request.Wait+replyMargin)
		sent := r.Clock.Now()
		reply, err := r.Runtime.Hold(c, request)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.leaseRequestFailed(request, err)
			clock.Sleep(ctx, retryPause)
			continue
		}
		if r.handleLeaseReply(ctx, request, reply, sent) {
			r.awaitEndsStored(ctx)
		} else if reply.FromOther(request.Life) {
			// Its heartbeat will follow.
			clock.Sleep(ctx, retryPause)
		}
	}
}

// storeWait bounds the wait for the owner to store ends before the next lease
// request. The worker answers a lease request at once while it has ends that it may
// not forget yet, so that without the wait requests would follow each other without
// a pause.
const storeWait = 150 * time.Millisecond

// awaitEndsStored waits until the owner has stored more ends, at most storeWait.
func (r *Runner) awaitEndsStored(ctx context.Context) {
	t := time.NewTimer(storeWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.endsStored:
	case <-t.C:
	}
}

// nextLeaseRequest returns the next lease request, or false if there is no worker.
func (r *Runner) nextLeaseRequest() (plat.LeaseRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.ID == "" || r.workerEnded {
		return plat.LeaseRequest{}, false
	}
	request := r.listRequest()
	if r.mayBeOther() {
		return request, true
	}
	request.Until, request.Wait = r.lease.renewUntil(r.Clock.Now()), leaseRequestWait
	switch {
	case !r.lease.synced || r.lease.unresponsive:
		request.Wait = 0
	case len(r.running) == 0 && len(r.starts) == 0:
		request.Wait = idleWait
	case r.throttler.Active():
		request.Wait = measureWait
	}
	return request, true
}

// listRequest returns a lease request that does not renew the lease. It must be called with
// the mutex held.
func (r *Runner) listRequest() plat.LeaseRequest {
	request := plat.LeaseRequest{Life: r.worker.Life, Term: r.term, After: r.heard}
	if !r.mayBeOther() {
		request.Seen = r.storedEnd
	}
	return request
}

// mayBeOther reports whether another incarnation may answer under the worker's ID. It must
// neither forget ends by the count of the one before nor get a lease by its clock.
func (r *Runner) mayBeOther() bool { return r.otherBorn != 0 || r.lease.failingSince > 0 }

// leaseRequestFailed handles the error of a lease request.
func (r *Runner) leaseRequestFailed(request plat.LeaseRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Life != r.worker.Life {
		return
	}
	r.Tally.Inc("lagoon_worker_errors_total", "step", "hold")
	if r.checkEnded(err); r.workerEnded {
		return
	}
	if errors.Is(err, plat.ErrFenced) {
		// The worker has seen a higher term: the process that the agent takes for
		// the owner is not the owner any more, or the agent knows no owner yet.
		r.Tally.Inc("lagoon_fenced_total")
		if request.Term > 0 && request.Term == r.term {
			r.Log.Info(logs.Fenced, logs.Fields{"term": request.Term, "owner": r.owner})
			r.owner = ""
		}
		signal(r.reportNow)
		return
	}
	wasUnresponsive := r.lease.unresponsive
	r.lease.workerFailed(r.Clock.Now(), false)
	if r.lease.unresponsive && !wasUnresponsive {
		r.Log.Error(logs.WorkerUnresponsive, fault.At("hold", "worker").Wrap(err), logs.Fields{"worker": request.Life.ID})
		signal(r.reportNow)
	}
}

// handleLeaseReply records the worker's reply to a lease request, given the time of
// sending, and reports whether it lists ends that the owner has not stored yet.
func (r *Runner) handleLeaseReply(ctx context.Context, request plat.LeaseRequest, reply plat.LeaseReply, sent time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Life != r.worker.Life {
		return false
	}
	if reply.FromOther(r.worker.Life) {
		r.noteOtherIncarnation(reply)
		return false
	}
	now := r.Clock.Now()
	if r.lease.unresponsive {
		r.Log.Info(logs.Restored, logs.Fields{"worker": request.Life.ID})
		signal(r.reportNow)
	}
	r.lease.workerAnswered()
	r.lease.syncClock(sent, now, reply.Clock)
	if !r.listed || r.listSurprises(reply) {
		r.listDue = true
		signal(r.reportNow)
	}
	r.running, r.listed, r.listRequestedAt, r.listedAfter = reply.Running, true, sent, request.After
	r.ends, r.moreEnds, r.partial = unstoredEnds(reply.Ends, r.storedEnd), reply.MoreEnds, reply.Partial
	if len(r.ends) > 0 && r.ends[len(r.ends)-1].N > r.reportedEnd {
		signal(r.reportNow)
	}
	r.forgetEndedRuns()
	for _, p := range r.throttler.Step(now, r.running, r.about) {
		go r.throttle(ctx, request.Life, p)
	}
	return len(r.ends) > 0
}

// noteOtherIncarnation logs, once for each, that another incarnation answers under the
// worker's ID. Runs that it has were started by orders for the incarnation before.
func (r *Runner) noteOtherIncarnation(reply plat.LeaseReply) {
	if r.otherBorn == reply.Born {
		return
	}
	r.otherBorn = reply.Born
	r.Tally.Inc("lagoon_other_incarnations_total")
	r.Log.Info(logs.OtherIncarnation, logs.Fields{"worker": r.worker.ID, "born": r.worker.Born, "answers": reply.Born, "runs": len(reply.Running)})
}

// unstoredEnds returns the ends with numbers above stored, in order.
func unstoredEnds(ends []work.End, stored int64) []work.End {
	out := slices.DeleteFunc(slices.Clone(ends), func(e work.End) bool { return e.N <= stored })
	slices.SortFunc(out, func(a, b work.End) int { return int(a.N - b.N) })
	return out
}

// listSurprises reports whether a worker's list shows something that the owner does not
// learn otherwise: a run that this process did not start, or one that is gone without an
// end. The owner learns of a start from the results of its order.
func (r *Runner) listSurprises(reply plat.LeaseReply) bool {
	listed := make(map[work.Run]bool, len(reply.Running))
	for _, x := range reply.Running {
		listed[x.Run] = true
	}
	for _, x := range r.running {
		if !listed[x.Run] && !reply.MoreEnds && !slices.ContainsFunc(reply.Ends, func(e work.End) bool { return e.Run == x.Run }) {
			return true
		}
		delete(listed, x.Run)
	}
	for x := range listed {
		if r.starts[x] == nil {
			return true
		}
	}
	return false
}

// forgetEndedRuns drops the start orders and descriptions of runs that the worker
// does not list any more, and old stops. It must be called with the mutex held.
func (r *Runner) forgetEndedRuns() {
	live := map[work.Run]bool{}
	for _, x := range r.running {
		live[x.Run] = true
	}
	for k, o := range r.starts {
		if isClosed(o.done) && !live[k] {
			delete(r.starts, k)
		}
	}
	for k := range r.about {
		if !live[k] && r.starts[k] == nil {
			delete(r.about, k)
		}
	}
	now := r.Clock.Now()
	for k, at := range r.stoppedAt {
		// A start order that arrives later than this is rejected for its age.
		if r.starts[k] == nil && now-at > r.Limits.OwnerTimeout {
			delete(r.stoppedAt, k)
		}
	}
}

// isClosed reports whether a channel that gets no values is closed.
func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// orderTimeout bounds one call that stops or throttles a run.
const orderTimeout = 400 * time.Millisecond

// throttle orders the worker to limit a run to a share of its full speed. An order
// that failed is repeated with a later lease reply.
func (r *Runner) throttle(ctx context.Context, life work.Life, order work.Throttle) {
	r.mu.Lock()
	term := r.term
	r.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.Runtime.Pace(c, plat.ThrottleRun{Life: life, Run: order.Run, Percent: order.Percent, Term: term})
	r.Tally.Inc("lagoon_paces_total")
	r.Log.Info(logs.RunThrottled, logs.Fields{"task": order.Task, "run": order.Num, "percent": order.Percent, "reason": order.Reason})
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.throttler.OrderLost(order.Run)
	}
}
