// Package plat describes the platform that lagoonrack runs on: a
// transactional table, an object store and the workers' task runtime. Each is
// a struct of functions, so that another platform is one new adapter and a
// test replaces a single function.
//
// The table and the store have outages. An error that is neither ErrConflict nor
// ErrNotFound leaves open whether a write took effect, and the caller has to read
// back before it decides anything.
package plat

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/vect"
)

// The errors that a platform returns.
var (
	// ErrConflict says that a check did not hold and nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrNotFound says that an object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable says that no answer came; a write may have taken effect.
	ErrUnavailable = errors.New("service unavailable")
	// ErrFenced says that a worker has taken orders of a higher term, or that
	// the orders came too late.
	ErrFenced = errors.New("orders are out of date")
)

// Row is a row of the table.
type Row struct {
	Key string
	// Version is 0 only for a row that does not exist, and grows with each
	// write of the row.
	Version uint64
	Value   []byte
}

// Check is a condition of a transaction: the row's version is the given one.
type Check struct {
	Key     string
	Version uint64
}

// Write sets a row, or removes it where Value is nil.
type Write struct {
	Key   string
	Value []byte
}

// Txn is a transaction: all writes take effect if all checks hold, and none
// does otherwise.
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
	// Commit applies a transaction, or returns ErrConflict.
	Commit func(ctx context.Context, txn Txn) error
}

// Store is the platform's object store. Objects are written once.
type Store struct {
	Put    func(ctx context.Context, name string, data []byte) error
	Get    func(ctx context.Context, name string) ([]byte, error)
	Delete func(ctx context.Context, name string) error
}

// Run describes one attempt of a task that a worker is to run.
type Run struct {
	Ref
	Kind string
	// Size is what the task may use.
	Size vect.Size
	// Length is how long a stand-in lets the task run; a real worker ignores
	// it.
	Length time.Duration
	// Resume names the checkpoint to continue from, or is empty.
	Resume string
}

// Ref names one attempt of a task.
type Ref struct {
	Task    string
	Attempt int
}

// Stop orders the end of one attempt.
type Stop struct {
	Ref
	// Save asks for a checkpoint first.
	Save bool
}

// State is what a worker says of one attempt.
type State struct {
	Ref
	// Done is true once the attempt no longer runs, however it ended.
	Done bool
	// Failed says that it ended by itself without success, and Stopped that it
	// was ended by an order or because its lease ran out.
	Failed, Stopped bool
	// Saved names the newest checkpoint, or is empty.
	Saved string
	// Used is the measured use of resources, with a lag.
	Used vect.Size
}

// Report is what a worker says of itself at one instant.
type Report struct {
	// Incarnation names one start of the worker; a replaced one has another.
	Incarnation string
	// Clock is the worker's own monotonic time.
	Clock time.Duration
	// Term is the highest term of any orders that the worker has taken.
	Term  uint64
	Size  vect.Size
	Tasks []State
}

// Orders is what a worker is to do. Repeated orders have no further effect.
type Orders struct {
	// Term is that of the owner; a worker refuses one lower than it has seen.
	Term uint64
	// Incarnation must be that of the worker.
	Incarnation string
	// Until is the end, by the worker's own clock, of the leases of the tasks
	// in Starts and Keep. A worker ends a task whose lease runs out, and
	// refuses orders whose end has passed or is before that of orders it took.
	Until  time.Duration
	Starts []Run
	Keep   []Ref
	Stops  []Stop
	// Forget lists ended attempts that need not be reported any more.
	Forget []Ref
}

// Worker is the platform's task runtime on one VM.
type Worker struct {
	Poll  func(ctx context.Context) (Report, error)
	Apply func(ctx context.Context, o Orders) error
}
