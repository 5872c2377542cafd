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
	// reportEvery is the pace of reports without news.
	reportEvery = 500 * time.Millisecond
	// reportTimeout bounds the wait for an answer, which needs a commit.
	reportTimeout = 900 * time.Millisecond
	// findPause is the wait before another process is asked for the owner.
	findPause = 60 * time.Millisecond
	// readTimeout bounds one call of the store.
	readTimeout = 800 * time.Millisecond
	// entryLapse is the silence after which an entry is not asked any more.
	entryLapse = 20 * time.Second
)

// loopReport tells the owner what is new, and at a steady pace that all is as
// before.
func (r *Runner) loopReport(ctx context.Context) {
	for ctx.Err() == nil {
		rep, ok := r.compose()
		if !ok {
			r.idle(ctx)
			continue
		}
		if !r.send(ctx, rep) {
			r.find(ctx)
			continue
		}
		r.idle(ctx)
	}
}

// idle waits until there is news or a report is due.
func (r *Runner) idle(ctx context.Context) {
	t := time.NewTimer(reportEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.news:
	case <-t.C:
	}
}

func (r *Runner) compose() (work.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.ID == "" {
		return work.Report{}, false
	}
	now := r.Clock.Now()
	rep := work.Report{
		Agent:   r.server.Addr(),
		Name:    r.Name,
		Worker:  r.worker,
		Ends:    r.ends,
		Cut:     r.lease.silent,
		Gone:    r.gone,
		Unix:    time.Now().UnixMilli(),
		Word:    work.ReportID{Process: r.Clock.Epoch(), Sent: now, Echo: r.echo},
		Listed:  r.listed && !r.lease.silent,
		Running: r.running,
		Age:     (now - r.listedAt).Milliseconds(),
	}
	if rep.Cut {
		rep.Left = r.lease.left(now).Milliseconds() + 1
	}
	for _, x := range r.running {
		if _, ok := r.about[x.Run]; !ok {
			rep.Asks = append(rep.Asks, x.Run)
		}
	}
	return rep, true
}

// send reports to the owner and takes the answer in. It reports whether the
// owner answered.
func (r *Runner) send(ctx context.Context, rep work.Report) bool {
	r.mu.Lock()
	owner := r.owner
	r.mu.Unlock()
	if owner == "" {
		return false
	}
	sent := r.Clock.Now()
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var rpl work.Reply
	if err := r.pool.Get(owner).Call(c, work.EntryService+".Report", rep, &rpl); err != nil {
		r.Tally.Inc("lagoon_reports_lost_total")
		r.lost(owner, err)
		return false
	}
	return r.answered(rep, rpl, owner, sent)
}

func (r *Runner) lost(owner string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner == owner {
		r.owner = ""
		r.Log.Info(logs.PeerLost, logs.Fields{"owner": owner, "error": err.Error()})
	}
}

func (r *Runner) answered(rep work.Report, rpl work.Reply, owner string, sent time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, e := range rpl.Entries {
		r.entries[e] = now
	}
	if rpl.Term == 0 {
		r.owner = rpl.Owner
		if rpl.Owner == owner {
			r.owner = ""
		}
		return false
	}
	if rpl.Term < r.term {
		r.owner = ""
		return false
	}
	r.heard(rpl.Term, owner)
	if rpl.Challenge != 0 {
		r.echo = rpl.Challenge
		signal(r.news)
		return true
	}
	if rep.Worker.Life != r.worker.Life {
		return true
	}
	for _, a := range rpl.About {
		r.about[a.Run] = a
	}
	if rpl.Press != nil {
		r.guard.SetModel(r.worker.Size.Cores, rpl.Press, rpl.Bases)
	}
	r.stored(rpl.Noted)
	if n := len(rep.Ends); n > 0 {
		r.reported = max(r.reported, rep.Ends[n-1].N)
	}
	r.lease.confirmed(sent, rpl.Renew, rep.Cut)
	return true
}

// stored takes in that the owner has stored ends up to a number. It must be
// called with the mutex held.
func (r *Runner) stored(n int64) {
	if n <= r.seen {
		return
	}
	r.seen = n
	r.ends = newer(r.ends, n)
	signal(r.noted)
}

// heard takes in a term and its owner. It must be called with the mutex held.
func (r *Runner) heard(term uint64, owner string) {
	if term < r.term || owner == "" {
		return
	}
	if term > r.term || owner != r.owner {
		r.Log.Info(logs.OwnerHeard, logs.Fields{"term": term, "owner": owner, "before": r.owner})
	}
	r.term, r.owner = term, owner
}

// find looks for the owner: the store's title, and entries that may know it.
func (r *Runner) find(ctx context.Context) {
	clock.Sleep(ctx, findPause)
	r.mu.Lock()
	known := r.owner != ""
	now := r.Clock.Now()
	var next string
	for e, at := range r.entries {
		// The order of a map is random, so each try asks another entry.
		if now-at < entryLapse {
			next = e
			break
		}
	}
	r.mu.Unlock()
	if known {
		return
	}
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	title, err := leader.FindOwner(c, r.Rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.owner != "":
	case err == nil && title.Addr != "" && title.Term >= r.term && title.Addr != r.avoid:
		r.owner = title.Addr
	case next != "":
		r.owner = next
	}
	r.avoid = ""
	if r.owner == title.Addr {
		// If it gives no answer, an entry is asked before it is tried again.
		r.avoid = title.Addr
	}
}
