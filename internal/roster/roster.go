// Package roster lets the entries find one another through rows in the
// platform's table. Each entry writes its own row at a steady pace; one whose
// row has not changed for a while, by the reader's own clock, is taken to be
// gone. While the table is away, everyone keeps working on what they knew.
package roster

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/plat"
)

// Roster is one entry's view of all entries. Self and Table must be set before
// use.
type Roster struct {
	Self  Member
	Table plat.Table
	// Failed is told of errors of the table. It may be nil.
	Failed func(step string, err error)

	mu    sync.Mutex
	beat  uint64
	known map[string]*sighting
}

// Member is one entry.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Site string `cbor:"2,keyasint" json:"site"`
	Zone string `cbor:"3,keyasint" json:"zone"`
	// Peer and Operator are addresses.
	Peer     string `cbor:"4,keyasint" json:"peer"`
	Operator string `cbor:"5,keyasint" json:"operator"`
	// Version is the configuration version in force.
	Version uint64 `cbor:"6,keyasint" json:"version"`
	// Beat grows with each write of the row.
	Beat uint64 `cbor:"7,keyasint" json:"-"`
	// Stale lists processes of the site that run another version.
	Stale []string `cbor:"8,keyasint" json:"stale,omitempty"`
	// Agents is the number of agents that announce themselves to this entry.
	Agents int `cbor:"9,keyasint" json:"agents"`
}

type sighting struct {
	member Member
	row    uint64
	at     time.Time
}

const (
	prefix = "entry/"
	// every is the pace of writes and reads.
	every = time.Second
	// lapse is the silence after which an entry is taken to be gone, and
	// forget that after which its row is removed.
	lapse   = 5 * time.Second
	forget  = time.Minute
	timeout = time.Second
)

// Run keeps the roster until the context ends. Fill is asked for the changing
// parts of this entry's row before each write; it may be nil.
func (r *Roster) Run(ctx context.Context, fill func(Member) Member) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		r.turn(ctx, fill)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r *Roster) turn(ctx context.Context, fill func(Member) Member) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := r.write(ctx, fill); err != nil {
		r.failed("write entry", err)
	}
	if err := r.read(ctx); err != nil {
		r.failed("read entries", err)
	}
}

func (r *Roster) failed(step string, err error) {
	if r.Failed != nil {
		r.Failed(step, err)
	}
}

func (r *Roster) write(ctx context.Context, fill func(Member) Member) error {
	m := r.Self
	if fill != nil {
		m = fill(m)
	}
	r.beat++
	m.Beat = r.beat
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	return r.Table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: prefix + m.Name, Value: data}}})
}

func (r *Roster) read(ctx context.Context) error {
	rows, err := r.Table.Scan(ctx, prefix)
	if err != nil {
		r.refresh()
		return err
	}
	var old []plat.Row
	r.mu.Lock()
	for _, row := range rows {
		if r.see(row) {
			old = append(old, row)
		}
	}
	r.mu.Unlock()
	return r.clean(ctx, old)
}

// refresh keeps everyone while the table can't be read: their rows could not
// be renewed either.
func (r *Roster) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.known {
		s.at = time.Now()
	}
}

// see notes a row and reports whether it is to be removed.
func (r *Roster) see(row plat.Row) bool {
	var m Member
	if cbor.Unmarshal(row.Value, &m) != nil {
		return false
	}
	if r.known == nil {
		r.known = map[string]*sighting{}
	}
	s := r.known[m.Name]
	if s == nil {
		s = &sighting{}
		r.known[m.Name] = s
	}
	if s.row != row.Version {
		s.member, s.row, s.at = m, row.Version, time.Now()
	}
	return time.Since(s.at) > forget
}

func (r *Roster) clean(ctx context.Context, old []plat.Row) error {
	for _, row := range old {
		err := r.Table.Commit(ctx, plat.Txn{
			Checks: []plat.Check{{Key: row.Key, Version: row.Version}},
			Writes: []plat.Write{{Key: row.Key}},
		})
		if err != nil {
			return err
		}
		r.mu.Lock()
		delete(r.known, row.Key[len(prefix):])
		r.mu.Unlock()
	}
	return nil
}

// Leave removes this entry's row.
func (r *Roster) Leave(ctx context.Context) error {
	return r.Table.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: prefix + r.Self.Name}}})
}

// Members returns the entries that are alive, by name, this one included.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{}
	self := false
	for _, s := range r.known {
		if time.Since(s.at) > lapse {
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
