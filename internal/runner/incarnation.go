package runner

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// Heartbeat records a heartbeat of the worker. Sequence increases within an
// incarnation.
func (r *Runner) Heartbeat(w work.Worker, sequence int64) {
	r.mu.Lock()
	known := r.worker.Life
	r.mu.Unlock()
	if r.isForeign(w) {
		r.Log.Debug(logs.EntrySkipped, logs.Fields{"list": "heartbeats", "worker": w.ID, "born": w.Born, "reason": "another incarnation answers at the address"})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case w.Life != r.worker.Life && r.worker.Life != known:
		// Another heartbeat has replaced the worker in the meantime.
		return
	case w.Life != r.worker.Life:
		r.Log.Info(logs.WorkerNew, logs.Fields{"worker": w.ID, "born": w.Born, "before": r.worker.ID})
		r.reset(w)
		r.heartbeatSeq = sequence
		signal(r.workerAnnounced)
	case sequence < r.heartbeatSeq:
		return
	default:
		if r.workerEnded {
			signal(r.workerAnnounced)
		}
		if w.Leaving != r.worker.Leaving {
			r.Log.Info(logs.WorkerDraining, logs.Fields{"worker": w.ID, "left": w.Remaining})
			signal(r.reportNow)
		}
		r.worker, r.heartbeatSeq = w, sequence
		r.workerEnded, r.ownerKnowsEnd, r.lease.leaving = false, false, false
		r.lease.draining = w.Leaving
	}
}

// isForeign reports whether a heartbeat names an incarnation other than the one that answers
// at the worker's address. Such a heartbeat must not replace a worker that has runs at work.
// One that was born before the known worker has to answer: usually its heartbeat is late,
// but the time of day may have been set back.
func (r *Runner) isForeign(w work.Worker) bool {
	r.mu.Lock()
	known, ended, other := r.worker, r.workerEnded, r.otherBorn
	request := plat.LeaseRequest{Life: w.Life, Term: r.term}
	r.mu.Unlock()
	earlier := w.Born < known.Born
	switch {
	case known.ID == "" || w.Life == known.Life || ended && !earlier:
		return false
	case earlier && !ended && (other == 0 || w.Born != other):
		return true
	}
	ctx, cancel := context.WithTimeout(r.ctx, lastListTimeout)
	defer cancel()
	reply, err := r.Runtime.Hold(ctx, request)
	if earlier {
		return err != nil || reply.Born != w.Born
	}
	return errors.Is(err, plat.ErrNotFound) || err == nil && reply.FromOther(w.Life)
}

// Deregistered records the worker's farewell. The worker may go on for a while, so its runs
// are not over: its lease is not renewed any more, and the owner learns what is left of it
// and, once that is certain, that the worker has ended. The worker is first asked for its
// last list of ends: a run may have ended since the last lease request, and no one learns of
// that later.
func (r *Runner) Deregistered(id string) {
	r.mu.Lock()
	current := r.worker.ID == id && !r.workerEnded
	life := r.worker.Life
	if current {
		r.lease.leaving, r.lease.mayRenew = true, false
	}
	r.mu.Unlock()
	if !current {
		return
	}
	err := r.readLastEnds(life)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.Life != life || r.workerEnded || !r.lease.leaving {
		return
	}
	r.Log.Info(logs.WorkerFarewell, r.listFields(logs.Fields{"worker": id, "answered": err == nil}))
	r.checkEnded(err)
	signal(r.reportNow)
}

// checkEnded records that the worker has ended if a failed call to it proves that: another
// incarnation answers at its address, or its lease has expired after its farewell. That no
// process listens there any more is no proof, since a process may close its socket before
// it ends its runs. It must be called with the mutex held.
func (r *Runner) checkEnded(err error) {
	proof := ""
	switch {
	case errors.Is(err, plat.ErrNotFound):
		proof = "another incarnation answers"
	case r.lease.leaving && r.lease.maxRemaining(r.Clock.Now()) == 0:
		proof = "its lease has expired"
	default:
		return
	}
	r.workerEnded = true
	r.Log.Info(logs.WorkerEnded, r.listFields(logs.Fields{"worker": r.worker.ID, "proof": proof}))
	signal(r.reportNow)
}

// listFields adds to the fields of a log line what the worker's newest list showed, and its
// age. It must be called with the mutex held.
func (r *Runner) listFields(f logs.Fields) logs.Fields {
	if r.listed {
		f["runs"], f["age"] = len(r.running), (r.Clock.Now() - r.listRequestedAt).Milliseconds()
	}
	return f
}

// lastListTimeout bounds a request for a worker's list that precedes the answer to a message
// of the worker, and lastListsTimeout all of them that precede the answer to its farewell:
// the worker waits about a second for that.
const (
	lastListTimeout  = 300 * time.Millisecond
	lastListsTimeout = 700 * time.Millisecond
)

// readLastEnds reads the list of runs and ends of a worker that is about to end. If the
// worker has more ends than one list holds, it reads on when the owner has stored the first.
// It returns the error of the last call.
func (r *Runner) readLastEnds(l work.Life) error {
	ctx, cancel := context.WithTimeout(r.ctx, lastListsTimeout)
	defer cancel()
	for {
		more, err := r.readEnds(ctx, l)
		if !more || ctx.Err() != nil {
			return err
		}
		r.awaitEndsStored(ctx)
	}
}

// readEnds reads the list of runs and ends of a worker once, and reports whether the worker
// has more ends.
func (r *Runner) readEnds(ctx context.Context, l work.Life) (more bool, err error) {
	r.mu.Lock()
	request := r.listRequest()
	request.Life = l
	r.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, lastListTimeout)
	defer cancel()
	sent := r.Clock.Now()
	reply, err := r.Runtime.Hold(c, request)
	if err != nil {
		r.Log.Info(logs.PeerLost, logs.Fields{"worker": l.ID, "step": "read last ends", "error": err.Error()})
		return false, err
	}
	r.handleLeaseReply(ctx, request, reply, sent)
	return reply.MoreEnds, nil
}
