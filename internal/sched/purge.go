package sched

import (
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/plat"
)

// Two rows record an ended job: one accepted it, and one holds its progress. The first is
// deleted first. A job with progress and no row of acceptance is over for every owner,
// while one with no progress would be taken for a new job. The record of progress, and the
// job in memory, stay until the owner knows that the row of acceptance is gone.

const (
	// maxPurgeInterval bounds the time between two searches for ended jobs that can be
	// deleted, which is otherwise a part of the retention time.
	maxPurgeInterval   = 5 * time.Second
	purgesPerRetention = 4
	// maxDeletions bounds the deletions in progress. They share the connections to the
	// store with the commits, which must not wait.
	maxDeletions = 4
	// deletionPause is the wait after a deletion that failed.
	deletionPause = time.Second
	// deletedMemory is how long an owner remembers that it has deleted a job. A read of
	// the job table that began before the deletion ends sooner.
	deletedMemory = time.Minute
)

// purger holds the deletions of the rows of ended and rejected jobs.
type purger struct {
	// expired lists the jobs whose rows are to be deleted, and deleting those whose rows
	// are being deleted.
	expired  []string
	deleting map[string]bool
	// deleted holds the jobs whose rows were deleted lately.
	deleted map[string]deletedJob
	// lastSearch is when jobs were last searched for, and pausedUntil the end of the pause
	// after a failure.
	lastSearch, pausedUntil time.Duration
}

// deletedJob is a job whose rows were deleted at a time. Rows of the job with versions up
// to the given one do not exist any more.
type deletedJob struct {
	version uint64
	at      time.Duration
}

// purge deletes the rows of ended and rejected jobs whose retention time has passed.
func (c *Core) purge() {
	interval := min(maxPurgeInterval, c.limits.EndedJobRetention/purgesPerRetention)
	if c.now-c.lastSearch >= interval && len(c.expired)+len(c.deleting) == 0 {
		c.lastSearch = c.now
		c.findExpired()
	}
	c.deleteExpired()
}

// findExpired lists the jobs whose rows are to be deleted.
func (c *Core) findExpired() {
	maps.DeleteFunc(c.deleted, func(_ string, d deletedJob) bool { return c.now-d.at > deletedMemory })
	for id, r := range c.rejected {
		if c.retentionPassed(r.At) {
			c.expired = append(c.expired, id)
		}
	}
	for id, j := range c.jobs {
		if c.purgeable(j) {
			c.expired = append(c.expired, id)
		}
	}
	slices.Sort(c.expired)
}

// deleteExpired deletes the rows of the jobs listed in expired.
func (c *Core) deleteExpired() {
	for len(c.expired) > 0 && len(c.deleting) < maxDeletions && c.now >= c.pausedUntil {
		id := c.expired[0]
		c.expired = c.expired[1:]
		e := DeleteRows{Job: id, Keys: []string{JobKey(id)}}
		if r, ok := c.rejected[id]; ok {
			e.Checks = []plat.Check{{Key: JobKey(id), Version: r.Version}}
		} else if j := c.jobs[id]; j != nil && c.purgeable(j) {
			e = j.deleteRows()
		} else {
			continue
		}
		c.deleting[id] = true
		c.emit(e)
	}
}

// retentionPassed reports whether what ended at a time of the store's clock, in
// milliseconds, need not be kept any longer.
func (c *Core) retentionPassed(at int64) bool {
	return c.storeMillis()-at >= c.limits.EndedJobRetention.Milliseconds()
}

// purgeable reports whether the rows of a job can be deleted. Its end must be stored: the
// row of a job whose stored progress says otherwise is still needed.
func (c *Core) purgeable(j *job) bool {
	return j.endStored && c.retentionPassed(j.endedAt) && j.placements.len() == 0
}

// deleteRows returns the effect that deletes the job's rows in the job table.
func (j *job) deleteRows() DeleteRows {
	e := DeleteRows{Job: j.ID, Keys: []string{JobKey(j.ID)}}
	if j.cancelStored {
		e.Keys = append(e.Keys, CancelKey(j.ID))
	}
	for part := range j.Parts {
		e.Keys = append(e.Keys, PartKey(j.ID, part+1))
	}
	if j.rowVersion > 0 {
		e.Checks = []plat.Check{{Key: JobKey(j.ID), Version: j.rowVersion}}
	}
	return e
}

// handleRowsDeleted forgets a job whose rows in the job table are gone, and deletes the
// record of its progress.
func (c *Core) handleRowsDeleted(e RowsDeleted) {
	delete(c.deleting, e.Job)
	defer c.deleteExpired()
	if r, ok := c.rejected[e.Job]; ok && r.Version <= e.Version {
		delete(c.rejected, e.Job)
	}
	j := c.jobs[e.Job]
	if j == nil || !c.purgeable(j) || j.rowVersion > e.Version {
		return
	}
	delete(c.jobs, j.ID)
	c.advice.DropJob(j.ID)
	c.deleted[j.ID] = deletedJob{version: e.Version, at: c.now}
	for _, key := range j.rows.Keys(j.ID) {
		c.obsoleteRows.Add(key)
	}
}

// handleDeletionFailed makes a deletion that failed wait for the next search.
func (c *Core) handleDeletionFailed(job string) {
	delete(c.deleting, job)
	c.pausedUntil = c.now + deletionPause
}

// isDeleted reports whether a row of a job with the given version, or 0 if that is not
// known, was read before it was deleted.
func (c *Core) isDeleted(id string, version uint64) bool {
	d, ok := c.deleted[id]
	return ok && version <= d.version
}
