package evac_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/evac"
	"lagoonrack/internal/plat"
)

const second = time.Second

// written and deleted are the rows of a zone in answers of the store.
func written(zone string, version uint64) plat.Row {
	return plat.Row{Key: zone, Version: version, Value: []byte{}}
}

func deleted(zone string, version uint64) plat.Row { return plat.Row{Key: zone, Version: version} }

// TestNothingIsKnownAtFirst guards against starts before a process has heard of any row.
func TestNothingIsKnownAtFirst(t *testing.T) {
	g := NewWithT(t)
	var z evac.Zones
	g.Expect(z.Recent(0, time.Hour)).To(BeFalse())
	g.Expect(z.WithFeed(0, 9, second, []plat.Row{written("a", 3)}).Recent(second, second)).To(BeFalse(), "a feed alone does not show older rows")
	z = z.WithRead(0, 0, nil)
	g.Expect(z.Recent(second, second)).To(BeTrue())
	g.Expect(z.Recent(second+1, second)).To(BeFalse())
}

// TestHigherVersionsWin guards against a delayed answer of one source that undoes what a
// newer one said.
func TestHigherVersionsWin(t *testing.T) {
	g := NewWithT(t)
	z := evac.Zones{}.WithRead(5, second, []plat.Row{written("a", 4)})
	old := z.WithPeer(3, 2*second, nil)
	g.Expect(old.Names()).To(Equal([]string{"a"}))
	g.Expect(old.Version()).To(Equal(uint64(5)))
	g.Expect(old.Recent(2*second, 0)).To(BeTrue(), "the older version was still the newest at that time")
	g.Expect(z.WithPeer(6, 0, []string{"c", "b", "c"}).Names()).To(Equal([]string{"b", "c"}))
	at, _ := z.WithPeer(6, 0, nil).At()
	g.Expect(at).To(Equal(second), "the time never goes back")
	g.Expect(z.WithFeed(2, 4, 3*second, []plat.Row{deleted("a", 3)}).Closed("a")).To(BeTrue(), "the row was written again")
	g.Expect(z.WithFeed(5, 8, 3*second, []plat.Row{deleted("a", 7)}).Closed("a")).To(BeFalse())
}

// TestFeed guards against changes that are applied out of order, twice or after a gap.
func TestFeed(t *testing.T) {
	g := NewWithT(t)
	z := evac.Zones{}.WithRead(5, second, nil)
	x := z.WithFeed(5, 9, 2*second, []plat.Row{written("b", 6), written("a", 7), deleted("b", 8), written("a", 9)})
	g.Expect(x.Names()).To(Equal([]string{"a"}))
	g.Expect(x.Version()).To(Equal(uint64(9)))
	g.Expect(z.Names()).To(BeEmpty(), "a set is immutable")
	g.Expect(z.WithFeed(6, 9, 2*second, []plat.Row{written("a", 9)})).To(Equal(z), "version 6 is missing")
	g.Expect(x.Added(z)).To(Equal([]string{"a"}))
	g.Expect(z.Added(x)).To(BeEmpty())
	g.Expect(x.Same(z)).To(BeFalse())
}
