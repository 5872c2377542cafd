package sched

import (
	"strconv"
	"strings"
	"time"

	"lagoonrack/internal/book"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/press"
	"lagoonrack/internal/timing"
	"lagoonrack/internal/work"
)

// What an owner has learned is stored for the next one: the run times of queues and the
// interference of images. The records are spread over pages, of which each transaction
// takes a few, so that neither the size of a row nor that of a transaction grows with the
// number of images and queues.

// LearnedKey is the key of the row with what is learned about the cell as a whole. The
// keys of the pages begin with it.
const LearnedKey = CellTable + "/learned"

// CellTable is the table of the rows about the cell as a whole.
const CellTable = "cell"

const (
	// learnedSaveInterval is the minimum time between two writes of what was learned,
	// which are added to a transaction that is needed anyway.
	learnedSaveInterval = 4 * time.Second
	// learnedPageBytes is the size of a page, unless that is near what fits a row, and learnedPagesPerSave the number of pages
	// in one transaction.
	learnedPageBytes    = 8 << 10
	learnedPagesPerSave = 3
	// maxLearnedPages is above the number of pages that all records together can take.
	maxLearnedPages = 4096
	// maxRecordBytes is the size of a record above which it is not stored: its names are
	// longer than any real one.
	maxRecordBytes = 1 << 10
	// recordOverhead is the size of a record without its names.
	recordOverhead = 48
)

// learnedRow is the stored form of the row or a page.
type learnedRow struct {
	Queues       map[string]timing.Times `cbor:"1,keyasint,omitempty"`
	Interference press.Saved             `cbor:"2,keyasint"`
	// WallClockOffset is how far the time of day is ahead of the store's clock, in
	// milliseconds, or 0 if that is not known.
	WallClockOffset int64 `cbor:"3,keyasint,omitempty"`
}

