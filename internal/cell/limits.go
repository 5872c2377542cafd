package cell

import (
	"cmp"
	"time"

	"lagoonrack/internal/vect"
)

// Limits are the settings of a cell. A zero field means its default.
type Limits struct {
	// RunLease is how long a worker may run a task without an answer from the
	// owner.
	Run time.Duration
	// HeartbeatWait is the longest time that a heartbeat waits for its answer.
	Beat time.Duration
	// OwnerLease is how long an owner may fail to write its heartbeat row before
	// another process takes the cell over.
	Owner time.Duration
	// Outage is how long an owner that can't reach the table goes on renewing
	// leases. A new owner waits that long, and the lease, before it requeues the
	// tasks of a worker that does not report to it.
	Outage time.Duration
	// CommitInterval is the shortest time between two pages.
	Gap time.Duration
	// Attempts is the number of failed attempts after which a task fails; a job
	// may set its own.
	Attempts int
	// Tasks is the largest number of tasks of a job.
	Tasks int
	// Headroom is the share of each worker that jobs leave free, urgent ones
	// excepted.
	Spare float64
	// Largest holds the size of each kind of node of the cell. A job whose tasks
	// fit none of them is rejected; without any sizes none is.
	Largest []vect.Size
	// Teams holds the quota of each team; a dimension that is 0 is unlimited.
	Teams map[string]vect.Size
	// SnapshotInterval is the number of pages between snapshots.
	Snap uint64
	// Naive selects a baseline policy for comparison: first come, first served,
	// first fit, without learned run times and lanes.
	Naive bool
	// KnownRuntimes uses the actual run time of simulated jobs as the estimate, for
	// comparison.
	Knows bool
}

// Defaults for zero fields of Limits.
const (
	defaultRunLease         = 10 * time.Second
	defaultHeartbeatWait    = time.Second
	defaultOwnerLease       = 4 * time.Second
	defaultOutage           = 15 * time.Minute
	defaultCommitInterval   = 300 * time.Millisecond
	defaultAttempts         = 3
	defaultTasks            = 10000
	defaultSnapshotInterval = 128
)

func (l Limits) withDefaults() Limits {
	l.Run = cmp.Or(l.Run, defaultRunLease)
	l.Beat = cmp.Or(l.Beat, defaultHeartbeatWait)
	l.Owner = cmp.Or(l.Owner, defaultOwnerLease)
	l.Outage = cmp.Or(l.Outage, defaultOutage)
	l.Gap = cmp.Or(l.Gap, defaultCommitInterval)
	l.Attempts = cmp.Or(l.Attempts, defaultAttempts)
	l.Tasks = cmp.Or(l.Tasks, defaultTasks)
	l.Snap = cmp.Or(l.Snap, defaultSnapshotInterval)
	return l
}

// clockDrift is the largest share by which a worker's clock may run slower than
// the owner's.
const clockDrift = 0.02

// leaseBound is how long after the receipt of an answered heartbeat the leases
// that the answer renewed have certainly expired, by the owner's clock.
func (l Limits) leaseBound() time.Duration {
	return time.Duration(float64(l.Run) * (1 + clockDrift))
}
