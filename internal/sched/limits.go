package sched

import "time"

// Limits are the times of the cell. A zero field means its default.
type Limits struct {
	// Lease is how long a worker goes on without a renewal by its agent, and
	// Trust how long an agent renews without a word from the owner.
	Lease, Trust time.Duration
	// Keep is how long an ended job can be asked for.
	Keep time.Duration
}

const (
	// defaultLease lets an agent restart or a machine lose power for some
	// seconds without harm to what its worker runs.
	defaultLease = 5 * time.Second
	// defaultTrust bridges a takeover and a loss of all entries or of the way to
	// them; measured days with cuts of 12 s lost less work than with 6 s.
	defaultTrust = 9 * time.Second
	// defaultKeep is above the two minutes that the users ask for.
	defaultKeep = 150 * time.Second
	// drift bounds how much slower than the owner's a worker's clock may run.
	maxDrift = 0.02
	// margin covers the time that a message is under way beyond what its
	// sender counted.
	messageMargin = 50 * time.Millisecond
)

func orDefault(v, d time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return d
}

// WithDefaults returns the limits with defaults for zero fields.
func (l Limits) WithDefaults() Limits {
	l.Lease = orDefault(l.Lease, defaultLease)
	l.Trust = orDefault(l.Trust, defaultTrust)
	l.Keep = orDefault(l.Keep, defaultKeep)
	return l
}

// slow returns how long a span of the worker's clock takes at most by the
// owner's.
func maxOwnerTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxDrift))
}

// lapse is how long after the owner's last word a worker may run on.
func (l Limits) leaseBound() time.Duration { return l.Trust + maxOwnerTime(l.Lease) + messageMargin }
