package sched_test

import (
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// The agents of the simulation below know of their workers only what internal/runner knows:
// heartbeats, farewells and the answers to lease requests.

const (
	// heartbeatInterval is the time between a worker's heartbeats, and firstHeartbeat the
	// range of the time until its first.
	heartbeatInterval = 300 * time.Millisecond
	firstHeartbeat    = 700 * time.Millisecond
	// leaseInterval is the time between lease requests, and holdTimeout how long one waits
	// for its answer.
	leaseInterval = 200 * time.Millisecond
	holdTimeout   = 200 * time.Millisecond
	// unresponsiveAfter is the time after the first failed lease request at which a worker
	// counts as unresponsive.
	unresponsiveAfter = 450 * time.Millisecond
	// replyTimeout is how long an agent waits for the reply to a report.
	replyTimeout = 500 * time.Millisecond
	// maxHold is the longest lease that a worker grants.
	maxHold = 2 * lease
	// slowestClock is the rate of the slowest clock of a worker.
	slowestClock = 0.98
	// farewellToEnd is the range of the time that a worker goes on after its farewell, and
	// unheardToEnd the same for one that gets no answer. farewellDelay is the range of the
	// time that a late farewell takes.
	farewellToEnd = 1500 * time.Millisecond
	unheardToEnd  = 4 * time.Second
	farewellDelay = 2500 * time.Millisecond
)

// agent is the state of an agent's process.
type agent struct {
	// process counts the starts of the agent.
	process int64
	// term is the highest term that it has seen, and echo the newest challenge that it got.
	term uint64
	echo uint64
	// heard is the newest moment of an owner that it knows.
	heard work.Moment
	// awaited is when the report was sent whose reply it awaits, or 0.
	awaited time.Duration
	beliefs
}

// beliefs is what an agent knows of the incarnation that announced itself last.
type beliefs struct {
	known     work.Life
	heartbeat int64
	// draining says that the worker announced its end, leaving that it said farewell, and
	// ended that it has certainly ended.
	draining, leaving, ended bool
	// otherBorn is the birth of another incarnation that answered, or 0.
	otherBorn int64
	// contact is when the newest report was sent that an owner has answered. joined says
	// that there was one, and renew that the owner allows the agent to renew the lease.
	contact       time.Duration
	joined, renew bool
	// renewableSince is when the report was sent whose reply last set renew.
	renewableSince time.Duration
	// failingSince is the time of the first of the lease requests in a row that failed.
	failingSince time.Duration
	unresponsive bool
	// workerClock is a lower bound of the worker's clock at clockReadAt, valid if synced, and
	// maxUntil the latest expiry, by that clock, that was requested.
	workerClock, clockReadAt, maxUntil time.Duration
	synced                             bool
	// holding says that a lease request is open.
	holding bool
	// storedEnd is the highest end that the owner has stored.
	storedEnd int64
	// list is the worker's newest list, requested at listAt, if listed. listedAfter was the
	// newest known moment then.
	list        workerList
	listAt      time.Duration
	listedAfter work.Moment
	listed      bool
	// stoppedAt holds when runs were stopped here.
	stoppedAt map[work.Run]time.Duration
}

// workerList is a worker's answer to a lease request.
type workerList struct {
	born     int64
	clock    time.Duration
	running  []work.Running
	ends     []work.End
	moreEnds bool
	fenced   bool
}

// restartAgent starts a new process of the agent, which has lost its state.
func (r *node) restartAgent() { r.agent = agent{process: r.process + 1} }

// beat sends the worker's heartbeats from now on until it ends.
func (w *world) beat(r *node) {
	born := r.born
	if !r.up || r.quiet {
		return
	}
	r.beats++
	life, sequence, draining := work.Life{ID: r.id, Born: born}, r.beats, r.draining
	w.after(w.messageDelay(), func() { r.hearHeartbeat(life, sequence, draining) })
	w.after(heartbeatInterval, func() {
		if r.born == born {
			w.beat(r)
		}
	})
}

// hearHeartbeat handles a heartbeat as Runner.Heartbeat does.
func (a *agent) hearHeartbeat(l work.Life, sequence int64, draining bool) {
	switch {
	case l != a.known && l.Born < a.known.Born:
	case l != a.known:
		a.beliefs = beliefs{known: l, heartbeat: sequence, draining: draining, stoppedAt: map[work.Run]time.Duration{}}
	case sequence >= a.heartbeat:
		a.heartbeat, a.draining, a.ended, a.leaving = sequence, draining, false, false
	}
}

// sayFarewell lets a worker say farewell and end some time later.
func (w *world) sayFarewell(r *node) {
	life := work.Life{ID: r.id, Born: r.born}
	if !r.up {
		return
	}
	w.logf("%s says farewell", r.id)
	// Without an answer the worker goes on for longer.
	delay, toEnd := w.messageDelay(), farewellToEnd
	if w.chance(0.3) {
		delay, toEnd = time.Duration(w.rng.Int64N(int64(farewellDelay))), unheardToEnd
	}
	if !w.chance(0.1) {
		w.after(delay, func() { w.hearFarewell(r, life.ID) })
	}
	r.quiet = w.rng.IntN(4) > 0
	w.after(time.Duration(w.rng.Int64N(int64(toEnd))), func() {
		if r.born == life.Born {
			w.endWorker(r, 1000)
		}
	})
}

// hearFarewell handles a farewell as Runner.Deregistered does.
func (w *world) hearFarewell(r *node, id string) {
	if a := &r.agent; a.known.ID == id && !a.ended {
		a.leaving, a.renew = true, false
		w.requestLease(r)
	}
}

// endWorker ends a worker with all its runs. The next incarnation starts within a number of
// milliseconds, in most cases under the same ID.
func (w *world) endWorker(r *node, within int) {
	w.logf("%s ends", r.id)
	w.killWorker(r)
	if r.known.ID != "" && !r.ended {
		// The agent always has a lease request open, which breaks.
		r.leaseFailed(w.now)
	}
	born := r.born
	w.after(time.Duration(w.rng.IntN(within))*time.Millisecond, func() {
		if r.born == born {
			w.startWorker(r)
		}
	})
}

// clock returns the reading of the worker's clock.
func (r *node) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-r.startedAt) * r.clockRate)
}

