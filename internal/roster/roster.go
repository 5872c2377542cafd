// Package roster lets the entries discover each other through rows in the
// platform's table. Each entry periodically writes its own row, as a heartbeat,
// and reads all rows. An entry is considered gone once its row has been removed, or
// has not changed for some time by the reader's own clock, in which the reader could
// read the table. While the table is unavailable, every entry keeps its last view of
// the others.
package roster

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/skips"
)

// Roster is one entry's view of all entries. Self and Table must be set before
// use. Run must be called for it to be updated.
type Roster struct {
	Self  Member
	Table plat.Table
	// OnError is called with each error of the table and the step that failed.
	// It may be nil.
	OnError func(step string, err error)

	heartbeat uint64
	skipped   skips.Set

	// mu guards the fields below it.
	mu sync.Mutex
	// entries holds the entries whose rows were in the table at the last read, by name.
	entries map[string]*entryState
	// lastRead is when the table was last read.
	lastRead time.Time
}

// Member describes one entry. It is the value of the entry's row.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Site string `cbor:"2,keyasint" json:"site"`
	Zone string `cbor:"3,keyasint" json:"zone"`
	// Peer is the address at which the entry serves other processes of the site,
	// and Operator the address at which it serves operators.
	Peer     string `cbor:"4,keyasint" json:"peer"`
	Operator string `cbor:"5,keyasint" json:"operator"`
	// Version is the configuration version in force.
	Version uint64 `cbor:"6,keyasint" json:"version"`
	// Beat counts the heartbeats, so that each write changes the row.
	Beat uint64 `cbor:"7,keyasint" json:"-"`
	// Stale lists agents that announce themselves to this entry and run an older
	// version.
	Stale []string `cbor:"8,keyasint" json:"stale,omitempty"`
	// Agents is the number of agents that announce themselves to this entry.
	Agents int `cbor:"9,keyasint" json:"agents"`
}

// entryState is what is known of an entry from its row.
type entryState struct {
	member     Member
	rowVersion uint64
	// lastChange is when the row was last seen to change, later by the time since
	// then in which the table was not read. It is never after the last read.
	lastChange time.Time
}

const (
	prefix = "entry/"
	// interval is the time between heartbeats, and between reads of all rows.
	interval = time.Second
	// lapseAfter is the time without a change of its row after which an entry
	// is considered gone, and removeAfter the time after which its row is
	// removed from the table.
	lapseAfter  = 5 * time.Second
	removeAfter = time.Minute
	timeout     = time.Second
)

// Run writes this entry's row and reads all rows periodically until the context
// ends. Before each write, update sets the fields of the row that change over
// time; it may be nil.
func (r *Roster) Run(ctx context.Context, update func(Member) Member) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		r.syncOnce(ctx, update)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *Roster) syncOnce(ctx context.Context, update func(Member) Member) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := r.writeSelf(ctx, update); err != nil {
		r.reportError("write entry", err)
	}
	if err := r.readAll(ctx); err != nil {
		r.reportError("read entries", err)
	}
}

func (r *Roster) reportError(step string, err error) {
	if r.OnError != nil {
		r.OnError(step, err)
	}
}

func (r *Roster) writeSelf(ctx context.Context, update func(Member) Member) error {
	m := r.Self
	if update != nil {
		m = update(m)
	}
	r.heartbeat++
	m.Beat = r.heartbeat
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	return r.Table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: prefix + m.Name, Value: data}}})
}

func (r *Roster) readAll(ctx context.Context) error {
	rows, err := r.Table.Scan(ctx, prefix)
	if err != nil {
		return err
	}
	return r.removeRows(ctx, r.observeAll(rows, time.Now()))
}

// observeAll records the rows of a read of the table and returns those that have not
// changed for longer than removeAfter.
func (r *Roster) observeAll(rows []plat.Row, now time.Time) []plat.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludeGap(now)
	var old []plat.Row
	entries := map[string]*entryState{}
	for _, row := range rows {
		m, err := decode(row)
		if err != nil {
			if r.skipped.Add(row) {
				r.reportError("decode entry "+row.Key, err)
			}
			continue
		}
		s := r.entries[m.Name]
		if s == nil || s.rowVersion != row.Version {
			s = &entryState{member: m, rowVersion: row.Version, lastChange: now}
		}
		entries[m.Name] = s
		if now.Sub(s.lastChange) > removeAfter {
			old = append(old, row)
		}
	}
	r.entries = entries
	return old
}

// excludeGap leaves the time since the last read out of the time without a change of
// each row, except for one interval: this entry was suspended, or the table was
// unavailable and the others could not write their rows either. An entry that was
// considered gone before the gap is so after it. The caller holds the mutex.
func (r *Roster) excludeGap(now time.Time) {
	if gap := now.Sub(r.lastRead) - interval; !r.lastRead.IsZero() && gap > 0 {
		for _, s := range r.entries {
			s.lastChange = s.lastChange.Add(gap)
		}
	}
	r.lastRead = now
}

// decode returns the entry that a row describes.
func decode(row plat.Row) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(row.Value, &m); err != nil {
		return m, err
	}
	if name := strings.TrimPrefix(row.Key, prefix); m.Name == "" || m.Name != name {
		return m, fmt.Errorf("the row of the entry %q holds the name %q", name, m.Name)
	}
	return m, rpcs.CheckAddr(m.Peer)
}

// removeRows removes rows from the table unless they have changed since they
// were read.
func (r *Roster) removeRows(ctx context.Context, old []plat.Row) error {
	var errs []error
	for _, row := range old {
		err := r.Table.Commit(ctx, plat.Txn{
			Checks: []plat.Check{{Key: row.Key, Version: row.Version}},
			Writes: []plat.Write{{Key: row.Key}},
		})
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Leave removes this entry's row from the table when the entry stops.
func (r *Roster) Leave(ctx context.Context) error {
	return r.Table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: prefix + r.Self.Name}}})
}

// Members returns the entries that are not considered gone, including this one,
// sorted by name.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{}
	self := false
	for _, s := range r.entries {
		if r.lastRead.Sub(s.lastChange) > lapseAfter {
			continue
		}
		self = self || s.member.Name == r.Self.Name
		out = append(out, s.member)
	}
	if !self {
		out = append(out, r.Self)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Peers returns the peer addresses of the other entries.
func (r *Roster) Peers() []string {
	var out []string
	for _, m := range r.Members() {
		if m.Name != r.Self.Name {
			out = append(out, m.Peer)
		}
	}
	return out
}
