package sched

import (
	"slices"
	"strconv"
	"time"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	work.Worker
	// agent is the address of the agent beside the worker.
	agent  string
	places map[*place]bool
	// used is what the places take of the capacity, and fill the processor time
	// that those ask for which use what is left.
	used vect.Size
	fill int64
	// solid is what the places take that don't fill.
	solid vect.Size
	// refilled is when the set of tasks that fill changed last.
	refilled time.Duration
	// heard is when the last report came, and until is after the end of every
	// lease that the worker may hold.
	heard, until time.Duration
	// known says that the worker reported to this owner.
	known bool
	// word is that of the newest report, and timed when it came, or 0.
	word  work.ReportID
	timed time.Duration
	// transit is the least time, but for a constant, that a report of the present
	// process was under way.
	transit time.Duration
	// challenge is the number that another process of the agent has to repeat before
	// its reports count.
	challenge challenge
	// listedAt is as of when the newest list was.
	listedAt time.Duration
	// seen is the highest end that was taken in, and noted the highest that is
	// stored.
	seen, noted int64
	// cut says that the worker gives its agent no answer and its lease is not
	// renewed. gone says that this life is over.
	cut, gone bool
	// blocked is until when nothing is started after refusals for want of room.
	blocked time.Duration
	health
	// out collects the order to send at the end of the step.
	out    work.Order
	queued bool
}

// health tells a worker that fails or stalls what it starts.
type health struct {
	// streak counts the failures since the last success.
	streak int
	// probe is when a suspect was last given a run.
	probe time.Duration
}

const (
	// suspectAfter is the number of failures in a row after which a worker only
	// gets single runs as a test.
	suspectAfter = 2
	// probeEvery is the least time between two such runs.
	probeEvery = time.Second
	// silentAfter is the silence after which a worker gets nothing new: three
	// missed reports.
	silentAfter = 1500 * time.Millisecond
)

func (h *health) suspect() bool { return h.streak >= suspectAfter }

// worker returns the record of a life, made if need be.
func (c *Core) worker(l work.Life, agent string) *worker {
	k := lifeKey(l)
	w := c.workers[k]
	if w == nil {
		w = &worker{agent: agent, places: map[*place]bool{}}
		w.Life = l
		c.workers[k] = w
	}
	w.agent = agent
	if old := c.agents[agent]; old == nil || old.Born <= l.Born {
		c.agents[agent] = w
	}
	return w
}

// challenge is a number that was given to a process, or 0.
type challenge struct {
	process int64
	number  uint64
}

// challenged returns the number that the process of a report has to repeat, or 0 if
// it is the one that was heard last.
func (c *Core) challenged(w *worker, word work.ReportID) uint64 {
	if word.Process == w.word.Process {
		return 0
	}
	if w.challenge.process != word.Process || w.challenge.number == 0 {
		c.challenges++
		w.challenge = challenge{word.Process, c.term<<challengeBits | c.challenges}
	}
	return w.challenge.number
}

// challengeBits is the room for the challenges of one term: owners of different terms
// never give the same number.
const challengeBits = 32

// arrived takes in when a report was sent. It returns how much longer than usual
// the report was under way, and false if a newer one came before it: a report that
// was held up says what was, not what is. Which of two processes of an agent is the
// newer one can't be told by when their reports arrive, nor by the time of day at
// which they began; a process that has ended repeats no number.
func (w *worker) arrived(now time.Duration, word work.ReportID) (lag time.Duration, ok bool) {
	transit := now - word.Sent
	switch {
	case w.timed > 0 && word.Process == w.word.Process:
		// Clocks drift a little; the least time must not stay for ever.
		least := min(transit, w.transit+time.Duration(slewRate*float64(now-w.timed)))
		if word.Sent < w.word.Sent {
			return transit - least, false
		}
		w.transit = least
	case w.timed > 0 && (w.challenge.number == 0 || w.challenge != challenge{word.Process, word.Echo}):
		return 0, false
	default:
		w.challenge = challenge{}
		w.transit = transit
	}
	w.word, w.timed = word, max(1, now)
	return transit - w.transit, true
}

func lifeKey(l work.Life) string {
	return l.ID + "/" + strconv.FormatInt(l.Born, 10)
}

// add takes room for a place.
func (w *worker) add(p *place) {
	w.places[p] = true
	s := p.task.step
	w.used = w.used.Add(s.Reserved())
	if s.Fills {
		w.fill += s.Size.Cores
	} else {
		w.solid = w.solid.Add(s.Size)
	}
}

// remove gives the room of a place back.
func (w *worker) remove(p *place) {
	if !w.places[p] {
		return
	}
	delete(w.places, p)
	s := p.task.step
	w.used = w.used.Sub(s.Reserved())
	if s.Fills {
		w.fill -= s.Size.Cores
	} else {
		w.solid = w.solid.Sub(s.Size)
	}
}

// room is what is free.
func (w *worker) room() vect.Size { return w.Size.Sub(w.used) }

// open reports whether the worker may get new runs.
func (c *Core) open(w *worker) bool {
	return w.known && !w.gone && !w.cut && !w.Leaving && c.now-w.heard < silentAfter &&
		c.now >= w.blocked && c.agents[w.agent] == w
}