// minWorkerClock returns a lower bound of the worker's clock.
func (b *beliefs) minWorkerClock(now time.Duration) time.Duration {
	return b.workerClock + time.Duration(float64(now-b.clockReadAt)*slowestClock)
}

// syncClock records a reading of the worker's clock, made between sent and now.
func (b *beliefs) syncClock(sent, now, clock time.Duration) {
	if !b.synced {
		b.maxUntil = clock + lease
	}
	if b.synced && b.minWorkerClock(now) > clock && b.minWorkerClock(sent) <= clock {
		return
	}
	b.workerClock, b.clockReadAt, b.synced = clock, now, true
}

// renewUntil returns the expiry to request for the lease, or 0 for no renewal.
func (b *beliefs) renewUntil(now time.Duration) time.Duration {
	if !b.synced || !b.renew || b.unresponsive || b.leaving || !b.joined || now-b.contact >= timeout || b.failingSince > 0 {
		return 0
	}
	u := b.minWorkerClock(now) + lease
	b.maxUntil = max(b.maxUntil, u)
	return u
}

// maxRemaining returns an upper bound of the time until the lease expires.
func (b *beliefs) maxRemaining(now time.Duration) time.Duration {
	if !b.synced {
		return lease
	}
	return max(0, b.maxUntil-b.minWorkerClock(now))
}

// leaseFailed records that the worker did not answer a lease request.
func (b *beliefs) leaseFailed(now time.Duration) {
	if b.failingSince == 0 {
		b.failingSince = now
	}
	if now-b.failingSince > unresponsiveAfter {
		b.unresponsive, b.renew = true, false
	}
}

// recordTerm records the term of an owner. An owner that was replaced acknowledges ends of
// runs that it does not know.
func (a *agent) recordTerm(term uint64) {
	if term > a.term {
		a.term, a.storedEnd = term, 0
	}
}

