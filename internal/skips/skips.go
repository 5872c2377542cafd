// Package skips remembers which rows of a table were left out because they can't be
// used, so that each is reported once and not at every read of the table.
package skips

import (
	"sync"

	"lagoonrack/internal/plat"
)

// Set holds the rows that were left out. The zero value is empty and ready for use; it
// is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// versions holds the last version that was left out of each row, by key.
	versions map[string]uint64
}

// Add records that a row was left out and reports whether this version of it was not yet
// recorded.
func (s *Set) Add(r plat.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = map[string]uint64{}
	}
	known := s.versions[r.Key] == r.Version
	s.versions[r.Key] = r.Version
	return !known
}
