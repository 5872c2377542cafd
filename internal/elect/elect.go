// Package elect decides when a process should take a cell over. It has no I/O
// and no clock: the shell tells it what it saw, and asks.
//
// A takeover is decided by one conditional write and every write of an owner
// checks its title, so that a wrong suspicion costs a short gap and nothing
// else. A process claims a cell only while it can read the store itself.
package elect

import "time"

// Watch follows the owner of a cell from one other process. The zero value has
// seen nothing.
type Watch struct {
	// term is that of the title that was read last, and vacant says that it
	// names nobody.
	term   uint64
	vacant bool
	mine   bool
	// since is when this title was first seen.
	since time.Duration
	known bool
	// heard is when the owner of the title last answered, and resigned when a
	// process said that it is not the owner although the title names it.
	heard    time.Duration
	resigned time.Duration
	denied   bool
	// cut is since when the owner says that the store gives it no answer.
	cut   time.Duration
	isCut bool
	// others is when another process last heard the owner.
	others time.Duration
	// read is when the store last answered this process, and readable says that
	// it has given every answer since.
	read     time.Duration
	readable bool
	// back is when the store answered again after it had given no answer.
	back time.Duration
	// invited says that the last owner chose this process as its successor.
	invited bool
}

// The spans of a takeover. The users' recovery bounds are above 10 s; starts
// should go on within 3 s of a loss.
const (
	// SilentAfter is the silence after which an owner counts as lost: more than
	// three lost pings at 300 ms.
	SilentAfter = 1100 * time.Millisecond
	// heardByOthers is how fresh another process's word must be to count.
	heardByOthers = 700 * time.Millisecond
	// CutAfter is how long an owner goes on without the store while others can
	// read it.
	CutAfter = 800 * time.Millisecond
	// BackGrace is how long after the store's return an owner may still say that
	// it has had no answer: it tests the store every 0.1 s and is pinged every
	// 0.3 s.
	BackGrace = 500 * time.Millisecond
	// RankStep keeps candidates apart, so that one claims before the next.
	RankStep = 200 * time.Millisecond
	// freshRead is how old this process's own reading of the store may be.
	freshRead = 600 * time.Millisecond
)

// Title is what the store says of the owner.
type Title struct {
	Term   uint64
	Vacant bool
	// Mine says that it names this process.
	Mine bool
}

// Read takes in the title as it was read.
func (w *Watch) Read(now time.Duration, t Title) {
	if !w.readable {
		w.back = now
	}
	w.read, w.readable = now, true
	if w.known && w.term == t.Term && w.vacant == t.Vacant {
		return
	}
	*w = Watch{known: true, term: t.Term, vacant: t.Vacant, mine: t.Mine, since: now, heard: now, others: w.others, read: now, readable: true, back: w.back, invited: w.invited && t.Vacant}
}

// Invite notes that the owner that gives the cell up chose this process.
func (w *Watch) Invite() { w.invited = true }

// Unread says that the store gave no answer. Time in which this process could
// not read the title does not count against its owner.
func (w *Watch) Unread() { w.readable = false }

// Heard takes in an answer of the process that the title names: whether it
// owns the cell, and for how long the store has given it no answer.
func (w *Watch) Heard(now time.Duration, owns bool, cut time.Duration) {
	w.heard = now
	if owns {
		w.denied = false
	} else if !w.denied {
		w.denied, w.resigned = true, now
	}
	if cut < CutAfter {
		w.isCut = false
	} else if !w.isCut {
		w.isCut, w.cut = true, now
	}
}

// Others takes in that another process heard the owner a while ago.
func (w *Watch) Others(now, ago time.Duration) { w.others = max(w.others, now-ago) }

// Age is how long ago the owner was heard.
func (w *Watch) Age(now time.Duration) time.Duration { return now - w.heard }

// Claim says why this process, of the given rank among those alive, should
// claim the cell now, or nothing.
func (w *Watch) Claim(now time.Duration, rank int) string {
	wait := time.Duration(rank) * RankStep
	if !w.known || !w.readable || now-w.read > freshRead {
		return ""
	}
	switch {
	case w.mine && !w.vacant:
		return "own title"
	case w.vacant && w.invited:
		return "handed over"
	case w.vacant && now-w.since >= wait:
		return "vacant"
	case w.denied && now-w.resigned >= wait+RankStep:
		return "not owned"
	case w.isCut && now-w.cut >= wait && now-w.back >= BackGrace+wait:
		return "owner without store"
	case now-w.heard >= SilentAfter+wait && now-w.others >= heardByOthers:
		return "silent"
	}
	return ""
}

// Doubtful reports whether the title should be read again soon.
func (w *Watch) Doubtful(now time.Duration) bool {
	return !w.known || w.mine || w.vacant || w.denied || w.isCut || now-w.heard >= SilentAfter/2
}
