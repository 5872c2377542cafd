package runner

import (
	"context"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/work"
)

const (
	// reportInterval is the interval between reports when nothing has changed, and
	// idleReportInterval the same while nothing runs. Two reports in a row have to be
	// lost before the owner places no more runs on the worker.
	reportInterval     = 500 * time.Millisecond
	idleReportInterval = 700 * time.Millisecond
	// listInterval is the least time between two lists of runs, which are by far the
	// largest part of a report, unless a list shows something new. It is below
	// reportInterval, so that each periodic report has one.
	listInterval = 400 * time.Millisecond
	// reportTimeout bounds the wait for the reply, for which the owner has to commit
	// to the store.
	reportTimeout = 900 * time.Millisecond
	// lookupPause is the pause before each lookup of the owner.
	lookupPause = 60 * time.Millisecond
	// readTimeout bounds one read from the store.
	readTimeout = 800 * time.Millisecond
	// entryExpiry is how long an entry is used after a reply last listed it.
	entryExpiry = 20 * time.Second
)

// loopReport reports to the owner at once when something has changed, and every
// reportInterval otherwise.
func (r *Runner) loopReport(ctx context.Context) {
	for ctx.Err() == nil {
		rep, ok := r.buildReport()
		if !ok {
			r.awaitNextReport(ctx)
			continue
		}
		if !r.sendReport(ctx, rep) {
			r.findOwner(ctx)
			continue
		}
		r.awaitNextReport(ctx)
	}
}

// awaitNextReport waits until the next report is due.
func (r *Runner) awaitNextReport(ctx context.Context) {
	r.mu.Lock()
	interval := reportInterval
	if len(r.running) == 0 && len(r.starts) == 0 {
		interval = idleReportInterval
	}
	reportNow := r.reportNow
	if r.ownerBusy {
		// Ends that are not stored would bring a report every 150 ms to an owner that
		// is behind already.
		reportNow = nil
	}
	r.mu.Unlock()
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-reportNow:
	case <-t.C:
	}
}

// buildReport returns the next report, or false if there is no worker yet.
func (r *Runner) buildReport() (work.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.ID == "" {
		return work.Report{}, false
	}
	now := r.Clock.Now()
	rep := work.Report{
		Agent:  r.server.Addr(),
		Name:   r.Name,
		Worker: r.worker,
		Ends:   r.ends,
		Cut:    r.lease.unresponsive || r.lease.leaving,
		Gone:   r.workerEnded,
		Unix:   time.Now().UnixMilli(),
		Word:   work.ReportID{Process: r.Clock.StartUnixMilli(), Sent: now, Echo: r.challenge},
	}
	if r.listed && !r.lease.unresponsive && (r.listDue || now-r.listReportedAt >= listInterval) {
		rep.Listed, rep.Running, rep.Age = true, r.running, (now - r.listRequestedAt).Milliseconds()
		rep.MoreEnds, rep.ListedAfter = r.moreEnds || r.partial, r.listedAfter
	}
	if rep.Cut {
		rep.Left = r.lease.maxRemaining(now).Milliseconds() + 1
	}
	if r.otherBorn != 0 {
		// Starts may have reached the other incarnation. It inherits the runs when it has
		// announced itself, so nothing is released before.
		rep.Cut, rep.Listed, rep.Left = true, false, (r.Limits.OwnerTimeout + r.Limits.Lease).Milliseconds()
	}
	for _, x := range r.running {
		if _, ok := r.about[x.Run]; !ok {
			rep.Asks = append(rep.Asks, x.Run)
		}
	}
	return rep, true
}

// sendReport sends a report to the owner and handles the reply. It returns false if
// the owner is unknown or did not answer.
func (r *Runner) sendReport(ctx context.Context, rep work.Report) bool {
	r.mu.Lock()
	owner := r.owner
	r.mu.Unlock()
	if owner == "" {
		return false
	}
	sent := r.Clock.Now()
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply work.Reply
	if err := r.pool.Get(owner).Call(c, work.EntryService+".Report", rep, &reply); err != nil {
		r.Tally.Inc("lagoon_reports_lost_total")
		r.ownerLost(owner, err)
		return false
	}
	return r.handleReply(rep, reply, owner, sent)
}

