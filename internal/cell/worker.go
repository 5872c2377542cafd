package cell

import (
	"sort"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// worker is what the owner knows of one start of a worker.
type worker struct {
	name        string
	incarnation string
	zone, rack  string
	// size is what the worker offers, and committed the sum over places.
	size, committed vect.Size
	// places holds every task that may run on the worker.
	places map[plat.Ref]*place
	// heard is when the last beat came, and until is after the end of every
	// lease that the worker may hold.
	heard, until time.Duration
	// confirmed says that the worker has taken orders of the owner's term.
	confirmed bool
	// beaten says that a beat came to this owner.
	beaten  bool
	leaving bool
	// drained is set by an operator, for all starts of the worker.
	drained bool
	// beat is the last one that has no answer yet.
	beat *Beat
	// acks lists ended tasks whose end is committed.
	acks []plat.Ref
	// stray lists attempts that are to be stopped and have no place.
	stray []plat.Stop
	// news says that the next orders tell more than to go on.
	news bool
	// live is the number of places whose attempt has not ended.
	live int
	health
}

// place is a task on a worker.
type place struct {
	plat.Ref
	job    string
	index  int
	size   vect.Size
	worker *worker
	// ready says that the start is committed.
	ready bool
	// sent says that orders may have told the worker.
	sent bool
	// seen says that the worker has reported the attempt, first at since.
	seen  bool
	since time.Duration
	// stop is the reason to end the attempt, or empty.
	stop string
	// save asks for a checkpoint before the stop.
	save bool
	// ended says that the attempt's end is in a page; its room is free again.
	ended bool
	saved string
	used  vect.Size
}

// health follows the failures of a worker.
type health struct {
	// kinds holds the kinds of job that failed since the last success.
	kinds map[string]bool
	// failures counts failures since the last success.
	failures int
	// blocked is when the worker may be tried again, or 0.
	blocked time.Duration
	backoff time.Duration
	probing bool
}

const (
	// badKinds is the number of kinds whose failure quarantines a worker.
	badKinds = 3
	// badRuns is the number of failures in a row that does so too.
	badRuns      = 6
	firstBackoff = 30 * time.Second
	lastBackoff  = 30 * time.Minute
)

// failed notes a failure and reports whether the worker is now quarantined.
func (h *health) failed(now time.Duration, kind string) bool {
	if h.kinds == nil {
		h.kinds = map[string]bool{}
	}
	h.kinds[kind] = true
	h.failures++
	if !h.probing && len(h.kinds) < badKinds && h.failures < badRuns {
		return false
	}
	if now < h.blocked {
		return false
	}
	h.backoff = min(max(2*h.backoff, firstBackoff), lastBackoff)
	h.blocked = now + h.backoff
	h.probing = true
	return true
}

// worked notes a success and reports whether it ends a quarantine.
func (h *health) worked() bool {
	was := h.probing
	*h = health{}
	return was
}

func key(name, incarnation string) string { return name + "#" + incarnation }

// room is what may still be committed on the worker.
func (w *worker) room(spare float64) vect.Size {
	s := w.size
	s.Cores -= int64(float64(s.Cores) * spare)
	s.Memory -= int64(float64(s.Memory) * spare)
	return s.Sub(w.committed)
}

// open reports whether new tasks may be placed on the worker.
func (w *worker) open(now, silent time.Duration) bool {
	if w.leaving || w.drained || !w.confirmed || now-w.heard > silent {
		return false
	}
	if now < w.blocked {
		return false
	}
	return !w.probing || w.live == 0
}

// add reserves room for a place.
func (w *worker) add(p *place) {
	w.places[p.Ref] = p
	w.committed = w.committed.Add(p.size)
	w.live++
}

// free gives the room of a place back once its attempt certainly ended. The
// place itself stays until that is committed.
func (w *worker) free(p *place) {
	if p.ended {
		return
	}
	p.ended = true
	w.committed = w.committed.Sub(p.size)
	w.live--
}

// sorted returns the places in order of their tasks.
func (w *worker) sorted() []*place {
	all := make([]*place, 0, len(w.places))
	for _, p := range w.places {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i].Ref, all[j].Ref) })
	return all
}

func before(a, b plat.Ref) bool {
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	return a.Attempt < b.Attempt
}

// fill writes what the worker is to do into its orders. Everything that the
// worker has not confirmed is said again each time, as an answer may be lost.
func (w *worker) fill(o *plat.Orders, run func(*place) plat.Run) {
	for _, p := range w.sorted() {
		switch {
		case p.ended || !p.ready:
		case p.stop != "" && p.sent:
			o.Stops = append(o.Stops, plat.Stop{Ref: p.Ref, Save: p.save})
		case p.seen:
			o.Keep = append(o.Keep, p.Ref)
		case p.stop == "":
			p.sent = true
			o.Starts = append(o.Starts, run(p))
		}
	}
	o.Stops = append(o.Stops, w.stray...)
	o.Forget = append(o.Forget, w.acks...)
	w.acks, w.stray, w.news = nil, nil, false
}