// learnedRecord names a record: the run times of a queue, the base tail of a
// latency-critical image, or the factor of a pair of images.
type learnedRecord struct {
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
func (r learnedRecord) size() int { return len(r.name) + len(r.bestEffort) + recordOverhead }

// learned spreads the learned records over pages.
type learned struct {
	book book.Book[learnedRecord]
	// lastSave is when pages were last written.
	lastSave time.Duration
}

// learnedPageKey returns the key of a page.
func learnedPageKey(page int) string { return LearnedKey + "/" + strconv.Itoa(page) }

// IsLearned reports whether a key is that of a row with something learned.
func IsLearned(key string) bool {
	return key == LearnedKey || strings.HasPrefix(key, LearnedKey+"/")
}

// saveLearned returns the writes that store a part of what was learned, or none if the last
// ones are not long ago.
func (c *Core) saveLearned() []plat.Write {
	if c.now-c.learned.lastSave < learnedSaveInterval {
		return nil
	}
	c.learned.lastSave = c.now
	c.noteLearned()
	var row learnedRow
	if offset, ok := c.wallClock.Offset(); ok {
		row.WallClockOffset = (offset - c.storeOffset).Milliseconds()
	}
	out := c.appendLearned(nil, LearnedKey, row)
	pages := learnedPagesPerSave
	if c.limits.SlowLink {
		pages = 1
	}
	for range pages {
		n, records, ok := c.learned.book.Take()
		if !ok {
			break
		}
		if len(records) == 0 {
			out = append(out, plat.Write{Key: learnedPageKey(n)})
			continue
		}
		out = c.appendLearned(out, learnedPageKey(n), c.learnedPage(records))
	}
	return out
}

// appendLearned appends the write of a learned row.
func (c *Core) appendLearned(out []plat.Write, key string, row learnedRow) []plat.Write {
	data, err := work.Encode(row)
	if err != nil {
		c.emit(Decision{Kind: "unsaved", Reason: err.Error()})
		return out
	}
	return append(out, plat.Write{Key: key, Value: data})
}

// noteLearned puts the records that have changed since the last call on their pages.
func (c *Core) noteLearned() {
	for _, q := range c.runTimes.Changed() {
		_, ok := c.runTimes.Times(q)
		c.noteRecord(learnedRecord{kind: queueRecord, name: q}, ok)
	}
	pairs, images := c.interference.Changed()
	for _, image := range images {
		_, ok := c.interference.SavedBase(image)
		c.noteRecord(learnedRecord{kind: baseRecord, name: image}, ok)
	}
	for _, p := range pairs {
		_, ok := c.interference.SavedPair(p)
		c.noteRecord(learnedRecord{kind: pairRecord, name: p.Critical, bestEffort: p.BestEffort}, ok)
	}
}

// noteRecord notes that a record has changed or, if it does not exist any more, that it was
// forgotten.
func (c *Core) noteRecord(r learnedRecord, exists bool) {
	if exists && r.size() <= min(maxRecordBytes, c.learned.book.PageBytes) {
		c.learned.book.Put(r, r.size())
	} else {
		c.learned.book.Drop(r)
	}
}

// learnedPage returns the stored form of a page with the given records.
func (c *Core) learnedPage(records []learnedRecord) learnedRow {
	row := learnedRow{Queues: map[string]timing.Times{}, Interference: press.Saved{Bases: map[string]float64{}}}
	for _, r := range records {
		switch r.kind {
		case queueRecord:
			if v, ok := c.runTimes.Times(r.name); ok {
				row.Queues[r.name] = v
			}
		case baseRecord:
			if v, ok := c.interference.SavedBase(r.name); ok {
				row.Interference.Bases[r.name] = v
			}
		case pairRecord:
			if v, ok := c.interference.SavedPair(press.Pair{BestEffort: r.bestEffort, Critical: r.name}); ok {
				row.Interference.Pairs = append(row.Interference.Pairs, v)
			}
		}
	}
	return row
}

// records lists the records of a row in order.
func (r learnedRow) records() []learnedRecord {
	var out []learnedRecord
	for _, q := range sortedKeys(r.Queues) {
		out = append(out, learnedRecord{kind: queueRecord, name: q})
	}
	for _, image := range sortedKeys(r.Interference.Bases) {
		out = append(out, learnedRecord{kind: baseRecord, name: image})
	}
	for _, p := range r.Interference.Pairs {
		out = append(out, learnedRecord{kind: pairRecord, name: p.Serve, bestEffort: p.Fill})
	}
	return out
}

// pageNumber returns the number of the page with the given key, or false if there can be
// no such page.
func pageNumber(key string) (int, bool) {
	name, ok := strings.CutPrefix(key, LearnedKey+"/")
	n, err := strconv.Atoi(name)
	return n, ok && err == nil && n >= 0 && n < maxLearnedPages
}

// restoreLearned loads the rows that an earlier owner stored, by their keys. Rows that can't
// be used are deleted.
func (c *Core) restoreLearned(rows map[string][]byte) {
	c.learned.book.PageBytes = min(learnedPageBytes, c.limits.rowBytes()/2)
	for _, key := range sortedKeys(rows) {
		page, ok := pageNumber(key)
		var row learnedRow
		err := work.Decode(rows[key], &row)
		if err != nil {
			c.emit(Decision{Kind: "forgot", Reason: err.Error()})
		}
		if err != nil || !ok && key != LearnedKey {
			c.obsoleteRows.Add(key)
			continue
		}
		c.restoreRow(row)
		for _, r := range row.records() {
			if ok {
				c.learned.book.Load(page, r, r.size())
			} else {
				// Earlier versions kept all records in one row.
				c.noteRecord(r, true)
			}
		}
	}
	// What was loaded is stored already.
	c.runTimes.Changed()
}

// restoreRow loads what a row holds.
func (c *Core) restoreRow(row learnedRow) {
	for _, q := range sortedKeys(row.Queues) {
		c.runTimes.Set(q, row.Queues[q])
	}
	c.interference.Restore(row.Interference)
	if row.WallClockOffset != 0 {
		c.wallClock.Restore(time.Duration(row.WallClockOffset)*time.Millisecond + c.storeOffset)
	}
}
