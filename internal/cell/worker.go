package cell

import (
	"sort"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// worker is what the owner knows of one incarnation of a worker.
type worker struct {
	name        string
	incarnation string
	zone, rack  string
	// size is what the worker offers, and committed the sum of the sizes of its
	// placements that have not ended.
	size, committed vect.Size
	// placements holds every attempt that may run on the worker, or whose end is
	// not committed yet.
	placements map[plat.Ref]*placement
	// lastContact is when the last heartbeat arrived, and leasesEnd a bound by
	// which every lease that the worker may hold has expired.
	lastContact, leasesEnd time.Duration
	// confirmed is set once the worker has reported this owner's term, that is,
	// has received orders from it.
	confirmed bool
	// reported is set once a heartbeat has reached this owner.
	reported bool
	leaving  bool
	// drained is set by an operator, for all incarnations of the worker.
	drained bool
	// unanswered is the last heartbeat if it was not answered yet, or nil.
	unanswered *Beat
	// acks lists ended attempts whose end is committed; the worker may forget
	// them.
	acks []plat.Ref
	// orphans lists reported attempts without a placement, which are to be stopped.
	orphans []plat.Stop
	// changed is set if the next orders differ from the last ones.
	changed bool
	// active is the number of placements that have not ended.
	active int
	health
}

// placement is an attempt of a task on a worker.
type placement struct {
	plat.Ref
	job    string
	index  int
	size   vect.Size
	worker *worker
	// committed is set once the start is committed. The worker receives no orders
	// for the placement before.
	committed bool
	// sent is set once orders that contain the attempt may have reached the worker.
	sent bool
	// reported is set once the worker has reported the attempt; reportedAt is when
	// it first did.
	reported   bool
	reportedAt time.Duration
	// stopReason is why the attempt is to be stopped, or empty.
	stopReason string
	// saveOnStop asks for a checkpoint before the stop.
	saveOnStop bool
	// ended is set once the attempt's end is recorded and its capacity freed. The
	// record may not be committed yet.
	ended      bool
	checkpoint string
	used       vect.Size
}

// health tracks the failures of a worker, to quarantine it.
type health struct {
	// failedKinds holds the kinds of job that failed since the last success.
	failedKinds map[string]bool
	// failures counts failures since the last success.
	failures int
	// blockedUntil is when the quarantine ends and a task may be placed again, or
	// 0.
	blockedUntil time.Duration
	// backoff is the duration of the last quarantine; it doubles with each.
	backoff time.Duration
	// probing is set from the first quarantine until the next success. A probing
	// worker gets one task at a time.
	probing bool
}

const (
	// quarantineKinds is the number of different kinds of job whose failures
	// quarantine a worker.
	quarantineKinds = 3
	// quarantineFailures is the number of failures in a row that quarantine a
	// worker, whatever their kinds.
	quarantineFailures = 6
	firstBackoff       = 30 * time.Second
	maxBackoff         = 30 * time.Minute
)

// recordFailure counts a failure and reports whether it starts a quarantine.
func (h *health) recordFailure(now time.Duration, kind string) bool {
	if h.failedKinds == nil {
		h.failedKinds = map[string]bool{}
	}
	h.failedKinds[kind] = true
	h.failures++
	if !h.probing && len(h.failedKinds) < quarantineKinds && h.failures < quarantineFailures {
		return false
	}
	if now < h.blockedUntil {
		return false
	}
	h.backoff = min(max(2*h.backoff, firstBackoff), maxBackoff)
	h.blockedUntil = now + h.backoff
	h.probing = true
	return true
}

// recordSuccess resets the health and reports whether the worker was probing.
func (h *health) recordSuccess() bool {
	was := h.probing
	*h = health{}
	return was
}

func workerKey(name, incarnation string) string { return name + "#" + incarnation }

// freeCapacity returns the capacity that may still be used on the worker if
// headroom, a share of its cores and memory, is left free.
func (w *worker) freeCapacity(headroom float64) vect.Size {
	s := w.size
	s.Cores -= int64(float64(s.Cores) * headroom)
	s.Memory -= int64(float64(s.Memory) * headroom)
	return s.Sub(w.committed)
}

// accepts reports whether new tasks may be placed on the worker.
func (w *worker) accepts(now, unresponsiveAfter time.Duration) bool {
	if w.leaving || w.drained || !w.confirmed || now-w.lastContact > unresponsiveAfter {
		return false
	}
	if now < w.blockedUntil {
		return false
	}
	return !w.probing || w.active == 0
}

// add adds a placement and reserves its capacity.
func (w *worker) add(p *placement) {
	w.placements[p.Ref] = p
	w.committed = w.committed.Add(p.size)
	w.active++
}

// release frees the capacity of a placement whose attempt has certainly ended. The
// placement itself is deleted once that end is committed.
func (w *worker) release(p *placement) {
	if p.ended {
		return
	}
	p.ended = true
	w.committed = w.committed.Sub(p.size)
	w.active--
}

// sorted returns the placements in order of task and attempt.
func (w *worker) sorted() []*placement {
	all := make([]*placement, 0, len(w.placements))
	for _, p := range w.placements {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return refLess(all[i].Ref, all[j].Ref) })
	return all
}

func refLess(a, b plat.Ref) bool {
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	return a.Attempt < b.Attempt
}

// writeOrders adds to the orders what the worker is to start, keep, stop and
// forget. Starts and stops of placements are repeated in each answer until the
// worker's reports confirm them, as an answer may be lost. Acks and orphans are
// sent once; if the answer is lost, the next report lists their attempts again.
func (w *worker) writeOrders(o *plat.Orders, run func(*placement) plat.Run) {
	for _, p := range w.sorted() {
		switch {
		case p.ended || !p.committed:
		case p.stopReason != "" && p.sent:
			o.Stops = append(o.Stops, plat.Stop{Ref: p.Ref, Save: p.saveOnStop})
		case p.reported:
			o.Keep = append(o.Keep, p.Ref)
		case p.stopReason == "":
			p.sent = true
			o.Starts = append(o.Starts, run(p))
		}
	}
	o.Stops = append(o.Stops, w.orphans...)
	o.Forget = append(o.Forget, w.acks...)
	w.acks, w.orphans, w.changed = nil, nil, false
}
