package cell

import (
	"cmp"
	"time"

	"lagoonrack/internal/vect"
)

// Limits are the settings of a cell. A zero field means its default.
type Limits struct {
	// Run is how long a worker may run a task without hearing from the owner.
	Run time.Duration
	// Beat is the longest time that a report waits for its answer.
	Beat time.Duration
	// Owner is the silence after which another process takes the cell over.
	Owner time.Duration
	// Outage is how long an owner that can't reach the table renews leases. A
	// new owner waits as long for a worker that it doesn't hear.
	Outage time.Duration
	// Gap is the least time between two pages.
	Gap time.Duration
	// Attempts is the number of workers on which a task may fail.
	Attempts int
	// Tasks is the most tasks of a job.
	Tasks int
	// Spare is the share of each worker that batch work leaves free.
	Spare float64
	// Largest is the size of the largest workers of the cell, by kind of node.
	Largest []vect.Size
	// Teams holds the quota of each team; a zero dimension is without limit.
	Teams map[string]vect.Size
	// Snap is the number of pages between snapshots.
	Snap uint64
	// Naive turns learning, classes and the search for the best worker off, for
	// comparison: first come, first served, first fit.
	Naive bool
	// Knows lets the cell read the true run times of a stand-in's jobs, for
	// comparison.
	Knows bool
}

// Defaults for zero fields of Limits.
const (
	defaultRun      = 10 * time.Second
	defaultBeat     = time.Second
	defaultOwner    = 4 * time.Second
	defaultOutage   = 15 * time.Minute
	defaultGap      = 300 * time.Millisecond
	defaultAttempts = 3
	defaultTasks    = 10000
	defaultSnap     = 128
)

func (l Limits) withDefaults() Limits {
	l.Run = cmp.Or(l.Run, defaultRun)
	l.Beat = cmp.Or(l.Beat, defaultBeat)
	l.Owner = cmp.Or(l.Owner, defaultOwner)
	l.Outage = cmp.Or(l.Outage, defaultOutage)
	l.Gap = cmp.Or(l.Gap, defaultGap)
	l.Attempts = cmp.Or(l.Attempts, defaultAttempts)
	l.Tasks = cmp.Or(l.Tasks, defaultTasks)
	l.Snap = cmp.Or(l.Snap, defaultSnap)
	return l
}

// drift bounds how much slower than the owner's a worker's clock may run.
const drift = 0.02

// lapse is how long after an answered beat the leases it renewed are over by
// the owner's clock.
func (l Limits) lapse() time.Duration {
	return time.Duration(float64(l.Run) * (1 + drift))
}