// recordStored records that the owner has stored the ends up to n.
func (b *beliefs) recordStored(n int64) {
	b.storedEnd = max(b.storedEnd, n)
	b.list.ends = slices.DeleteFunc(slices.Clone(b.list.ends), func(e work.End) bool { return e.N <= b.storedEnd })
}

// leaseRequest is an agent's request to renew a lease and list the runs.
type leaseRequest struct {
	life        work.Life
	until, sent time.Duration
	term        uint64
	seen        int64
	after       work.Moment
}

// requestLease sends a lease request as Runner.loopLease does.
func (w *world) requestLease(r *node) {
	a := &r.agent
	if a.known.ID == "" || a.ended {
		return
	}
	q := leaseRequest{life: a.known, sent: w.now, term: a.term, after: a.heard}
	if a.otherBorn == 0 && a.failingSince == 0 {
		q.until, q.seen = a.renewUntil(w.now), a.storedEnd
	}
	switch {
	case r.up && r.id != a.known.ID, !r.up && a.leaving && a.maxRemaining(w.now) == 0:
		w.logf("the agent of %s knows that %v has ended", r.id, a.known)
		a.ended = true
		return
	case !r.up:
		a.leaseFailed(w.now)
		return
	}
	a.holding = true
	open, process, born := true, a.process, r.born
	finish := func(f func()) {
		if open && a.process == process && a.known == q.life {
			open, a.holding = false, false
			f()
		}
	}
	w.after(holdTimeout, func() { finish(func() { a.leaseFailed(w.now) }) })
	w.callWorker(r, func(answers bool, back time.Duration) {
		l := w.serveLease(r, q)
		if answers {
			w.later(back, func() {
				// The end of a worker breaks the connection.
				if r.up && r.born == born {
					finish(func() { a.handleList(w, q, l) })
				}
			})
		}
	})
}

// later calls f after a duration, at once if it is 0.
func (w *world) later(d time.Duration, f func()) {
	if d == 0 {
		f()
		return
	}
	w.after(d, f)
}

// callWorker passes a call to the worker that is up now. A silent worker answers no call, but
// it may carry it out at once or once it is not silent any more.
func (w *world) callWorker(r *node, serve func(answers bool, back time.Duration)) {
	born, there, back := r.born, time.Duration(0), time.Duration(0)
	answers := w.now >= r.silentUntil
	if !answers {
		if there = time.Duration(w.rng.IntN(3)-1) * (r.silentUntil - w.now); there < 0 {
			return
		}
	} else if w.chance(0.1) {
		there, back = time.Duration(w.rng.IntN(400))*time.Millisecond, time.Duration(w.rng.IntN(400))*time.Millisecond
	}
	w.later(there, func() {
		if r.up && r.born == born {
			serve(answers, back)
		}
	})
}

// serveLease answers a lease request as the worker.
func (w *world) serveLease(r *node, q leaseRequest) workerList {
	if q.term < r.highestTerm {
		return workerList{fenced: true}
	}
	r.highestTerm = q.term
	r.forgetEnds(q.seen, w)
	r.extendLease(w.now, q.until)
	l := workerList{born: r.born, clock: r.clock(w.now), ends: slices.Clone(r.ends)}
	if len(l.ends) > w.endsPerReport {
		l.ends, l.moreEnds = l.ends[:w.endsPerReport], true
	}
	for _, x := range r.sortedRuns() {
		percent := 100
		if y := r.runs[x]; w.speculative && y.endsAt > y.startedAt {
			percent = int(100 * (w.now - y.startedAt) / (y.endsAt - y.startedAt))
		}
		l.running = append(l.running, work.Running{Run: x, Percent: percent})
	}
	return l
}

// sortedRuns returns the runs on the worker in order.
func (r *node) sortedRuns() []work.Run {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b work.Run) int { return slices.Compare([]byte(a.Task), []byte(b.Task)) })
}

// extendLease extends the lease up to a time on the worker's clock.
func (r *node) extendLease(now, until time.Duration) {
	r.leaseEnd = max(r.leaseEnd, min(until, r.clock(now)+maxHold))
}

// leaseExpired reports whether the lease has expired.
func (r *node) leaseExpired(now time.Duration) bool { return r.clock(now) > r.leaseEnd }

