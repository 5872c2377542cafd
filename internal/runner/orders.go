package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// Peer serves the calls of owners to an agent.
type Peer struct{ runner *Runner }

// Order carries out an owner's order.
func (p *Peer) Order(o work.Order, out *work.Results) (err error) {
	defer p.runner.guard().Recover("Order", &err)
	*out = p.runner.handleOrder(o)
	return nil
}

// Meet announces the owner, so that the agent reports to it.
func (p *Peer) Meet(o work.Order, _ *work.Results) (err error) {
	defer p.runner.guard().Recover("Meet", &err)
	r := p.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordOwner(o.Term, o.Owner)
	signal(r.reportNow)
	return nil
}

const (
	// resultWait is how long an order waits for the outcomes of its starts.
	resultWait = 900 * time.Millisecond
	// startTries is how often a start is tried that gets no answer. This is safe
	// because the worker carries out a repeated start only once.
	startTries = 3
	// startTimeout bounds one try. A worker usually answers within a few
	// milliseconds, and a short task would end late if its start waited for half a
	// second.
	startTimeout = 130 * time.Millisecond
	// cancelTries is how often the cancellation of a start is tried.
	cancelTries = 3
	// maxConcurrentStarts is the number of slots for concurrent starts at the
	// worker. A start that gets no answer for defaultSlotTimeout frees its slot
	// although it is still in progress.
	maxConcurrentStarts = 3
	// defaultSlotTimeout is how long a start without an answer occupies a slot. A
	// worker usually answers within a few milliseconds.
	defaultSlotTimeout = 60 * time.Millisecond
)

// handleOrder carries out an order and waits up to resultWait for the outcomes.
func (r *Runner) handleOrder(o work.Order) work.Results {
	if code := r.rejectionCode(o); code != "" {
		return r.rejectOrder(o, code)
	}
	var starts []*startOrder
	for _, s := range o.Starts {
		starts = append(starts, r.beginStart(o, s))
	}
	stops := make(chan work.Run, len(o.Stops))
	var wg sync.WaitGroup
	for _, s := range o.Stops {
		wg.Go(func() {
			if r.stopRun(o, s) {
				stops <- s
			}
		})
	}
	res := r.collectResults(o, starts)
	wg.Wait()
	close(stops)
	for s := range stops {
		res.Stops = append(res.Stops, s)
	}
	return res
}

// rejectionCode returns why an order is rejected, or "" if it is accepted. It records
// the owner and the ends that an accepted order says are stored.
func (r *Runner) rejectionCode(o work.Order) work.Code {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Term < r.term {
		return work.Fenced
	}
	r.recordOwner(o.Term, o.Owner)
	if o.Life != r.worker.Life || r.workerEnded || r.otherBorn != 0 {
		return work.OtherIncarnation
	}
	r.recordStored(o.Noted)
	r.heard = r.heard.Latest(o.Now)
	return ""
}

// rejectOrder returns results with the same code for all starts of an order.
func (r *Runner) rejectOrder(o work.Order, code work.Code) work.Results {
	res := work.Results{Life: o.Life, Term: r.currentTerm()}
	for _, s := range o.Starts {
		res.Starts = append(res.Starts, work.Result{Run: s.Run, Code: code})
	}
	if len(o.Starts)+len(o.Stops) > 0 {
		r.Tally.Inc("lagoon_order_refusals_total", "reason", string(code))
	}
	return res
}

// currentTerm returns the highest term that the agent has seen.
func (r *Runner) currentTerm() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term
}

// beginStart begins to start a run and returns its start order. A start that was
// ordered before is not begun again; one that must not be carried out gets its code
// at once.
func (r *Runner) beginStart(o work.Order, s work.Start) *startOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	if earlier := r.starts[s.Run]; earlier != nil {
		return earlier
	}
	start := &startOrder{done: make(chan struct{}), code: work.Unknown, by: o.StartBy}
	now := r.Clock.Now()
	_, stopped := r.stoppedAt[s.Run]
	switch until := r.lease.renewUntil(now); {
	case r.worker.Leaving || r.lease.leaving:
		start.code = work.Leaving
		close(start.done)
	case stopped || until == 0 || start.expired(now) || !r.lease.orderRecent(now, o.Word, r.Clock.StartUnixMilli()):
		start.code = work.Late
		close(start.done)
	default:
		r.starts[s.Run] = start
		r.about[s.Run] = s.About
		go r.executeStart(start, plat.StartRun{
			Life: o.Life, Run: s.Run, Spec: o.Specs[jobOf(s.Task)], Until: until, Term: o.Term, Saved: s.Saved, Ticket: s.Ticket,
		}, r.startSlots)
	}
	return start
}

