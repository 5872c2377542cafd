package sched

import (
	"lagoonrack/internal/plat"
	"lagoonrack/internal/states"
	"lagoonrack/internal/work"
)

// This file stores the progress of jobs, in the rows of package states.

const (
	// defaultTasksPerRow is the number of tasks of a page if the limits name none.
	defaultTasksPerRow = 128
	// defaultRowBytes is the size of a value that the store takes if the limits name none.
	defaultRowBytes = 64 << 10
	// rowReserve divides the size that the store takes: values are kept well below it.
	rowReserve = 2
	// mainRow stands for the main row where pages are numbered.
	mainRow = states.Main
)

// StateTable is the table of the rows that hold the progress of jobs.
const StateTable = states.Table

// Progress is the stored progress of a job.
type Progress = states.Progress

// StateKey returns the key of the main row of a job's progress.
func StateKey(id string) string { return states.Key(id) }

// ReadProgress assembles the rows of the table of states, by job. It passes a row that can't
// be used to skip; the progress of its job is not known then.
func ReadProgress(rows []plat.Row, skip func(key string, err error)) (found map[string]Progress, unknown []string) {
	return states.Read(rows, skip)
}

// rowOf returns the page with a task, or mainRow if the job has no pages.
func (j *job) rowOf(t *task) int {
	n := t.index
	for i := range t.step.index {
		n += j.Steps[i].Count
	}
	return j.rows.PageOf(t.step.occurrenceNumber, n)
}

// rowState returns the content of a page or of the main row.
func (j *job) rowState(page int) work.State {
	if page != mainRow {
		return work.State{Tasks: j.pageTasks(page)}
	}
	st := work.State{Failed: j.failed, Ended: j.endedAt, Past: j.past, Complete: j.complete, Started: j.started}
	if j.rows.Paged() {
		return st
	}
	for _, o := range j.openOccurrences {
		for _, s := range o.steps {
			st.Tasks = appendTaskStates(st.Tasks, s.tasks)
		}
	}
	return st
}

// pageTasks returns the stored form of the tasks on a page.
func (j *job) pageTasks(page int) []work.TaskState {
	var out []work.TaskState
	// from and to are counted from the first task of occurrence k.
	k, from, to := j.rows.Span(page)
	for ; to > 0 && k-j.past < len(j.openOccurrences); k++ {
		n := 0
		for i := range j.Steps {
			count := j.Steps[i].Count
			if first, end := max(0, from-n), min(count, to-n); first < end && k >= j.past {
				out = appendTaskStates(out, j.openOccurrences[k-j.past].steps[i].tasks[first:end])
			}
			n += count
		}
		from, to = from-n, to-n
	}
	return out
}

// appendTaskStates appends the stored form of the tasks that have made progress.
func appendTaskStates(out []work.TaskState, tasks []*task) []work.TaskState {
	for _, t := range tasks {
		if t.lastRun > 0 || t.done {
			out = append(out, t.state())
		}
	}
	return out
}

// isPast reports whether a page has only tasks of past occurrences.
func (j *job) isPast(page int) bool {
	return j.past >= j.Occurrences() || j.rows.IsPast(page, j.past)
}

// dropPastPages deletes the pages that have only tasks of past occurrences, once it is stored
// that these are past.
func (c *Core) dropPastPages(j *job) {
	if !j.rows.Paged() || !j.rows.HasPages() {
		return
	}
	c.afterStored(func() {
		for _, page := range j.rows.Pages() {
			if !j.isPast(page) {
				continue
			}
			for _, key := range j.rows.PageKeys(j.ID, page) {
				c.obsoleteRows.Add(key)
			}
			j.rows.SetParts(page, 0)
		}
	})
}

// rowBytes returns the size up to which values are stored in one row.
func (l Limits) rowBytes() int { return l.RowBytes / rowReserve }

// appendRow appends the writes that store a page or the main row of a job, and returns the
// size of their values.
func (c *Core) appendRow(out []plat.Write, j *job, page int) ([]plat.Write, int) {
	n := len(out)
	out, size, err := j.rows.Append(out, j.ID, page, j.rowState(page), c.encodeState)
	if err != nil {
		c.emit(Decision{Kind: "unsaved", Job: j.ID, Reason: err.Error()})
	}
	for _, w := range out[n:] {
		c.obsoleteRows.Remove(w.Key)
	}
	return out, size
}
