package sched

import (
	"strings"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/saved"
)

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
)

// learned stores what the owner has learned.
type learned struct {
	saved.Estimates
	// lastSave is when pages were last written.
	lastSave time.Duration
}

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
	pages := learnedPagesPerSave
	if c.limits.SlowLink {
		pages = 1
	}
	out, errs := c.learned.Save(c.storeOffset, pages)
	for _, err := range errs {
		c.emit(Decision{Kind: "unsaved", Reason: err.Error()})
	}
	return out
}

// restoreLearned loads the rows that an earlier owner stored, by their keys. Rows that can't
// be used are deleted.
func (c *Core) restoreLearned(rows map[string][]byte) {
	c.learned.Estimates = saved.Estimates{
		Key: LearnedKey, PageBytes: min(learnedPageBytes, c.limits.rowBytes()/2),
		RunTimes: &c.runTimes, Interference: &c.interference, Clock: &c.wallClock,
	}
	unusable, errs := c.learned.Restore(rows, c.storeOffset)
	for _, key := range unusable {
		c.obsoleteRows.Add(key)
	}
	for _, err := range errs {
		c.emit(Decision{Kind: "forgot", Reason: err.Error()})
	}
}
