package sched

import "time"

// Limits are the durations that an owner and its agents agree on. A zero field
// means its default.
type Limits struct {
	// Lease is how long a worker keeps running without a renewal by its agent, and
	// OwnerTimeout how long an agent renews without a reply from the owner.
	Lease, OwnerTimeout time.Duration
	// StoreTrust is how long after the store has confirmed its ownership an owner goes on
	// allowing renewals. Another owner may have taken the cell over since.
	StoreTrust time.Duration
	// SlowLink says that the owner's link to the store is slow: rows are packed, and
	// transactions kept small, so that pings and orders do not wait behind them.
	SlowLink bool
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention time.Duration
	// Evacuation is the time after the row of an evacuated zone was acknowledged from which on
	// nothing starts there, or 0 if evacuation rows are not read.
	Evacuation time.Duration
	// RowBytes bounds the value of a row, and TasksPerRow the tasks whose progress is in
	// one row.
	RowBytes, TasksPerRow int
	// Overload turns on the control of overload by cost to callers (package shed).
	Overload bool
	// Uneven says that the speed of workers is learned, and that best-effort tasks are placed
	// and moved by it.
	Uneven bool
}

const (
	// defaultLease lets an agent restart, or a machine lose power for some seconds,
	// without the worker's runs ending.
	defaultLease = 5 * time.Second
	// defaultOwnerTimeout covers a takeover, an outage of all entries, or a lost
	// connection to them. During network cuts of 12 s less work was lost with it
	// than with 6 s.
	defaultOwnerTimeout = 9 * time.Second
	// defaultStoreTrust lets runs continue during an outage of the store of 13 s, together
	// with defaultOwnerTimeout.
	defaultStoreTrust = 4 * time.Second
	// defaultEndedJobRetention is above the two minutes for which ended jobs must
	// remain available.
	defaultEndedJobRetention = 150 * time.Second
	// maxDrift bounds how much slower than the owner's clock a worker's clock may
	// run.
	maxDrift = 0.02
	// messageMargin covers the time that a message takes beyond what its sender
	// accounted for.
	messageMargin = 50 * time.Millisecond
)

func orDefault[T ~int | ~int64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// WithDefaults returns the limits with defaults for zero fields.
func (l Limits) WithDefaults() Limits {
	l.Lease = orDefault(l.Lease, defaultLease)
	l.OwnerTimeout = orDefault(l.OwnerTimeout, defaultOwnerTimeout)
	l.StoreTrust = orDefault(l.StoreTrust, defaultStoreTrust)
	l.EndedJobRetention = orDefault(l.EndedJobRetention, defaultEndedJobRetention)
	l.RowBytes = orDefault(l.RowBytes, defaultRowBytes)
	l.TasksPerRow = orDefault(l.TasksPerRow, defaultTasksPerRow)
	return l
}

// maxOwnerTime returns the longest time on the owner's clock that a duration on a
// worker's clock can take.
func maxOwnerTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxDrift))
}

// MayRenew reports whether an owner may allow renewals, given when the store last confirmed
// its ownership.
func (l Limits) MayRenew(now, confirmedAt time.Duration) bool { return now-confirmedAt < l.StoreTrust }

// leaseBound returns the longest time that a worker can keep running after the
// owner's last reply to its agent.
func (l Limits) leaseBound() time.Duration {
	return l.OwnerTimeout + maxOwnerTime(l.Lease) + messageMargin
}
