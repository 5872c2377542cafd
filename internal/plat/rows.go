package plat

import (
	"context"
	"errors"
	"strings"
	"time"
)

// The further errors of a store of rows.
var (
	// ErrRefused says that the store turned a call away and nothing was done.
	ErrRefused = errors.New("refused by the store")
	// ErrHistoryGone says that the store dropped the history that was asked for.
	ErrHistoryGone = errors.New("history is no longer available")
)

// Stamp is what the store says of itself with each answer.
type Stamp struct {
	// Version is that of the newest transaction.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
}

// Key returns the key of a row. The rows of one transaction share a part.
func Key(table, part, name string) string {
	if part == "" {
		return table + "/" + name
	}
	return table + "@" + part + "/" + name
}

// SplitKey is the inverse of Key.
func SplitKey(key string) (table, part, name string) {
	head, name, _ := strings.Cut(key, "/")
	table, part, _ = strings.Cut(head, "@")
	return table, part, name
}

// Rows is a transactional store of rows with a feed of changes. Errors are ErrConflict, ErrRefused, ErrHistoryGone, or leave
// open whether a commit took effect.
type Rows struct {
	// Read returns one row. A row that does not exist has version 0.
	Read func(ctx context.Context, key string) (Row, Stamp, error)
	// List returns all rows of a table, over all its parts. Changes after the
	// stamp may be missing or not.
	List func(ctx context.Context, table string) ([]Row, Stamp, error)
	// Feed returns the rows of a table that changed after a version, oldest
	// first, and waits for one. A row that was removed has no value.
	Feed func(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, Stamp, error)
	// Commit applies a transaction.
	Commit func(ctx context.Context, txn Txn) (Stamp, error)
}

// Runtime is the task runtime of a worker that is called directly.
type Runtime struct {
	// Hold renews the lease, forgets ends and lists what runs. It waits for an
	// end for up to the given time.
	Hold func(ctx context.Context, h LeaseRequest) (LeaseReply, error)
	// Start starts a run and says what became of the order.
	Start func(ctx context.Context, s StartRun) (Answer, error)
	Stop  func(ctx context.Context, s StopRun) (Answer, error)
	// Pace lets a run work at a share of its speed.
	Pace func(ctx context.Context, p ThrottleRun) (Answer, error)
}
