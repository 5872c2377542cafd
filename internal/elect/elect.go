// Package elect decides when a process should take over a cell. It does no I/O
// and reads no clock: the caller reports what it has seen, with the time, and
// asks whether to claim the cell.
//
// A takeover is one conditional write, and every write of an owner checks that
// it still owns the cell. If a healthy owner is suspected, the cost is therefore
// only a short gap in service. A process claims a cell only while it can read the
// store itself.
package elect

import "time"

// Watch tracks the owner of a cell from one other process. The zero value has
// not read the ownership row yet.
type Watch struct {
	// term is the term in the ownership row that was read last, and vacant says
	// that the row names no owner.
	term   uint64
	vacant bool
	mine   bool
	// firstRead is when this ownership was first read.
	firstRead time.Duration
	known     bool
	// lastContact is when the named owner last answered, and deniedAt when a
	// process first answered that it is not the owner although the row names it.
	lastContact time.Duration
	deniedAt    time.Duration
	denied      bool
	// cutOffAt is when the owner first reported that the store does not answer it.
	cutOffAt time.Duration
	cutOff   bool
	// peerContact is when another process last had contact with the owner.
	peerContact time.Duration
	// lastRead is when the store last answered this process, and readable says
	// that no read has failed since.
	lastRead time.Duration
	readable bool
	// readableAt is when the store answered again after a failed read.
	readableAt time.Duration
	// successor says that the resigning owner chose this process.
	successor bool
	// takeovers counts the takeovers that followed one another within stormInterval.
	// owned says that this process owned the cell until another one took it over.
	takeovers int
	owned     bool
}

// The timeouts of a takeover. Recovery may take more than 10 s in all, but task
// starts should continue within 3 s of the loss of an owner.
const (
	// UnresponsiveAfter is the time without contact after which an owner counts as
	// lost: more than three lost pings at an interval of 300 ms.
	UnresponsiveAfter = 1100 * time.Millisecond
	// peerContactValid is how recent another process's contact with the owner must
	// be to prevent a claim.
	peerContactValid = 700 * time.Millisecond
	// CutOffAfter is how long the store may leave an owner without an answer while
	// other processes can read it.
	CutOffAfter = 800 * time.Millisecond
	// ReadableGrace is how long, after the store answers again, an owner may still
	// report that it has had no answer: it tries the store every 0.1 s and is
	// pinged every 0.3 s.
	ReadableGrace = 500 * time.Millisecond
	// RankStep is the delay between candidates of adjacent rank, so that one
	// claims before the next.
	RankStep = 200 * time.Millisecond
	// stormInterval is how soon after the last takeover another one counts as following
	// it. A machine that owned the cell for longer has kept up with its load.
	stormInterval = 10 * time.Second
	// maxDoublings bounds by how much successive takeovers lengthen UnresponsiveAfter and
	// CutOffAfter.
	maxDoublings = 2
	// maxReadAge is how old this process's last read of the ownership row may be
	// for a claim.
	maxReadAge = 600 * time.Millisecond
)

// Ownership is the content of the ownership row.
type Ownership struct {
	Term uint64
	// Vacant says that the row names no owner.
	Vacant bool
	// Mine says that the row names this process.
	Mine bool
}

// Read records the ownership row as it was read.
func (w *Watch) Read(now time.Duration, t Ownership) {
	if !w.readable {
		w.readableAt = now
	}
	w.lastRead, w.readable = now, true
	if w.known && w.term == t.Term && w.vacant == t.Vacant {
		return
	}
	takeovers := w.takeovers
	if (w.known || w.owned) && !w.vacant && t.Term > w.term {
		if now-w.firstRead > stormInterval {
			takeovers = 0
		}
		takeovers++
	}
	*w = Watch{takeovers: takeovers, known: true, term: t.Term, vacant: t.Vacant, mine: t.Mine, firstRead: now, lastContact: now, peerContact: w.peerContact, lastRead: now, readable: true, readableAt: w.readableAt, successor: w.successor && t.Vacant}
}