// handleList handles the worker's list as Runner.handleLeaseReply does.
func (a *agent) handleList(w *world, q leaseRequest, l workerList) {
	switch {
	case l.fenced:
		return
	case l.born != a.known.Born:
		a.otherBorn = l.born
		return
	}
	a.failingSince, a.unresponsive = 0, false
	a.syncClock(q.sent, w.now, l.clock)
	a.list, a.listAt, a.listedAfter, a.listed = l, q.sent, q.after, true
	a.recordStored(0)
}

// rejectionCode returns why the agent rejects an order, or "" if it accepts it.
func (a *agent) rejectionCode(o work.Order) work.Code {
	if o.Term < a.term {
		return work.Fenced
	}
	a.recordTerm(o.Term)
	if o.Life != a.known || a.ended || a.otherBorn != 0 {
		return work.OtherIncarnation
	}
	a.recordStored(o.Noted)
	a.heard = a.heard.Latest(o.Now)
	return ""
}

// handleOrder carries out an order as an agent and its worker do.
func (w *world) handleOrder(r *node, o work.Order) work.Results {
	code := r.rejectionCode(o)
	results := work.Results{Life: o.Life, Term: r.term}
	for _, s := range o.Starts {
		c := code
		if c == "" {
			c = w.beginStart(r, s, o)
		}
		results.Starts = append(results.Starts, work.Result{Run: s.Run, Code: c})
	}
	for _, s := range o.Stops {
		if code == "" && w.stopRun(r, s, o) {
			results.Stops = append(results.Stops, s)
		}
	}
	return results
}

// beginStart starts a run as Runner.beginStart does.
func (w *world) beginStart(r *node, s work.Start, o work.Order) work.Code {
	a := &r.agent
	stopped, known := a.stoppedAt[s.Run]
	until := a.renewUntil(w.now)
	switch {
	case a.draining || a.leaving:
		return work.Leaving
	case known && w.now-stopped <= timeout || until == 0 || o.Word.Process != a.process || w.now-o.Word.Sent >= timeout || o.Word.Sent < a.renewableSince || o.StartBy > 0 && w.now > o.StartBy:
		return work.Late
	case !r.up:
		return work.Unhealthy
	case r.id != o.Life.ID:
		return work.OtherIncarnation
	}
	w.checkZone(r, s, o)
	serve := func() work.Code { return w.serveStart(r, s, o, until) }
	if w.now < r.silentUntil {
		w.callWorker(r, func(bool, time.Duration) { serve() })
		w.callWorker(r, func(bool, time.Duration) { w.serveStop(r, s.Run, o) })
		return work.Unknown
	}
	if w.chance(0.05) {
		born := r.born
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
			if r.born == born && r.up {
				serve()
			}
		})
		// The agent stops the run, since the worker did not answer in time.
		if w.serveStop(r, s.Run, o) {
			return work.OldRun
		}
		return work.Unknown
	}
	return serve()
}

// serveStart handles a start as the worker.
func (w *world) serveStart(r *node, s work.Start, o work.Order, until time.Duration) work.Code {
	if o.Term < r.highestTerm {
		return work.Fenced
	}
	r.highestTerm = o.Term
	if until <= r.clock(w.now) {
		return work.Late
	}
	r.extendLease(w.now, until)
	return w.launch(r, s, o)
}

// stopRun stops a run as Runner.stopRun does, and reports whether the worker has accepted.
func (w *world) stopRun(r *node, s work.Run, o work.Order) bool {
	r.stoppedAt[s] = w.now
	switch {
	case !r.up || r.id != o.Life.ID || w.chance(0.05):
		return false
	case w.now < r.silentUntil:
		w.callWorker(r, func(bool, time.Duration) { w.serveStop(r, s, o) })
		return false
	}
	return w.serveStop(r, s, o)
}

// serveStop handles a stop as the worker, and reports whether it has accepted it.
func (w *world) serveStop(r *node, s work.Run, o work.Order) bool {
	if o.Term < r.highestTerm {
		return false
	}
	r.highestTerm = o.Term
	w.handleStop(r, s)
	return true
}