// ownerLost records that a call to the owner failed, so that it is looked up again.
func (r *Runner) ownerLost(owner string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turns.Tried(owner)
	if r.owner == owner {
		r.owner = ""
		r.Log.Info(logs.PeerLost, logs.Fields{"owner": owner, "error": err.Error()})
	}
}

// handleReply records the reply to a report. Owner is the address that the report was
// sent to, and sent the time of sending. It returns false if the process at that
// address is not the owner.
func (r *Runner) handleReply(rep work.Report, reply work.Reply, owner string, sent time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, e := range reply.Entries {
		r.entries[e] = now
	}
	if reply.Busy {
		r.Tally.Inc("lagoon_reports_lost_total")
		r.ownerBusy = true
		return true
	}
	r.ownerBusy = false
	if reply.Term == 0 {
		r.owner = reply.Owner
		if reply.Owner == owner {
			r.owner = ""
		}
		return false
	}
	if reply.Term < r.term {
		r.owner = ""
		return false
	}
	r.recordOwner(reply.Term, owner)
	r.heard = r.heard.Latest(reply.Now)
	if reply.Challenge != 0 {
		r.challenge = reply.Challenge
		signal(r.reportNow)
		return true
	}
	if rep.Worker.Life != r.worker.Life {
		return true
	}
	if rep.Listed {
		r.listReportedAt, r.listDue = sent, false
	}
	for _, a := range reply.About {
		r.about[a.Run] = a
	}
	if reply.Press != nil {
		r.throttler.SetModel(r.worker.Size.Cores, reply.Press, reply.Bases)
	}
	r.recordStored(reply.Noted)
	if n := len(rep.Ends); n > 0 {
		r.reportedEnd = max(r.reportedEnd, rep.Ends[n-1].N)
	}
	r.ownerKnowsEnd = r.ownerKnowsEnd || rep.Cut && r.lease.leaving
	r.lease.ownerReplied(sent, reply.Renew, rep.Cut)
	return true
}

// recordStored records that the owner has stored the ends up to number n. It must be
// called with the mutex held.
func (r *Runner) recordStored(n int64) {
	if n <= r.storedEnd {
		return
	}
	r.storedEnd = n
	r.ends = unstoredEnds(r.ends, n)
	signal(r.endsStored)
}

// recordOwner records a term and its owner unless a higher term is known. It must be
// called with the mutex held.
func (r *Runner) recordOwner(term uint64, owner string) {
	if term < r.term || owner == "" {
		return
	}
	if term > r.term || owner != r.owner {
		// A new owner has seen no list yet.
		r.listDue = true
		r.Log.Info(logs.OwnerChanged, logs.Fields{"term": term, "owner": owner, "before": r.owner})
	}
	if term > r.term {
		// An owner that was replaced acknowledges ends of runs that it does not know.
		r.storedEnd, r.reportedEnd = 0, 0
	}
	r.term, r.owner = term, owner
}

// findOwner looks up the owner of the cell in the ownership row, or chooses an entry
// that may know it, and sets it as the process to report to.
func (r *Runner) findOwner(ctx context.Context) {
	clock.Sleep(ctx, lookupPause)
	r.mu.Lock()
	known := r.owner != ""
	now := r.Clock.Now()
	var entries []string
	for e, at := range r.entries {
		if now-at < entryExpiry {
			entries = append(entries, e)
		}
	}
	r.mu.Unlock()
	if known {
		return
	}
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	holder, err := leader.FindOwner(c, r.Rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.owner != "":
	case err == nil && holder.Addr != "" && holder.Term >= r.term && holder.Addr != r.triedOwner:
		r.owner = holder.Addr
	case len(entries) > 0:
		r.owner = r.turns.Next(entries)
	}
	r.triedOwner = ""
	if r.owner == holder.Addr {
		// If this owner does not answer, the next lookup uses an entry instead.
		r.triedOwner = holder.Addr
	}
}
