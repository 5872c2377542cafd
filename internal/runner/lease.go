package runner

import (
	"time"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// lease is the agent's knowledge of its worker's lease. Times are by the agent's
// clock unless stated otherwise.
type lease struct {
	limits sched.Limits
	// ackedReportAt is the sending time of the newest report that the owner has
	// answered. It is valid if acked is true.
	ackedReportAt time.Duration
	acked         bool
	// mayRenew says that the owner allows the agent to renew the lease. It is reset
	// when the worker becomes unresponsive, so that the owner can rely on the
	// expiry of the lease.
	mayRenew bool
	// renewableSince is the sending time of the report whose reply last set mayRenew.
	renewableSince time.Duration
	unresponsive   bool
	// leaving says that the worker has said farewell. The lease is not renewed any more,
	// so that the owner can rely on its expiry.
	leaving bool
	// sameID says that an earlier incarnation had the worker's ID. Its lease may have been
	// requested by that one's clock, for as long as the worker grants one.
	sameID bool
	// draining says that the worker will end soon. Its lease is kept short, since the
	// runs that it has at its farewell can be placed again only when it has expired.
	draining bool
	// failingSince is the time of the first of the lease requests in a row that
	// failed, or 0 if the last one was answered.
	failingSince time.Duration
	// workerClock is a reading of the worker's clock, and clockReadAt when it
	// arrived. Both are valid if synced is true.
	workerClock, clockReadAt time.Duration
	synced                   bool
	// maxUntil is the latest expiry, by the worker's clock, that this process or an earlier
	// one may have requested.
	maxUntil time.Duration
}

// unresponsiveAfter is the time after the first failed lease request at which a
// worker counts as unresponsive and its lease is not renewed any more. At least two
// requests in a row have failed by then.
const unresponsiveAfter = 1500 * time.Millisecond

// drainingLease is the lease of a worker that is draining. It lets an agent restart.
const drainingLease = 2 * time.Second

// ownerContactRecent reports whether the owner has answered a report that was sent
// less than OwnerTimeout ago. Only then may the agent renew the lease or start runs.
func (l *lease) ownerContactRecent(now time.Duration) bool {
	return l.acked && now-l.ackedReportAt < l.limits.OwnerTimeout
}

// orderRecent reports whether an order refers to a report that this process, given
// by its start time, sent less than OwnerTimeout ago and since the owner last allowed it
// to renew the lease. The owner may have released the runs of older orders meanwhile.
func (l *lease) orderRecent(now time.Duration, w work.ReportID, process int64) bool {
	return w.Process == process && now-w.Sent < l.limits.OwnerTimeout && w.Sent >= l.renewableSince
}

// syncClock records a reading of the worker's clock, made between the sending of a request
// and now. An earlier process of the agent may have renewed the lease, at most up to one
// lease after its first reading.
func (l *lease) syncClock(sent, now, clock time.Duration) {
	if !l.synced {
		l.maxUntil = clock + l.limits.Lease
		if l.sameID {
			l.maxUntil += l.limits.OwnerTimeout
		}
	}
	// The lower bound known so far is better than a delayed reading, but wrong if the clock
	// was behind it already when the request was sent: it stood still for a while.
	if l.synced && l.minWorkerClock(now) > clock && l.minWorkerClock(sent) <= clock {
		return
	}
	l.workerClock, l.clockReadAt, l.synced = clock, now, true
}

// minWorkerClock returns a lower bound of the worker's clock.
func (l *lease) minWorkerClock(now time.Duration) time.Duration {
	return l.workerClock + time.Duration(float64(now-l.clockReadAt)*(1-maxDrift))
}

// maxDrift bounds how much slower than the agent's clock the worker's clock may run.
const maxDrift = 0.02

// renewUntil returns the expiry to request for the lease, by the worker's clock, or
// 0 if the lease must not be renewed. After a failed request another incarnation may answer
// under the worker's ID, for which the time would mean nothing.
func (l *lease) renewUntil(now time.Duration) time.Duration {
	if !l.synced || !l.mayRenew || l.unresponsive || l.leaving || !l.ownerContactRecent(now) || l.failingSince > 0 {
		return 0
	}
	length := l.limits.Lease
	if l.draining {
		length = min(length, drainingLease)
	}
	u := l.minWorkerClock(now) + length
	l.maxUntil = max(l.maxUntil, u)
	return u
}

// maxRemaining returns an upper bound of the time until the lease expires.
func (l *lease) maxRemaining(now time.Duration) time.Duration {
	if !l.synced {
		// An earlier process of the agent may have renewed the lease.
		return l.limits.Lease
	}
	return max(0, l.maxUntil-l.minWorkerClock(now))
}

// workerAnswered records that the worker answered a lease request.
func (l *lease) workerAnswered() { l.failingSince, l.unresponsive = 0, false }

// workerFailed records that the worker did not answer a lease request. If dead is
// true, no process listens at its address and the worker counts as unresponsive at
// once.
func (l *lease) workerFailed(now time.Duration, dead bool) {
	if l.failingSince == 0 {
		l.failingSince = now
	}
	if dead || now-l.failingSince > unresponsiveAfter {
		l.unresponsive, l.mayRenew = true, false
	}
}

// ownerReplied records the owner's reply to a report that was sent at a time. Renew
// says that the owner allows the agent to renew the lease, and reportedCut that the
// report called the worker unresponsive: such a reply allows no renewal.
func (l *lease) ownerReplied(sent time.Duration, renew, reportedCut bool) {
	if !renew {
		// Either the worker does not answer, or the owner may have been replaced.
		return
	}
	l.ackedReportAt = max(l.ackedReportAt, sent)
	l.acked = true
	if !reportedCut && !l.unresponsive && !l.mayRenew {
		l.mayRenew, l.renewableSince = true, sent
	}
}