// buildReport returns the agent's report as Runner.buildReport does.
func (w *world) buildReport(r *node) work.Report {
	a := &r.agent
	report := work.Report{
		Word:  work.ReportID{Process: a.process, Sent: w.now, Echo: a.echo},
		Agent: r.addr, Unix: w.now.Milliseconds(),
		Worker: work.Worker{Life: a.known, Service: "s", Zone: r.zoneOf(), Size: r.size, Leaving: a.draining, Remaining: 2000},
		Ends:   a.list.ends, Cut: a.unresponsive || a.leaving, Gone: a.ended,
	}
	if a.listed && !a.unresponsive && !w.chance(0.1) {
		report.Listed, report.Running, report.Age = true, a.list.running, (w.now - a.listAt).Milliseconds()
		report.MoreEnds, report.ListedAfter = a.list.moreEnds, a.listedAfter
	}
	if report.Cut {
		report.Left = a.maxRemaining(w.now).Milliseconds() + 1
	}
	if a.otherBorn != 0 {
		report.Cut, report.Listed, report.Left = true, false, (timeout + lease).Milliseconds()
	}
	return report
}

// sendReport sends an agent's report to the newest owner, or now and then to an earlier
// one, unless the agent awaits the reply to another.
func (w *world) sendReport(r *node) {
	a := &r.agent
	if a.known.ID == "" || a.awaited > 0 && w.now-a.awaited < replyTimeout {
		return
	}
	a.awaited = w.now
	o := w.currentOwner()
	if w.chance(0.05) && len(w.owners) > 1 {
		o = w.owners[w.rng.IntN(len(w.owners))]
	}
	delay := w.messageDelay()
	if (!a.joined || a.term < o.term) && w.chance(0.3) {
		// The owner can't tell how long the first report that it gets from a process took.
		delay = time.Duration(w.rng.IntN(900)) * time.Millisecond
	}
	report, process := w.buildReport(r), a.process
	if r.partitioned || w.chance(0.05) {
		return
	}
	w.after(delay, func() {
		if o.dead {
			return
		}
		w.lastToken++
		token := w.lastToken
		w.pendingReplies[token] = func(reply work.Reply) {
			w.after(w.messageDelay(), func() {
				if !r.partitioned && a.process == process && a.awaited == report.Word.Sent {
					a.handleReply(report, reply)
					if reply.Challenge != 0 {
						w.sendReport(r)
					}
				}
			})
		}
		w.step(o, sched.Report{Token: token, Report: report})
	})
}

// handleReply handles an owner's reply to a report as Runner.handleReply does.
func (a *agent) handleReply(report work.Report, reply work.Reply) {
	a.awaited = 0
	if reply.Term < a.term {
		return
	}
	a.recordTerm(reply.Term)
	a.heard = a.heard.Latest(reply.Now)
	if reply.Challenge != 0 {
		a.echo = reply.Challenge
		return
	}
	if report.Worker.Life != a.known {
		return
	}
	a.recordStored(reply.Noted)
	if !reply.Renew {
		return
	}
	a.joined, a.contact = true, max(a.contact, report.Word.Sent)
	if !report.Cut && !a.unresponsive && !a.renew {
		a.renew, a.renewableSince = true, report.Word.Sent
	}
}

// isolate lets a worker answer no call of its agent for some seconds. Now and then the agent
// starts again meanwhile.
func (w *world) isolate(r *node) {
	w.logf("%s is silent", r.id)
	r.silentUntil = w.now + time.Duration(300+w.rng.IntN(3700))*time.Millisecond
	if w.rng.IntN(3) == 0 {
		w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, r.restartAgent)
	}
}

// submitAgain submits a job that is stored once more, as a client does that got no answer,
// now and then with its row's version. The job is not deleted before the owner learns of it:
// that takes minutes, and a message at most seconds.
func (w *world) submitAgain() {
	o := w.currentOwner()
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		version := w.versions[sched.JobKey(id)]
		if version == 0 || w.rng.IntN(3) > 0 {
			continue
		}
		if w.rng.IntN(2) == 0 {
			version = 0
		}
		w.after(w.messageDelay(), func() { w.step(o, sched.Submit{Job: w.jobs[id], Version: version}) })
	}
}
