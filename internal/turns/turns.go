// Package turns chooses among addresses of which any may be dead: each is tried before one is
// tried again.
package turns

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Turns remembers in which order addresses were tried. The zero value is ready to use.
type Turns struct {
	// Name tells the users of the same addresses apart, so that not all of them begin with
	// the same one.
	Name string
	// tried holds the number of the newest try of each address, and tries the number of
	// all tries.
	tried map[string]uint64
	tries uint64
}

// Next returns the address whose last try is the longest ago, and counts as a try of it. It
// returns "" if there is none. Addresses that are missing are forgotten.
func (t *Turns) Next(addrs []string) string {
	if len(addrs) == 0 {
		return ""
	}
	for a := range t.tried {
		if !slices.Contains(addrs, a) {
			delete(t.tried, a)
		}
	}
	next := slices.MinFunc(addrs, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.tried[a], t.tried[b]), cmp.Compare(t.place(a), t.place(b)), cmp.Compare(a, b))
	})
	t.Tried(next)
	return next
}

// Tried counts a try of an address that came from elsewhere.
func (t *Turns) Tried(addr string) {
	if t.tried == nil {
		t.tried = map[string]uint64{}
	}
	t.tries++
	t.tried[addr] = t.tries
}

// place returns where an address comes among those that were not tried.
func (t *Turns) place(addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.Name + "\x00" + addr))
	return h.Sum64()
}
