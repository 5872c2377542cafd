package book_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/book"
)

const pageBytes = 100

// takeAll takes all due pages and returns their records by page, sorted.
func takeAll(b *book.Book[string]) map[int][]string {
	out := map[int][]string{}
	for {
		n, records, ok := b.Take()
		if !ok {
			return out
		}
		slices.Sort(records)
		out[n] = records
	}
}

func TestOnlyPagesWithChangesAreDue(t *testing.T) {
	g := NewWithT(t)
	b := book.Book[string]{PageBytes: pageBytes}
	for _, r := range []string{"a", "b", "c"} {
		b.Put(r, 40)
	}
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{0: {"a", "b"}, 1: {"c"}}))
	g.Expect(takeAll(&b)).To(BeEmpty())
	b.Put("c", 45)
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{1: {"c"}}))
	b.Drop("a")
	b.Drop("a")
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{0: {"b"}}))
	b.Put("d", 50)
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{0: {"b", "d"}}), "the room of a dropped record is used again")
}

// A page that changes all the time must not keep the others from being written.
func TestPageTakenLongestAgoComesFirst(t *testing.T) {
	g := NewWithT(t)
	b := book.Book[string]{PageBytes: pageBytes}
	var order []int
	for range 3 {
		for i := range 4 {
			b.Put(fmt.Sprint(i), pageBytes)
		}
		for range 2 {
			n, _, ok := b.Take()
			g.Expect(ok).To(BeTrue())
			order = append(order, n)
		}
	}
	g.Expect(order).To(Equal([]int{0, 1, 2, 3, 0, 1}))
}

func TestLoadKeepsRecordsOnTheirPages(t *testing.T) {
	g := NewWithT(t)
	b := book.Book[string]{PageBytes: pageBytes}
	b.Load(3, "a", 40)
	b.Load(1, "b", 40)
	g.Expect(takeAll(&b)).To(BeEmpty())
	b.Load(0, "a", 40)
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{0: nil}), "a record on two pages leaves the second")
	b.Put("a", 40)
	g.Expect(takeAll(&b)).To(Equal(map[int][]string{3: {"a"}}))
}

// The pages as they were last written must hold each record once and stay within bounds,
// whatever came before.
func TestPagesHoldEachRecordOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := book.Book[string]{PageBytes: pageBytes}
	stored, sizes := map[int][]string{}, map[string]int{}
	for range 5000 {
		r := fmt.Sprint(rng.IntN(60))
		switch rng.IntN(4) {
		case 0:
			b.Drop(r)
			delete(sizes, r)
		case 1:
			if n, records, ok := b.Take(); ok {
				stored[n] = records
			}
		default:
			sizes[r] = 1 + rng.IntN(pageBytes/4)
			b.Put(r, sizes[r])
		}
	}
	for n, records := range takeAll(&b) {
		stored[n] = records
	}
	var all []string
	for n, records := range stored {
		sum := 0
		for _, r := range records {
			sum += sizes[r]
		}
		all = append(all, records...)
		// A record that has grown stays on its page.
		NewWithT(t).Expect(sum).To(BeNumerically("<=", 2*pageBytes), "page %d", n)
	}
	var want []string
	for r := range sizes {
		want = append(want, r)
	}
	NewWithT(t).Expect(all).To(ConsistOf(want))
}
