// Package rows is a store of rows in memory, with the faults that tests of single
// packages need. Its history is empty: a feed returns nothing.
package rows

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lagoonrack/internal/plat"
)

// Store holds rows. The zero value is empty and serves all.
type Store struct {
	mu      sync.Mutex
	rows    map[string]plat.Row
	version uint64
	away    bool
	lost    int
}

// Turn has the store turn the process away that uses Rows, or serve it again.
func (s *Store) Turn(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Lose has the next n transactions take effect without an answer.
func (s *Store) Lose(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = n
}

// Row returns a row as it is.
func (s *Store) Row(key string) plat.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Version is that of the newest transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Rows is the store as a process sees it that may be turned away.
func (s *Store) Rows() plat.Rows { return s.seen(true) }

// Via is the store as other processes see it.
func (s *Store) Via() plat.Rows { return s.seen(false) }

func (s *Store) seen(turned bool) plat.Rows {
	return plat.Rows{
		Read: func(_ context.Context, key string) (plat.Row, plat.Stamp, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if turned && s.away {
				return plat.Row{}, plat.Stamp{}, plat.ErrRefused
			}
			return s.rows[key], plat.Stamp{Version: s.version}, nil
		},
		List: func(_ context.Context, table string) ([]plat.Row, plat.Stamp, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if turned && s.away {
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
			if turned && s.away {
				return plat.Stamp{}, plat.ErrRefused
			}
			return s.commit(txn)
		},
	}
}

// list returns the rows of a table in the order of their keys.
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
	if s.lost > 0 {
		s.lost--
		return plat.Stamp{}, plat.ErrUnavailable
	}
	return plat.Stamp{Version: s.version}, nil
}
