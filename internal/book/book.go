// Package book spreads named records over pages, each of which is stored in a row of
// bounded size, and says which pages have to be written.
//
// Model. A record stays on the page that it was first put on until it is dropped. A page
// is due once one of its records has changed since the page was last taken. The caller
// takes as many due pages as it can afford to write, so that the cost of a write does not
// depend on the number of records; the page that was taken longest ago comes first.
package book

import (
	"cmp"
	"slices"
)

// Book assigns records to pages. The zero value is empty, with pages that have room for one
// record each; PageBytes must not change once there are records.
type Book[K comparable] struct {
	// PageBytes bounds the sum of the sizes of a page's records, unless a single record
	// is larger.
	PageBytes int

	pages []page[K]
	where map[K]int
	// taken counts the pages that were taken.
	taken uint64
}

// page is one page.
type page[K comparable] struct {
	// sizes holds the size of each record on the page, and size is their sum.
	sizes map[K]int
	size  int
	due   bool
	// takenAt is Book.taken when the page was last taken, or 0.
	takenAt uint64
}

// Put records that a record of the given size in bytes is new or has changed.
func (b *Book[K]) Put(record K, size int) {
	n, ok := b.where[record]
	if !ok {
		n = b.pageWithRoom(size)
	}
	b.put(n, record, size)
	b.pages[n].due = true
}

// Load records that a record is stored on a page. A record that is on another page already
// stays there, and the given page becomes due, to lose it.
func (b *Book[K]) Load(page int, record K, size int) {
	b.grow(page + 1)
	if n, ok := b.where[record]; ok && n != page {
		b.pages[page].due = true
		return
	}
	b.put(page, record, size)
}

// Drop removes a record.
func (b *Book[K]) Drop(record K) {
	n, ok := b.where[record]
	if !ok {
		return
	}
	p := &b.pages[n]
	p.size -= p.sizes[record]
	p.due = true
	delete(p.sizes, record)
	delete(b.where, record)
}

// Take returns the number of a due page and its records in no particular order, and takes
// it to be written from then on. It returns false if no page is due.
func (b *Book[K]) Take() (page int, records []K, ok bool) {
	best := -1
	for i, p := range b.pages {
		if p.due && (best < 0 || cmp.Less(p.takenAt, b.pages[best].takenAt)) {
			best = i
		}
	}
	if best < 0 {
		return 0, nil, false
	}
	b.taken++
	p := &b.pages[best]
	p.due, p.takenAt = false, b.taken
	for r := range p.sizes {
		records = append(records, r)
	}
	return best, records, true
}

// put puts a record on a page.
func (b *Book[K]) put(n int, record K, size int) {
	if b.where == nil {
		b.where = map[K]int{}
	}
	b.where[record] = n
	p := &b.pages[n]
	if p.sizes == nil {
		p.sizes = map[K]int{}
	}
	p.size += size - p.sizes[record]
	p.sizes[record] = size
}

// pageWithRoom returns the first page that has room for a record, or a new one.
func (b *Book[K]) pageWithRoom(size int) int {
	n := slices.IndexFunc(b.pages, func(p page[K]) bool { return len(p.sizes) == 0 || p.size+size <= b.PageBytes })
	if n < 0 {
		n = len(b.pages)
		b.grow(n + 1)
	}
	return n
}

// grow makes sure that there are at least n pages.
func (b *Book[K]) grow(n int) {
	for len(b.pages) < n {
		b.pages = append(b.pages, page[K]{})
	}
}
