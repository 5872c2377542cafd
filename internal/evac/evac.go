// Package evac merges what a process learns of evacuated zones. It does no I/O and reads no
// clock.
//
// Model. The operator evacuates a zone by writing a row for it and takes it back by deleting
// the row. A process learns of the rows by reading all of them, from the store's feed of
// changes, and from other processes. Each source says as of which version of the store it
// holds, and a set with a higher version replaces one with a lower one, whatever the order of
// arrival. A set is only evidence for a limited time: while no source confirms it, a zone may
// have been evacuated without this process knowing. So each set also has a time up to which it
// is known to hold, and who starts work checks how old that is.
package evac

import (
	"slices"
	"time"

	"lagoonrack/internal/plat"
)

const (
	// OrderLifetime is how long after an order its starts may be sent to the worker. An owner
	// waits as long for an order's results.
	OrderLifetime = 1300 * time.Millisecond
	// StartMargin is the time that a start takes from the agent to the worker: one try, which
	// the agent gives up after 130 ms, on a busy machine.
	StartMargin = 300 * time.Millisecond
	// leastMaxAge is the least useful result of MaxAge: a call of the feed confirms a set only
	// each second.
	leastMaxAge = 1400 * time.Millisecond
)

// MaxAge returns how old the set may be by which a start is ordered, if none may begin later
// than a bound after the row of its zone was acknowledged. A bound below 3 s holds only while
// the store answers.
func MaxAge(bound time.Duration) time.Duration {
	return max(leastMaxAge, bound-OrderLifetime-StartMargin)
}

// Zones is the set of evacuated zones as of a version of the store. It is immutable. The zero
// value knows nothing: it holds at no time.
type Zones struct {
	// closed holds the evacuated zones in order.
	closed  []string
	version uint64
	// at is a time of this process's clock such that every row that was acknowledged
	// before it is taken into account. It is valid if known is true.
	at    time.Duration
	known bool
}

// WithRead returns the set after all rows were read. They hold as of the version, and the read
// began at a time. The keys of the rows are the names of the zones.
func (z Zones) WithRead(version uint64, at time.Duration, rows []plat.Row) Zones {
	var closed []string
	for _, r := range rows {
		closed = append(closed, r.Key)
	}
	return z.WithPeer(version, at, closed)
}

// WithPeer returns the set after another source said which zones are evacuated as of a version
// that was the newest, or an older one, at a time.
func (z Zones) WithPeer(version uint64, at time.Duration, closed []string) Zones {
	switch {
	case z.known && version < z.version:
		// The present set accounts for all changes that the source accounts for, and so
		// for all that were acknowledged before the time.
		z.at = max(z.at, at)
		return z
	case z.known:
		at = max(at, z.at)
	}
	closed = slices.Clone(closed)
	slices.Sort(closed)
	return Zones{closed: slices.Compact(closed), version: version, at: at, known: true}
}

// WithFeed returns the set after a call of the feed that began at a time. Its answer holds all
// changes after one version and up to another, the oldest first. The keys of the rows are the
// names of the zones; a row without a value was deleted.
func (z Zones) WithFeed(from, to uint64, at time.Duration, rows []plat.Row) Zones {
	if !z.known || z.version < from {
		// Changes in between may be missing.
		return z
	}
	closed := slices.Clone(z.closed)
	for _, r := range rows {
		i, found := slices.BinarySearch(closed, r.Key)
		switch {
		case r.Version <= z.version:
			// The set accounts for the change.
		case r.Value != nil && !found:
			closed = slices.Insert(closed, i, r.Key)
		case r.Value == nil && found:
			closed = slices.Delete(closed, i, i+1)
		}
	}
	return Zones{closed: closed, version: max(z.version, to), at: max(z.at, at), known: true}
}

// Closed reports whether a zone is evacuated.
func (z Zones) Closed(zone string) bool {
	return len(z.closed) > 0 && slices.Contains(z.closed, zone)
}

// Names returns the evacuated zones in order. The slice must not be changed.
func (z Zones) Names() []string { return z.closed }

// Version returns the version of the store as of which the set holds.
func (z Zones) Version() uint64 { return z.version }

// At returns the time up to which the set is known to hold, and false if nothing is known.
func (z Zones) At() (time.Duration, bool) { return z.at, z.known }

// Recent reports whether the set was known to hold at most the given time ago.
func (z Zones) Recent(now, age time.Duration) bool { return z.known && now-z.at <= age }

// Same reports whether both sets have the same zones.
func (z Zones) Same(other Zones) bool { return slices.Equal(z.closed, other.closed) }

// Added returns the zones that are evacuated in this set and not in another one.
func (z Zones) Added(other Zones) []string {
	var out []string
	for _, name := range z.closed {
		if !other.Closed(name) {
			out = append(out, name)
		}
	}
	return out
}