// has reports whether the worker has a label.
func (w *worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// tell queues the worker's order to be sent at the end of the step.
func (c *Core) tell(w *worker) *work.Order {
	if !w.queued {
		w.queued = true
		c.out = append(c.out, w)
		w.out = work.Order{Term: c.term, Life: w.Life, Word: w.word}
	}
	return &w.out
}

// send emits the orders of the step.
func (c *Core) send() {
	for _, w := range c.out {
		w.queued = false
		w.out.Noted = w.noted
		c.emit(Send{Agent: w.agent, Order: w.out})
	}
	c.out = c.out[:0]
}

// order sends the start of a place, if it may still be sent.
func (c *Core) order(p *place) {
	if p.worker.gone || p.task.step.job.over() {
		return
	}
	o := c.tell(p.worker)
	s := p.task.step
	p.unsure = p.unsure || p.sent > 0
	p.sent = max(1, c.now)
	if o.Specs == nil {
		o.Specs = map[string]string{}
	}
	o.Specs[s.job.ID] = s.job.Spec
	o.Starts = append(o.Starts, work.Start{About: p.about(), Saved: p.saved, Ticket: p.ticket})
}

func (p *place) about() work.About {
	s := p.task.step
	return work.About{Run: p.ref(), Lasts: s.Lasts, Fills: s.Fills, Target: s.Target, Image: s.Image}
}

// stop ends a run. One that was never ordered is over at once.
func (c *Core) stop(p *place, reason string) {
	if p.stop != "" {
		return
	}
	p.stop = reason
	if p.sent == 0 {
		c.free(p)
		return
	}
	c.orderStop(p)
}

func (c *Core) orderStop(p *place) {
	p.stopSent = c.now
	o := c.tell(p.worker)
	o.Stops = append(o.Stops, p.ref())
}

// takeOff stops a run that is to go on elsewhere, and says why.
func (c *Core) takeOff(p *place, reason string) {
	c.emit(Note{Kind: "move", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: reason})
	c.stop(p, reason)
}

// keepOff does so, and keeps the task off the worker for a while.
func (c *Core) keepOff(p *place, reason string) {
	p.task.left, p.task.leftAt = p.worker.ID, c.now
	c.takeOff(p, reason)
}

// free takes a place away whose run certainly does not and will not run.
func (c *Core) free(p *place) {
	j := p.task.step.job
	p.worker.remove(p)
	if p.task.step.Fills {
		p.worker.refilled = c.now
	}
	if p.task.step.Lasts {
		c.press.Forget(p.name())
	}
	delete(j.places, p)
	p.task.places = slices.DeleteFunc(p.task.places, func(q *place) bool { return q == p })
	c.news.worker(p.worker)
	if p.task.waits() {
		p.task.since = c.now
		c.news.job(j)
	}
	c.touch(j)
}

// lose frees all places of a life that is over.
func (c *Core) lose(w *worker, reason string) {
	if len(w.places) > 0 {
		c.emit(Note{Kind: "lost", Worker: w.ID, Reason: reason})
	}
	for _, p := range sorted(w.places) {
		c.vanished(p, reason)
	}
}

const (
	// resendAfter is the wait for the fate of a start before it is ordered
	// again; the worker takes a repeated start as one.
	resendAfter = 1200 * time.Millisecond
	// restopAfter is the wait for the end of a stopped run before the stop is
	// ordered again.
	restopAfter = 500 * time.Millisecond
	// forgetAfter is how long a life without places is remembered.
	forgetAfter = 30 * time.Second
)

func (c *Core) tick() {
	for _, k := range sortedKeys(c.workers) {
		w := c.workers[k]
		c.watch(w)
		if len(w.places) == 0 && c.now-w.heard > forgetAfter && c.now > w.until {
			delete(c.workers, k)
			if c.agents[w.agent] == w {
				delete(c.agents, w.agent)
			}
		}
	}
	c.retire()
	c.watchGates()
	c.watchCrowd()
	c.copyLate()
	c.preempt()
	c.vacate()
	c.purge()
	c.news.all = true
}

// watch ends the leases of a silent worker and repeats what has no answer.
func (c *Core) watch(w *worker) {
	if c.now > w.until && c.now-w.heard > silentAfter && len(w.places) > 0 {
		c.lose(w, "silent")
		return
	}
	for _, p := range sorted(w.places) {
		switch {
		case !p.stored:
		case p.stop != "":
			if c.now-p.stopSent > restopAfter {
				c.orderStop(p)
			}
		case !p.known && c.now-p.sent > resendAfter:
			c.order(p)
		}
	}
	c.evacuate(w)
	c.relieve(w)
}

const (
	// saveBefore is how long before the end of a leaving worker its runs with
	// checkpoints are stopped.
	saveBefore = 700 * time.Millisecond
)

// evacuate moves what can go on elsewhere off a worker that is leaving.
func (c *Core) evacuate(w *worker) {
	if !w.Leaving || w.gone {
		return
	}
	left := time.Duration(w.Remaining)*time.Millisecond - (c.now - w.heard)
	for _, p := range sorted(w.places) {
		s := p.task.step
		if p.stop != "" || !p.stored {
			continue
		}
		if s.Lasts && c.fitsElsewhere(p) || s.Saves && left < saveBefore {
			c.takeOff(p, "leaving")
		}
	}
}

// retire drops jobs from the list that need nothing any more.
func (c *Core) retire() {
	c.active = slices.DeleteFunc(c.active, func(j *job) bool {
		return j.over() && len(j.places) == 0
	})
}
