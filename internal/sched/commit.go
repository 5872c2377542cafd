package sched

import (
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// dirtyRow names a row of progress that has to be stored.
type dirtyRow struct {
	job *job
	// page is the number of a page, or mainRow.
	page int
}

// markDirty queues a page or the main row of a job's progress to be stored.
func (c *Core) markDirty(j *job, page int) {
	if !j.rows.IsDirty(page) {
		j.rows.SetDirty(page, true)
		c.dirtyRows = append(c.dirtyRows, dirtyRow{j, page})
		c.dirtyAdded++
	}
}

// storedCallback waits until the rows are stored that were dirty when it was registered.
type storedCallback struct {
	// after is dirtyAdded at that time.
	after uint64
	call  func()
}

// afterStored calls f once all changes made so far are stored.
func (c *Core) afterStored(f func()) {
	switch {
	case len(c.dirtyRows) > 0:
		c.onDirtyStored = append(c.onDirtyStored, storedCallback{after: c.dirtyAdded, call: f})
	case c.commitInflight:
		c.onInflightStored = append(c.onInflightStored, f)
	default:
		f()
	}
}

// rowsPerCommit keeps the rows of one transaction below the platform's limit and
// leaves some for the checks and for what was learned.
const rowsPerCommit = 90

// maxTxnEntries is the number of checks and writes that the platform allows in a transaction.
const maxTxnEntries = 100

// bytesPerCommit bounds the size of one transaction, and bytesPerSlowCommit the same over
// a slow link, where it takes a tenth of a second.
const (
	bytesPerCommit     = 600 << 10
	bytesPerSlowCommit = 16 << 10
)

// encodeState returns the stored form of a job's progress.
func (c *Core) encodeState(s work.State) ([]byte, error) {
	if c.limits.SlowLink {
		return c.packer.Encode(s)
	}
	return work.Encode(s)
}

// transaction collects the writes of a commit.
type transaction struct {
	writes []plat.Write
	// size is the size of the values, and maxSize its bound.
	size, maxSize int
}

// hasRoom reports whether the transaction has room for further rows with values of about the
// given size. An empty one has room for every single row.
func (t *transaction) hasRoom(rows, size int) bool {
	return len(t.writes) == 0 || len(t.writes)+rows <= rowsPerCommit && t.size+size <= t.maxSize
}

// commitDirty starts a transaction with the changed rows unless one is in flight.
// Changes that do not fit are committed in several transactions; each callback runs after
// the one that stores the last of the changes that it waits for.
func (c *Core) commitDirty() {
	if c.commitInflight || len(c.dirtyRows) == 0 && c.obsoleteRows.Len() == 0 {
		return
	}
	t := transaction{maxSize: bytesPerCommit}
	if c.limits.SlowLink {
		t.maxSize = bytesPerSlowCommit
	}
	c.takeDirty(&t)
	for _, k := range c.obsoleteRows.Take(max(0, rowsPerCommit-len(t.writes))) {
		t.writes = append(t.writes, plat.Write{Key: k})
	}
	t.writes = append(t.writes, c.saveLearned()...)
	c.commitSeq++
	c.commitInflight, c.commitIssuedAt = true, c.now
	for len(c.onDirtyStored) > 0 && c.onDirtyStored[0].after <= c.dirtyTaken {
		c.onInflightStored = append(c.onInflightStored, c.onDirtyStored[0].call)
		c.onDirtyStored = c.onDirtyStored[1:]
	}
	c.emit(Commit{Seq: c.commitSeq, Writes: t.writes})
}

// takeDirty moves changed rows to a transaction, the oldest change first. The rows of one job
// are taken together if they fit, so that the members of a gang start together. A job that
// does not fit one transaction takes turns with the others.
func (c *Core) takeDirty(t *transaction) {
	inTurns := false
	taken := 0
	defer func() {
		c.dirtyRows = append(c.dirtyRows[:0], c.dirtyRows[taken:]...)
		c.dirtyTaken += uint64(taken)
	}()
	for _, r := range c.dirtyRows {
		j := r.job
		if !j.rows.IsDirty(r.page) || c.jobs[j.ID] != j {
			// The row was stored before its turn, or the job's rows were deleted.
			taken++
			continue
		}
		rows := j.rows.Dirty()
		if !inTurns && !t.hasRoom(len(rows), j.rows.DirtyBytes()) {
			return
		}
		if inTurns = inTurns || len(rows) > rowsPerCommit || j.rows.DirtyBytes() > t.maxSize; inTurns {
			rows = []int{r.page}
			if j.rows.IsDirty(mainRow) && r.page != mainRow {
				rows = []int{mainRow, r.page}
			}
		}
		for _, page := range rows {
			if !c.takeRow(t, j, page) {
				return
			}
		}
		taken++
	}
}

// takeRow moves a page or the main row of a job to a transaction, or returns false if there
// is no room for it.
func (c *Core) takeRow(t *transaction, j *job, page int) bool {
	if !t.hasRoom(1, 0) {
		return false
	}
	parts, n := j.rows.Parts(page), len(t.writes)
	writes, size := c.appendRow(t.writes, j, page)
	if !t.hasRoom(len(writes)-n, size) {
		// The row is encoded again for the next transaction.
		j.rows.SetParts(page, parts)
		return false
	}
	j.rows.SetDirty(page, false)
	if page != mainRow {
		j.rows.SetPageBytes(size)
	}
	t.writes = writes
	t.size += size
	return true
}

// handleCommitted ends the transaction in flight and runs its callbacks.
func (c *Core) handleCommitted(seq uint64) {
	if !c.commitInflight || seq != c.commitSeq {
		return
	}
	c.commitInflight = false
	c.confirmedAt = max(c.confirmedAt, c.commitIssuedAt)
	callbacks := c.onInflightStored
	c.onInflightStored = nil
	for _, f := range callbacks {
		f()
	}
}
