// Package plat defines the interface to the platform that lagoonrack runs on: a
// transactional table, a store of rows, an object store and the workers' task
// runtime. Each is a struct of functions, so that a further platform needs only an
// adapter and a test can replace a single function.
//
// The table and the object store can be unavailable. After an error other than
// ErrConflict or ErrNotFound, a write may or may not have taken effect, and the
// caller has to read the data again before it acts on it.
package plat

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/vect"
)

// Errors that the platform returns. Callers recognise them by their text, because
// net/rpc passes only the text of an error.
var (
	// ErrConflict means that a check of a transaction failed and nothing was
	// written.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that an object or a worker does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that no answer was received; a write may have taken
	// effect.
	ErrUnavailable = errors.New("service unavailable")
	// ErrFenced means that a worker rejected orders: it has accepted orders of a
	// higher term or a later lease end, the lease end has passed, or the orders
	// are for another incarnation.
	ErrFenced = errors.New("orders are out of date")
)

// Row is a row of a table.
type Row struct {
	Key string
	// Version is 0 only for a row that does not exist, and increases with each
	// write of the row.
	Version uint64
	Value   []byte
}

// Check is a condition of a transaction: the row must have the given version.
type Check struct {
	Key     string
	Version uint64
}

// Write sets the value of a row, or deletes the row if Value is nil.
type Write struct {
	Key   string
	Value []byte
}

// Txn is a transaction: all writes take effect if all checks hold, otherwise none
// of them does.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the platform's transactional table.
type Table struct {
	// Read returns one row. A row that does not exist has version 0.
	Read func(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with prefix, ordered by key.
	Scan func(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction, or returns ErrConflict if a check fails.
	Commit func(ctx context.Context, txn Txn) error
}

// Store is the platform's object store. Each object is written once and never
// changed.
type Store struct {
	Put    func(ctx context.Context, name string, data []byte) error
	Get    func(ctx context.Context, name string) ([]byte, error)
	Delete func(ctx context.Context, name string) error
}

// Run describes an attempt of a task that a worker is ordered to run.
type Run struct {
	Ref
	// Kind is the kind of the task's job.
	Kind string
	// Size is the amount of resources that the task may use.
	Size vect.Size
	// Length is the run time of the task on a stand-in (simulated) worker; a real
	// worker ignores it.
	Length time.Duration
	// Resume names the checkpoint to resume from, or is empty.
	Resume string
}

// Ref identifies an attempt of a task.
type Ref struct {
	Task    string
	Attempt int
}

// Stop orders a worker to stop an attempt.
type Stop struct {
	Ref
	// Save requests a checkpoint before the stop.
	Save bool
}

// State is a worker's report on an attempt.
type State struct {
	Ref
	// Done means that the attempt no longer runs, however it ended.
	Done bool
	// Failed means that it ended by itself without success, and Stopped that it
	// was stopped by an order or because its lease expired.
	Failed, Stopped bool
	// Saved names the newest checkpoint, or is empty.
	Saved string
	// Used is the measured resource usage, which lags behind the actual one.
	Used vect.Size
}

// Report is a worker's state at one instant.
type Report struct {
	// Incarnation identifies one start of the worker; it differs after a restart
	// or replacement.
	Incarnation string
	// Clock is the time on the worker's monotonic clock.
	Clock time.Duration
	// Term is the highest term of all orders that the worker has accepted.
	Term  uint64
	Size  vect.Size
	Tasks []State
}

// Orders are the orders of a cell's owner to a worker. They are idempotent.
type Orders struct {
	// Term is the owner's term; a worker rejects orders with a term lower than one
	// that it has accepted.
	Term uint64
	// Incarnation is the incarnation of the worker that the orders are for; any
	// other rejects them.
	Incarnation string
	// Until is the end, on the worker's clock, of the leases of the tasks in
	// Starts and Keep. A worker stops a task whose lease expires, and rejects
	// orders whose Until has passed or is before that of orders it has accepted.
	Until  time.Duration
	Starts []Run
	// Keep lists the attempts whose leases are renewed.
	Keep  []Ref
	Stops []Stop
	// Forget lists ended attempts that the worker can drop from its reports.
	Forget []Ref
}

// Worker is the platform's task runtime on one VM.
type Worker struct {
	// Poll returns the worker's current report.
	Poll func(ctx context.Context) (Report, error)
	// Apply carries out orders, or returns ErrFenced if the worker rejects them.
	Apply func(ctx context.Context, o Orders) error
}
