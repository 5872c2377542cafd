package press

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Saved is the stored form of factors and base tails.
type Saved struct {
	Pairs []SavedPair        `cbor:"1,keyasint,omitempty"`
	Bases map[string]float64 `cbor:"2,keyasint,omitempty"`
}

// SavedPair is the stored form of one factor. Fill is the best-effort image,
// Serve the latency-critical one.
type SavedPair struct {
	_              struct{} `cbor:",toarray"`
	Fill, Serve    string
	Mean, Variance float64
}

// comparePairs orders pairs by their names.
func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.BestEffort, b.BestEffort), cmp.Compare(a.Critical, b.Critical))
}

// Changed returns the pairs and the latency-critical images whose factors and base tails
// have changed or were forgotten since the last call, in order.
func (t *Table) Changed() (pairs []Pair, bases []string) {
	pairs = slices.SortedFunc(maps.Keys(t.changedPairs), comparePairs)
	bases = slices.Sorted(maps.Keys(t.changedBases))
	t.changedPairs, t.changedBases = nil, nil
	return pairs, bases
}

// SavedPair returns the stored form of a pair's factor, or false if there is none.
func (t *Table) SavedPair(p Pair) (SavedPair, bool) {
	g := t.pairs[p.BestEffort][p.Critical]
	if g == nil {
		return SavedPair{}, false
	}
	return SavedPair{Fill: p.BestEffort, Serve: p.Critical, Mean: g.mean, Variance: g.variance}, true
}

// SavedBase returns the base tail of a latency-critical image in milliseconds, or false if
// it is not known.
func (t *Table) SavedBase(image string) (float64, bool) {
	b, ok := t.bases[image]
	return b.tail, ok
}

// Restore adds saved factors and base tails. Loads change too fast to be saved.
func (t *Table) Restore(s Saved) {
	for _, p := range s.Pairs {
		t.setPair(Pair{p.Fill, p.Serve}, &factor{estimate: estimate{p.Mean, p.Variance}})
	}
	if t.bases == nil {
		t.bases = map[string]base{}
	}
	for image, tail := range s.Bases {
		t.bases[image] = base{tail: tail}
	}
	t.bound()
}

// bound forgets a quarter of the pairs or base tails if there are too many.
func (t *Table) bound() {
	if t.pairCount > maxPairs {
		t.forgetPairs(t.pairCount - maxPairs*3/4)
	}
	if len(t.bases) > maxBases {
		for _, image := range oldest(t.bases, len(t.bases)-maxBases*3/4, func(b base) time.Duration { return b.used }, cmp.Compare) {
			delete(t.bases, image)
			mark(&t.changedBases, image)
		}
	}
}

// forgetPairs forgets the n pairs that were measured longest ago.
func (t *Table) forgetPairs(n int) {
	all := make(map[Pair]*factor, t.pairCount)
	for bestEffort, beside := range t.pairs {
		for critical, g := range beside {
			all[Pair{bestEffort, critical}] = g
		}
	}
	for _, p := range oldest(all, n, func(g *factor) time.Duration { return g.used }, comparePairs) {
		delete(t.pairs[p.BestEffort], p.Critical)
		if len(t.pairs[p.BestEffort]) == 0 {
			delete(t.pairs, p.BestEffort)
		}
		delete(t.imageFactors, p.BestEffort)
		mark(&t.changedPairs, p)
	}
	t.pairCount -= n
}

// oldest returns the n keys whose values were used longest ago, in order of the names among
// those used at the same time.
func oldest[K comparable, V any](m map[K]V, n int, used func(V) time.Duration, byName func(a, b K) int) []K {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b K) int {
		return cmp.Or(cmp.Compare(used(m[a]), used(m[b])), byName(a, b))
	})
	return keys[:n]
}
