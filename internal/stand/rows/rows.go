// Package rows is an in-memory stand-in for the platform's store of rows (plat.Rows),
// with the faults that unit tests need. It keeps no history: a feed returns no rows.
package rows

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lagoonrack/internal/plat"
)

// Store is an in-memory store of rows. The zero value is empty and rejects nothing.
type Store struct {
	mu        sync.Mutex
	rows      map[string]plat.Row
	version   uint64
	rejecting bool
	// answersToLose is the number of further transactions whose answers are lost.
	answersToLose int
}

// SetRejecting sets whether the store rejects calls made through Rows. It does not
// affect calls made through RelayedRows.
func (s *Store) SetRejecting(rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = rejecting
}

// LoseAnswers makes the next n transactions fail with plat.ErrUnavailable after they
// have taken effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Row returns a row regardless of the faults.
func (s *Store) Row(key string) plat.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Version returns the version of the newest transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Rows returns the store as used directly by a process. SetRejecting applies to it.
func (s *Store) Rows() plat.Rows { return s.adapter(true) }

// RelayedRows returns the store as used through a relay, that is, through another
// process. It ignores SetRejecting.
func (s *Store) RelayedRows() plat.Rows { return s.adapter(false) }

// adapter returns the store as a plat.Rows. Its calls are subject to SetRejecting if
// rejectable is set.
func (s *Store) adapter(rejectable bool) plat.Rows {
	return plat.Rows{
		Read: func(_ context.Context, key string) (plat.Row, plat.Stamp, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if rejectable && s.rejecting {
				return plat.Row{}, plat.Stamp{}, plat.ErrRefused
			}
			return s.rows[key], plat.Stamp{Version: s.version}, nil
		},
		List: func(_ context.Context, table string) ([]plat.Row, plat.Stamp, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if rejectable && s.rejecting {
				return nil, plat.Stamp{}, plat.ErrRefused
			}
			return s.list(table), plat.Stamp{Version: s.version}, nil
		},
		Feed: func(context.Context, string, uint64, time.Duration) ([]plat.Row, plat.Stamp, error) {
			return nil, plat.Stamp{Version: s.Version()}, nil
		},
		Commit: func(_ context.Context, txn plat.Txn) (plat.Stamp, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if rejectable && s.rejecting {
				return plat.Stamp{}, plat.ErrRefused
			}
			return s.commit(txn)
		},
	}
}

// list returns the rows of a table, sorted by key. It must be called with the mutex
// held.
func (s *Store) list(table string) []plat.Row {
	var out []plat.Row
	for key, r := range s.rows {
		if t, _, _ := plat.SplitKey(key); t == table {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b plat.Row) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// commit applies a transaction. It must be called with the mutex held.
func (s *Store) commit(txn plat.Txn) (plat.Stamp, error) {
	for _, c := range txn.Checks {
		if s.rows[c.Key].Version != c.Version {
			return plat.Stamp{}, plat.ErrConflict
		}
	}
	s.version++
	if s.rows == nil {
		s.rows = map[string]plat.Row{}
	}
	for _, w := range txn.Writes {
		if w.Value == nil {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = plat.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return plat.Stamp{}, plat.ErrUnavailable
	}
	return plat.Stamp{Version: s.version}, nil
}