// jobOf returns the ID of the job that a task belongs to.
func jobOf(task string) string {
	p, _ := work.ParseTaskName(task)
	return p.Job
}

// executeStart orders the worker to start a run and records the outcome. If that is
// unknown after all tries, the run is stopped, so that it does not start later. One
// of the slots is occupied during the tries, at most for slotTimeout.
func (r *Runner) executeStart(start *startOrder, s plat.StartRun, slots chan struct{}) {
	slots <- struct{}{}
	release := sync.OnceFunc(func() { <-slots })
	timer := time.AfterFunc(r.slotTimeout, release)
	code, unanswered := r.tryStart(start, s)
	timer.Stop()
	release()
	if unanswered && code != work.Started {
		// A try that got no answer may still be carried out.
		code = r.cancelStart(s)
	}
	r.Tally.Inc("lagoon_starts_total", "code", string(code))
	if code != work.Started {
		r.Log.Info(logs.StartRefused, logs.Fields{"task": s.Task, "run": s.Num, "code": string(code)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	start.code = code
	if code == work.Unknown {
		// The record is dropped so that the owner can order the start again.
		delete(r.starts, s.Run)
	}
	close(start.done)
}

// tryStart orders a start up to startTries times. Unanswered says that the outcome of
// at least one try is unknown.
func (r *Runner) tryStart(start *startOrder, s plat.StartRun) (code work.Code, unanswered bool) {
	for range startTries {
		if start.expired(r.Clock.Now()) || !r.startAllowed(s) {
			return work.Late, unanswered
		}
		ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
		a, err := r.Runtime.Start(ctx, s)
		cancel()
		if err == nil {
			return a.Code, unanswered
		}
		r.Tally.Inc("lagoon_worker_errors_total", "step", "start")
		unanswered = unanswered || !errors.Is(err, plat.ErrRefused)
	}
	if !unanswered {
		return work.Unhealthy, false
	}
	return work.Unknown, true
}

// startAllowed reports whether a start may still be sent: its term is the highest,
// the worker is the same incarnation and not draining, the owner's last contact is
// recent, and the run was not stopped in the meantime.
func (r *Runner) startAllowed(s plat.StartRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, stopped := r.stoppedAt[s.Run]
	return !stopped && s.Term == r.term && s.Life == r.worker.Life && !r.worker.Leaving && !r.lease.leaving && r.lease.ownerContactRecent(r.Clock.Now())
}

// cancelStart stops a run that may have started or may still start. A worker that
// has accepted the stop of a run that it does not know never starts that run. Whether
// the run had started is seen from the worker's next list of runs and ends.
func (r *Runner) cancelStart(s plat.StartRun) work.Code {
	for range cancelTries {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		a, err := r.Runtime.Stop(ctx, plat.StopRun{Life: s.Life, Run: s.Run, Term: s.Term})
		cancel()
		if err == nil && a.Code == work.Started {
			return work.OldRun
		}
	}
	return work.Unknown
}

// stopRun stops a run, and reports whether the worker has accepted the stop. A start
// of the run that waits for a slot or whose order arrives later is not sent to the
// worker.
func (r *Runner) stopRun(o work.Order, s work.Run) bool {
	r.mu.Lock()
	r.stoppedAt[s] = r.Clock.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	a, err := r.Runtime.Stop(ctx, plat.StopRun{Life: o.Life, Run: s, Term: o.Term})
	if err != nil {
		// The owner repeats the stop until the worker lists the end of the run.
		r.Tally.Inc("lagoon_worker_errors_total", "step", "stop")
		return false
	}
	return a.Code == work.Started
}

// collectResults waits up to resultWait for the outcomes of starts and returns the
// outcomes known by then. The others are Unknown.
func (r *Runner) collectResults(o work.Order, starts []*startOrder) work.Results {
	t := time.NewTimer(resultWait)
	defer t.Stop()
	expired := false
	for _, w := range starts {
		if expired {
			break
		}
		select {
		case <-w.done:
		case <-t.C:
			expired = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	res := work.Results{Life: o.Life, Term: r.term}
	for i, w := range starts {
		res.Starts = append(res.Starts, work.Result{Run: o.Starts[i].Run, Code: w.code})
	}
	return res
}
