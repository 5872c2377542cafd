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

// Peer is what the owner calls at an agent.
type Peer struct{ runner *Runner }

// Order carries an owner's order out.
func (p *Peer) Order(o work.Order, out *work.Results) error {
	*out = p.runner.order(o)
	return nil
}

// Meet tells of the owner.
func (p *Peer) Meet(o work.Order, _ *work.Results) error {
	r := p.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard(o.Term, o.Owner)
	signal(r.news)
	return nil
}

const (
	// resultWait is how long an order waits for the fates of its starts.
	resultWait = 900 * time.Millisecond
	// startTries is how often a start without an answer is tried: the worker
	// takes a repeated start as one.
	startTries = 3
	// startTimeout bounds one try. A worker answers within a few milliseconds as a
	// rule, and a short task ends late if its start waits for half a second.
	startTimeout = 130 * time.Millisecond
	// voidTries is how often a start without an answer is called off.
	voidTries = 3
	// abreast bounds the starts under way at the worker that still may be answered
	// soon.
	abreast = 3
	// defaultSlotHold is how long a start without an answer keeps others waiting.
	// A worker answers within a few milliseconds as a rule.
	defaultSlotHold = 60 * time.Millisecond
)

func (r *Runner) order(o work.Order) work.Results {
	if code := r.refuses(o); code != "" {
		return r.refused(o, code)
	}
	var waits []*order
	for _, s := range o.Starts {
		waits = append(waits, r.begin(o, s))
	}
	stops := make(chan work.Run, len(o.Stops))
	var all sync.WaitGroup
	for _, s := range o.Stops {
		all.Go(func() {
			if r.stop(o, s) {
				stops <- s
			}
		})
	}
	res := r.fates(o, waits)
	all.Wait()
	close(stops)
	for s := range stops {
		res.Stops = append(res.Stops, s)
	}
	return res
}

// refuses returns why an order is not carried out, or nothing.
func (r *Runner) refuses(o work.Order) work.Code {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Term < r.term {
		return work.Fenced
	}
	r.heard(o.Term, o.Owner)
	if o.Life != r.worker.Life || r.gone {
		return work.OtherIncarnation
	}
	r.stored(o.Noted)
	return ""
}

func (r *Runner) refused(o work.Order, code work.Code) work.Results {
	res := work.Results{Life: o.Life, Term: r.highest()}
	for _, s := range o.Starts {
		res.Starts = append(res.Starts, work.Result{Run: s.Run, Code: code})
	}
	if len(o.Starts)+len(o.Stops) > 0 {
		r.Tally.Inc("lagoon_order_refusals_total", "reason", string(code))
	}
	return res
}

func (r *Runner) highest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term
}

// begin starts a run unless that was ordered before.
func (r *Runner) begin(o work.Order, s work.Start) *order {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.orders[s.Run]; w != nil {
		return w
	}
	w := &order{done: make(chan struct{}), code: work.Unknown}
	now := r.Clock.Now()
	_, stopped := r.stopped[s.Run]
	switch until := r.lease.until(now); {
	case r.worker.Leaving:
		w.code = work.Leaving
		close(w.done)
	case stopped || until == 0 || !r.lease.fresh(now, o.Word, r.Clock.Epoch()):
		w.code = work.Late
		close(w.done)
	default:
		r.orders[s.Run] = w
		r.about[s.Run] = s.About
		go r.run(w, plat.StartRun{
			Life: o.Life, Run: s.Run, Spec: o.Specs[jobOf(s.Task)], Until: until, Term: o.Term, Saved: s.Saved, Ticket: s.Ticket,
		}, r.slots)
	}
	return w
}

func jobOf(task string) string {
	p, _ := work.ParseTaskName(task)
	return p.Job
}

// run orders a start of the worker until its fate is known.
func (r *Runner) run(w *order, s plat.StartRun, slots chan struct{}) {
	slots <- struct{}{}
	free := sync.OnceFunc(func() { <-slots })
	late := time.AfterFunc(r.slotHold, free)
	code, doubt := r.try(s)
	late.Stop()
	free()
	if doubt && code != work.Started {
		// An earlier try may yet be carried out.
		code = r.callOff(s)
	}
	r.Tally.Inc("lagoon_starts_total", "code", string(code))
	if code != work.Started {
		r.Log.Info(logs.StartRefused, logs.Fields{"task": s.Task, "run": s.Num, "code": string(code)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.code = code
	if code == work.Unknown {
		// The owner will order it again.
		delete(r.orders, s.Run)
	}
	close(w.done)
}

// try orders a start. Doubt says that some try got no answer.
func (r *Runner) try(s plat.StartRun) (code work.Code, doubt bool) {
	for range startTries {
		if !r.valid(s) {
			return work.Late, doubt
		}
		ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
		a, err := r.Runtime.Start(ctx, s)
		cancel()
		if err == nil {
			return a.Code, doubt
		}
		r.Tally.Inc("lagoon_worker_errors_total", "step", "start")
		doubt = doubt || !errors.Is(err, plat.ErrRefused)
	}
	if !doubt {
		return work.Unhealthy, false
	}
	return work.Unknown, true
}

// valid reports whether an order may still be sent: the term is the newest, the
// worker the same and takes new work, and the run was not stopped meanwhile.
func (r *Runner) valid(s plat.StartRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, stopped := r.stopped[s.Run]
	return !stopped && s.Term == r.term && s.Life == r.worker.Life && !r.worker.Leaving && r.lease.trusts(r.Clock.Now())
}

// callOff stops a run that may have been started or may yet start. A worker
// that has taken the stop of a run that is not there never starts it; whether
// it was there is shown by its next list.
func (r *Runner) callOff(s plat.StartRun) work.Code {
	for range voidTries {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		a, err := r.Runtime.Stop(ctx, plat.StopRun{Life: s.Life, Run: s.Run, Term: s.Term})
		cancel()
		if err == nil && a.Code == work.Started {
			return work.OldRun
		}
	}
	return work.Unknown
}

// stop ends a run, and reports whether the worker has taken that. A start of the
// run that waits for its turn, or whose order is still on its way, is not sent.
func (r *Runner) stop(o work.Order, s work.Run) bool {
	r.mu.Lock()
	r.stopped[s] = r.Clock.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	a, err := r.Runtime.Stop(ctx, plat.StopRun{Life: o.Life, Run: s, Term: o.Term})
	if err != nil {
		// The owner repeats a stop until the end is listed.
		r.Tally.Inc("lagoon_worker_errors_total", "step", "stop")
		return false
	}
	return a.Code == work.Started
}

// fates collects the fates that are known in time.
func (r *Runner) fates(o work.Order, waits []*order) work.Results {
	t := time.NewTimer(resultWait)
	defer t.Stop()
	expired := false
	for _, w := range waits {
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
	for i, w := range waits {
		res.Starts = append(res.Starts, work.Result{Run: o.Starts[i].Run, Code: w.code})
	}
	return res
}
