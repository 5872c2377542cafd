// Package table is an in-memory stand-in for the platform's transactional table. It
// counts the rows that are read and written.
package table

import (
	"context"
	"sort"
	"strings"
	"sync"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/stand/flaw"
)

// Table is an in-memory table. The zero value is empty and ready for use.
type Table struct {
	flaw.Switch

	mu   sync.Mutex
	rows map[string]plat.Row
	// lastVersion is the highest version of any write so far.
	lastVersion   uint64
	reads, writes int
}

// Adapter returns the table as a plat.Table.
func (t *Table) Adapter() plat.Table {
	return plat.Table{Read: t.Read, Scan: t.Scan, Commit: t.Commit}
}

// Read returns one row.
func (t *Table) Read(ctx context.Context, key string) (plat.Row, error) {
	if err := t.Before(ctx); err != nil {
		return plat.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	r := t.rows[key]
	r.Key = key
	return r, nil
}

// Scan returns the rows whose keys start with prefix, sorted by key.
func (t *Table) Scan(ctx context.Context, prefix string) ([]plat.Row, error) {
	if err := t.Before(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []plat.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	t.reads += max(1, len(out))
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Commit applies a transaction if all its checks hold, and returns plat.ErrConflict
// otherwise.
func (t *Table) Commit(ctx context.Context, txn plat.Txn) error {
	if err := t.Before(ctx); err != nil {
		return err
	}
	if err := t.apply(txn); err != nil {
		return err
	}
	return t.After()
}

// apply carries out a transaction without any injected fault.
func (t *Table) apply(txn plat.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return plat.ErrConflict
		}
	}
	if t.rows == nil {
		t.rows = map[string]plat.Row{}
	}
	for _, w := range txn.Writes {
		t.writes++
		if w.Value == nil {
			delete(t.rows, w.Key)
			continue
		}
		t.lastVersion++
		t.rows[w.Key] = plat.Row{Key: w.Key, Version: t.lastVersion, Value: w.Value}
	}
	return nil
}

// Counts returns the numbers of rows read and written so far. A scan that returns no
// row counts as one read.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
