package runner

import (
	"time"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// lease is what an agent knows of its worker's lease. Times are of the agent's
// clock unless said otherwise.
type lease struct {
	limits sched.Limits
	// word is when the newest report was sent that the owner answered.
	word  time.Duration
	heard bool
	// allowed says that the owner lets the agent renew. It is taken back when
	// the worker falls silent, so that the owner may count on the lease's end.
	allowed bool
	silent  bool
	// failing is since when the worker gives no answer, or 0.
	failing time.Duration
	// clock is a reading of the worker's clock, and read when it came.
	clock, read time.Duration
	synced      bool
	// promised is the latest end, by the worker's clock, that was ever asked
	// for.
	promised time.Duration
}

// cutAfter is the silence of a worker after which its lease is not renewed any
// more: two waiting calls that got no answer.
const cutAfter = 1500 * time.Millisecond

// trusts reports whether the owner's word is fresh enough to act on.
func (l *lease) trusts(now time.Duration) bool {
	return l.heard && now-l.word < l.limits.OwnerTimeout
}

// fresh reports whether an order answers a report of this process that is
// younger than the trust.
func (l *lease) fresh(now time.Duration, w work.ReportID, process int64) bool {
	return w.Process == process && now-w.Sent < l.limits.OwnerTimeout
}

// sync takes in a reading of the worker's clock.
func (l *lease) sync(now, clock time.Duration) {
	if l.synced && l.at(now) > clock {
		// The answer was under way for a while.
		return
	}
	l.clock, l.read, l.synced = clock, now, true
}

// at returns a lower bound of the worker's clock.
func (l *lease) at(now time.Duration) time.Duration {
	return l.clock + time.Duration(float64(now-l.read)*(1-slowest))
}

// slowest is how much slower than the agent's the worker's clock may run.
const slowest = 0.02

// until returns the end to ask for, by the worker's clock, or 0 for none.
func (l *lease) until(now time.Duration) time.Duration {
	if !l.synced || !l.allowed || l.silent || !l.trusts(now) {
		return 0
	}
	u := l.at(now) + l.limits.Lease
	l.promised = max(l.promised, u)
	return u
}

// left is the longest that the lease may still last.
func (l *lease) left(now time.Duration) time.Duration {
	if !l.synced {
		// An earlier start of the agent may have renewed it.
		return l.limits.Lease
	}
	return max(0, l.promised-l.at(now))
}

// answered notes that the worker gave an answer, failed that it did not, and
// dead that nobody listens at its address.
func (l *lease) answered() { l.failing, l.silent = 0, false }

func (l *lease) failed(now time.Duration, dead bool) {
	if l.failing == 0 {
		l.failing = now
	}
	if dead || now-l.failing > cutAfter {
		l.silent, l.allowed = true, false
	}
}

// confirmed takes in the owner's answer to a report that was sent at a time. Renew
// says that the owner lets the agent renew the lease.
func (l *lease) confirmed(sent time.Duration, renew, reportedCut bool) {
	l.word = max(l.word, sent)
	l.heard = true
	if renew && !reportedCut && !l.silent {
		l.allowed = true
	}
}
