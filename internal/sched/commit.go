package sched

import (
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// markDirty queues a job whose state has to be stored.
func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
		c.dirtyAdded++
	}
}

// storedCallback waits until the jobs are stored that were dirty when it was registered.
type storedCallback struct {
	// after is dirtyAdded at that time.
	after uint64
	call  func()
}

// afterStored calls f once all changes made so far are stored.
func (c *Core) afterStored(f func()) {
	switch {
	case len(c.dirtyJobs) > 0:
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

// commitDirty starts a transaction with the changed rows unless one is in flight.
// Changes that do not fit are committed in several transactions; each callback runs after
// the one that stores the last of the changes that it waits for.
func (c *Core) commitDirty() {
	if c.commitInflight || len(c.dirtyJobs) == 0 && c.obsoleteRows.len() == 0 {
		return
	}
	var w []plat.Write
	size := 0
	n := 0
	maxSize := bytesPerCommit
	if c.limits.SlowLink {
		maxSize = bytesPerSlowCommit
	}
	for n < len(c.dirtyJobs) && len(w) < rowsPerCommit && size < maxSize {
		j := c.dirtyJobs[n]
		n++
		j.dirty = false
		if c.jobs[j.ID] != j {
			// The rows of the job were deleted in the meantime.
			continue
		}
		data, err := c.encodeState(j.state())
		if err != nil {
			c.emit(Decision{Kind: "unsaved", Job: j.ID, Reason: err.Error()})
			continue
		}
		size += len(data)
		c.obsoleteRows.remove(StateKey(j.ID))
		w = append(w, plat.Write{Key: StateKey(j.ID), Value: data})
	}
	c.dirtyJobs = append(c.dirtyJobs[:0], c.dirtyJobs[n:]...)
	c.dirtyTaken += uint64(n)
	for _, k := range c.obsoleteRows.take(max(0, rowsPerCommit-len(w))) {
		w = append(w, plat.Write{Key: k})
	}
	w = append(w, c.saveLearned()...)
	c.commitSeq++
	c.commitInflight = true
	for len(c.onDirtyStored) > 0 && c.onDirtyStored[0].after <= c.dirtyTaken {
		c.onInflightStored = append(c.onInflightStored, c.onDirtyStored[0].call)
		c.onDirtyStored = c.onDirtyStored[1:]
	}
	c.emit(Commit{Seq: c.commitSeq, Writes: w})
}

// handleCommitted ends the transaction in flight and runs its callbacks.
func (c *Core) handleCommitted(seq uint64) {
	if !c.commitInflight || seq != c.commitSeq {
		return
	}
	c.commitInflight = false
	callbacks := c.onInflightStored
	c.onInflightStored = nil
	for _, f := range callbacks {
		f()
	}
}