// ChosenAsSuccessor records that the resigning owner chose this process.
func (w *Watch) ChosenAsSuccessor() { w.successor = true }

// ReadFailed records that the store did not answer. This process does not claim
// the cell until it has read the ownership row again, and ReadableGrace begins
// only then: a store outage does not count against the owner.
func (w *Watch) ReadFailed() { w.readable = false }

// Answer is an answer of the process that the ownership row names to a question that it
// was asked at Asked.
type Answer struct {
	Asked time.Duration
	// Owns says that the process owns the cell, or has claimed it and loads its state.
	Owns bool
	// WithoutStore is for how long the store has not answered it.
	WithoutStore time.Duration
}

// OwnerAnswered records an answer of the process that the ownership row names. That it
// does not own the cell counts only if it was asked after the row was read: an earlier
// answer may have been given before the process claimed the cell.
func (w *Watch) OwnerAnswered(now time.Duration, a Answer) {
	w.lastContact = now
	if a.Owns {
		w.denied = false
	} else if !w.denied && a.Asked >= w.firstRead {
		w.denied, w.deniedAt = true, now
	}
	if a.WithoutStore < CutOffAfter<<w.doublings() {
		w.cutOff = false
	} else if !w.cutOff {
		w.cutOff, w.cutOffAt = true, now
	}
}

// PeerContact records that another process had contact with the owner, the given
// time ago.
func (w *Watch) PeerContact(now, ago time.Duration) { w.peerContact = max(w.peerContact, now-ago) }

// AfterTerm returns the watch of a process that owned the cell and does so no more: it
// has not read the ownership row yet.
func (w Watch) AfterTerm() Watch {
	return Watch{takeovers: w.takeovers, firstRead: w.firstRead, term: w.term, owned: true}
}

// Term returns the term in the ownership row that was read last.
func (w *Watch) Term() uint64 { return w.term }

// Takeovers returns how many takeovers followed one another in a short time.
func (w *Watch) Takeovers() int { return w.takeovers }

// unresponsiveAfter returns the time without contact after which the owner counts as
// lost. It grows with each takeover that soon follows another one: if owners are
// replaced because they are slow, and each replacement costs its successor the time to
// load the state, the takeovers themselves are the load.
func (w *Watch) unresponsiveAfter() time.Duration {
	return UnresponsiveAfter << w.doublings()
}

// doublings returns how often the timeouts are doubled because of successive takeovers.
func (w *Watch) doublings() int { return min(max(0, w.takeovers-1), maxDoublings) }

// Age returns the time since the last contact with the owner.
func (w *Watch) Age(now time.Duration) time.Duration { return now - w.lastContact }

// Claim returns the reason why this process should claim the cell now, or "" if
// it should not. The rank is its position among the live candidates.
func (w *Watch) Claim(now time.Duration, rank int) string {
	wait := time.Duration(rank) * RankStep
	if !w.known || !w.readable || now-w.lastRead > maxReadAge {
		return ""
	}
	switch {
	case w.mine && !w.vacant:
		return "own title"
	case w.vacant && w.successor:
		return "handed over"
	case w.vacant && now-w.firstRead >= wait:
		return "vacant"
	case w.denied && now-w.deniedAt >= wait+RankStep:
		return "not owned"
	case w.cutOff && now-w.cutOffAt >= wait && now-w.readableAt >= ReadableGrace+wait:
		return "owner without store"
	case now-w.lastContact >= w.unresponsiveAfter()+wait && now-w.peerContact >= peerContactValid:
		return "silent"
	}
	return ""
}

// NeedsRead reports whether the ownership row should be read again soon, because
// the owner may be lost or may have changed.
func (w *Watch) NeedsRead(now time.Duration) bool {
	return !w.known || w.mine || w.vacant || w.denied || w.cutOff || now-w.lastContact >= UnresponsiveAfter/2
}
