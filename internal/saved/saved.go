// Package saved stores what an owner has learned for the next one: the run times of queues, the
// interference of images and the time of day.
//
// The records are spread over pages, of which each transaction takes a few, so that neither the
// size of a row nor that of a transaction grows with the number of images and queues.
package saved

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lagoonrack/internal/book"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/press"
	"lagoonrack/internal/timing"
	"lagoonrack/internal/wall"
	"lagoonrack/internal/work"
)

// Estimates spreads learned records over pages. The exported fields must be set and Restore be
// called, with no rows if there are none, before Save.
type Estimates struct {
	// Key is the key of the row with what is learned about the cell as a whole. The keys of the
	// pages begin with it.
	Key string
	// PageBytes is the size of a page.
	PageBytes    int
	RunTimes     *timing.Table
	Interference *press.Table
	Clock        *wall.Clock

	book book.Book[record]
}

const (
	// maxPages is above the number of pages that all records together can take.
	maxPages = 4096
	// maxRecordBytes is the size of a record above which it is not stored: its names are
	// longer than any real one.
	maxRecordBytes = 1 << 10
	// recordOverhead is the size of a record without its names.
	recordOverhead = 48
)

// row is the stored form of the row or a page.
type row struct {
	Queues       map[string]timing.Times `cbor:"1,keyasint,omitempty"`
	Interference press.Saved             `cbor:"2,keyasint"`
	// WallClockOffset is how far the time of day is ahead of the store's clock, in
	// milliseconds, or 0 if that is not known.
	WallClockOffset int64 `cbor:"3,keyasint,omitempty"`
}

// record names a record: the run times of a queue, the base tail of a
// latency-critical image, or the factor of a pair of images.
type record struct {
	kind recordKind
	// name is the queue or the latency-critical image, and bestEffort the other image of
	// a pair.
	name, bestEffort string
}

// recordKind is the kind of a learned record.
type recordKind int

const (
	queueRecord recordKind = iota
	baseRecord
	pairRecord
)

// size returns the size of a record in its stored form, in bytes.
func (r record) size() int { return len(r.name) + len(r.bestEffort) + recordOverhead }

// pageKey returns the key of a page.
func (e *Estimates) pageKey(page int) string { return e.Key + "/" + strconv.Itoa(page) }

// Save returns the writes that store a part of what was learned: the row about the cell and up to
// the given number of pages. Rows that can't be encoded are left out, with an error for each. The
// store's clock is ahead of the caller's by storeOffset.
func (e *Estimates) Save(storeOffset time.Duration, pages int) (out []plat.Write, errs []error) {
	e.noteChanged()
	var r row
	if offset, ok := e.Clock.Offset(); ok {
		r.WallClockOffset = (offset - storeOffset).Milliseconds()
	}
	add := func(key string, r row) {
		data, err := work.Encode(r)
		if err != nil {
			errs = append(errs, err)
			return
		}
		out = append(out, plat.Write{Key: key, Value: data})
	}
	add(e.Key, r)
	for range pages {
		n, records, ok := e.book.Take()
		if !ok {
			break
		}
		if len(records) == 0 {
			out = append(out, plat.Write{Key: e.pageKey(n)})
			continue
		}
		add(e.pageKey(n), e.page(records))
	}
	return out, errs
}

// noteChanged puts the records that have changed since the last call on their pages.
func (e *Estimates) noteChanged() {
	for _, q := range e.RunTimes.Changed() {
		_, ok := e.RunTimes.Times(q)
		e.noteRecord(record{kind: queueRecord, name: q}, ok)
	}
	pairs, images := e.Interference.Changed()
	for _, image := range images {
		_, ok := e.Interference.SavedBase(image)
		e.noteRecord(record{kind: baseRecord, name: image}, ok)
	}
	for _, p := range pairs {
		_, ok := e.Interference.SavedPair(p)
		e.noteRecord(record{kind: pairRecord, name: p.Critical, bestEffort: p.BestEffort}, ok)
	}
}

// noteRecord notes that a record has changed or, if it does not exist any more, that it was
// forgotten.
func (e *Estimates) noteRecord(r record, exists bool) {
	if exists && r.size() <= min(maxRecordBytes, e.book.PageBytes) {
		e.book.Put(r, r.size())
	} else {
		e.book.Drop(r)
	}
}

// page returns the stored form of a page with the given records.
func (e *Estimates) page(records []record) row {
	out := row{Queues: map[string]timing.Times{}, Interference: press.Saved{Bases: map[string]float64{}}}
	for _, r := range records {
		switch r.kind {
		case queueRecord:
			if v, ok := e.RunTimes.Times(r.name); ok {
				out.Queues[r.name] = v
			}
		case baseRecord:
			if v, ok := e.Interference.SavedBase(r.name); ok {
				out.Interference.Bases[r.name] = v
			}
		case pairRecord:
			if v, ok := e.Interference.SavedPair(press.Pair{BestEffort: r.bestEffort, Critical: r.name}); ok {
				out.Interference.Pairs = append(out.Interference.Pairs, v)
			}
		}
	}
	return out
}

// records lists the records of a row in order.
func (r row) records() []record {
	var out []record
	for _, q := range sortedKeys(r.Queues) {
		out = append(out, record{kind: queueRecord, name: q})
	}
	for _, image := range sortedKeys(r.Interference.Bases) {
		out = append(out, record{kind: baseRecord, name: image})
	}
	for _, p := range r.Interference.Pairs {
		out = append(out, record{kind: pairRecord, name: p.Serve, bestEffort: p.Fill})
	}
	return out
}

// pageNumber returns the number of the page with the given key, or false if there can be
// no such page.
func (e *Estimates) pageNumber(key string) (int, bool) {
	name, ok := strings.CutPrefix(key, e.Key+"/")
	n, err := strconv.Atoi(name)
	return n, ok && err == nil && n >= 0 && n < maxPages
}

// Restore loads the rows that an earlier owner stored, by their keys. It returns the keys of rows
// that can't be used, which are to be deleted, and an error for each that can't be decoded.
func (e *Estimates) Restore(rows map[string][]byte, storeOffset time.Duration) (unusable []string, errs []error) {
	e.book.PageBytes = e.PageBytes
	for _, key := range sortedKeys(rows) {
		page, ok := e.pageNumber(key)
		var r row
		err := work.Decode(rows[key], &r)
		if err != nil {
			errs = append(errs, err)
		}
		if err != nil || !ok && key != e.Key {
			unusable = append(unusable, key)
			continue
		}
		e.restoreRow(r, storeOffset)
		for _, x := range r.records() {
			if ok {
				e.book.Load(page, x, x.size())
			} else {
				// Earlier versions kept all records in one row.
				e.noteRecord(x, true)
			}
		}
	}
	// What was loaded is stored already.
	e.RunTimes.Changed()
	return unusable, errs
}

// restoreRow loads what a row holds.
func (e *Estimates) restoreRow(r row, storeOffset time.Duration) {
	for _, q := range sortedKeys(r.Queues) {
		e.RunTimes.Set(q, r.Queues[q])
	}
	e.Interference.Restore(r.Interference)
	if r.WallClockOffset != 0 {
		e.Clock.Restore(time.Duration(r.WallClockOffset)*time.Millisecond + storeOffset)
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
