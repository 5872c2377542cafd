package sched

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// The progress of a job is stored in the table of states. A small job has one row. A job
// with more tasks than a row is meant for has a main row, which says how far the job as a
// whole is, and one page for each tasksPerRow of its tasks, counted over all occurrences.
// Only what has changed is written, so that the cost of a change does not grow with the job.
//
// A row that is larger than the store allows is divided into parts, which are written in one
// transaction. The keys are ID for the main row, ID/PAGE for a page, and either of them with
// +PART for a part after the first.

const (
	// defaultTasksPerRow is the number of tasks of a page if the limits name none.
	defaultTasksPerRow = 128
	// defaultRowBytes is the size of a value that the store takes if the limits name none.
	defaultRowBytes = 64 << 10
	// rowReserve divides the size that the store takes: values are kept well below it.
	rowReserve = 2
	// maxCheckpointShare is the share of a row, as a divisor, above which the name of a
	// checkpoint is not stored: all parts of a page have to fit one transaction. The next
	// owner starts the task from the beginning then.
	maxCheckpointShare = 16
	// guessedTaskBytes is the size of a task's progress before any was stored.
	guessedTaskBytes = 64
	// mainRow stands for the main row where pages are numbered.
	mainRow = -1
)

// StateTable is the table of the rows that hold the progress of jobs.
const StateTable = "state"

// StateKey returns the key of the main row of a job's progress.
func StateKey(id string) string { return plat.Key(StateTable, "", id) }

// stateRowKey returns the key of a part of a page or of the main row.
func stateRowKey(id string, page, part int) string {
	key := StateKey(id)
	if page != mainRow {
		key += "/" + strconv.Itoa(page)
	}
	if part > 0 {
		key += "+" + strconv.Itoa(part)
	}
	return key
}

// parseStateKey is the inverse of stateRowKey. It returns false if a key is not that of a
// row with progress.
func parseStateKey(key string) (id string, page, part int, ok bool) {
	table, _, name := plat.SplitKey(key)
	name, partText, hasPart := strings.Cut(name, "+")
	id, pageText, hasPage := strings.Cut(name, "/")
	page = mainRow
	var err error
	if hasPage {
		if page, err = strconv.Atoi(pageText); err != nil || page < 0 {
			return "", 0, 0, false
		}
	}
	if hasPart {
		if part, err = strconv.Atoi(partText); err != nil || part < 1 {
			return "", 0, 0, false
		}
	}
	return id, page, part, table == StateTable
}

// Progress is the stored progress of a job.
type Progress struct {
	// State is the content of the main row.
	State work.State
	// Pages holds the tasks on the pages, and Keys the keys of all rows.
	Pages []work.TaskState
	Keys  []string
}

// ReadProgress assembles the rows of the table of states, by job. It passes a row that can't
// be used to skip; the progress of its job is not known then.
func ReadProgress(rows []plat.Row, skip func(key string, err error)) (found map[string]Progress, unknown []string) {
	found = map[string]Progress{}
	bad := map[string]bool{}
	for _, r := range rows {
		id, page, part, ok := parseStateKey(r.Key)
		if !ok {
			skip(r.Key, fmt.Errorf("the key is not that of a job's progress"))
			continue
		}
		st, err := work.DecodeState(r.Value)
		if err != nil {
			skip(r.Key, err)
			bad[id] = true
			continue
		}
		p := found[id]
		p.Keys = append(p.Keys, r.Key)
		switch {
		case page != mainRow:
			p.Pages = append(p.Pages, st.Tasks...)
		case part > 0:
			p.State.Tasks = append(p.State.Tasks, st.Tasks...)
		default:
			st.Tasks = append(st.Tasks, p.State.Tasks...)
			p.State = st
		}
		found[id] = p
	}
	for id := range bad {
		delete(found, id)
	}
	return found, sortedKeys(bad)
}

// progressRows is what a job keeps about the rows of its progress.
type progressRows struct {
	// paged says that the tasks are on pages, and tasksPerRow is how many a page has.
	paged       bool
	tasksPerRow int
	// tasks is the number of tasks of an occurrence.
	tasks int
	// mainDirty says that the main row has to be stored, and dirtyPages holds the pages
	// that have to be.
	mainDirty  bool
	dirtyPages map[int]bool
	// mainParts is the number of stored parts of the main row, and pageParts that of each
	// page.
	mainParts int
	pageParts map[int]int
	// pageBytes is the size of the page that was written last.
	pageBytes int
	// maxCheckpoint is the size above which the name of a checkpoint is not stored.
	maxCheckpoint int
}

// newProgressRows returns the rows of a job without progress.
func newProgressRows(j *work.Job, l Limits) progressRows {
	r := progressRows{tasksPerRow: l.TasksPerRow, pageBytes: l.TasksPerRow * guessedTaskBytes, maxCheckpoint: l.rowBytes() / maxCheckpointShare}
	for i := range j.Steps {
		r.tasks += j.Steps[i].Count
	}
	r.paged = r.tasks*j.Occurrences() > r.tasksPerRow
	return r
}

// load records which rows are stored.
func (r *progressRows) load(p Progress) {
	if len(p.State.Tasks) > 0 {
		// Earlier versions kept all tasks in the main row.
		r.paged = false
	}
	for _, key := range p.Keys {
		if _, page, part, ok := parseStateKey(key); ok {
			r.setParts(page, max(r.parts(page), part+1))
		}
	}
}

// parts returns the number of stored parts of a page or of the main row.
func (r *progressRows) parts(page int) int {
	if page == mainRow {
		return r.mainParts
	}
	return r.pageParts[page]
}

// setParts sets the number of stored parts of a page or of the main row.
func (r *progressRows) setParts(page, parts int) {
	switch {
	case page == mainRow:
		r.mainParts = parts
	case parts == 0:
		delete(r.pageParts, page)
	default:
		if r.pageParts == nil {
			r.pageParts = map[int]int{}
		}
		r.pageParts[page] = parts
	}
}

// isDirty reports whether a page or the main row has to be stored.
func (r *progressRows) isDirty(page int) bool {
	if page == mainRow {
		return r.mainDirty
	}
	return r.dirtyPages[page]
}

// setDirty sets whether a page or the main row has to be stored.
func (r *progressRows) setDirty(page int, dirty bool) {
	switch {
	case page == mainRow:
		r.mainDirty = dirty
	case !dirty:
		delete(r.dirtyPages, page)
	default:
		if r.dirtyPages == nil {
			r.dirtyPages = map[int]bool{}
		}
		r.dirtyPages[page] = true
	}
}

// dirtyBytes estimates the size of what has to be stored.
func (r *progressRows) dirtyBytes() int { return len(r.dirtyPages) * r.pageBytes }

// onlyMainRow is what has to be stored of a job without pages.
var onlyMainRow = []int{mainRow}

// dirtyRows returns what has to be stored, the main row first: it says which occurrences are
// past, and a page does not have their tasks any more. The result must not be changed.
func (r *progressRows) dirtyRows() []int {
	if len(r.dirtyPages) == 0 {
		return onlyMainRow
	}
	out := sortedKeys(r.dirtyPages)
	if r.mainDirty {
		out = slices.Insert(out, 0, mainRow)
	}
	return out
}

// rowOf returns the page with a task, or mainRow if the job has no pages.
func (j *job) rowOf(t *task) int {
	if !j.paged {
		return mainRow
	}
	n := t.step.occurrenceNumber*j.tasks + t.index
	for i := range t.step.index {
		n += j.Steps[i].Count
	}
	return n / j.tasksPerRow
}

// rowState returns the content of a page or of the main row.
func (j *job) rowState(page int) work.State {
	if page != mainRow {
		return work.State{Tasks: j.pageTasks(page)}
	}
	st := work.State{Failed: j.failed, Ended: j.endedAt, Past: j.past, Complete: j.complete}
	if j.paged {
		st.Started = j.everStarted
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
	first, end := page*j.tasksPerRow, (page+1)*j.tasksPerRow
	for k := max(j.past, first/j.tasks); k*j.tasks < end && k-j.past < len(j.openOccurrences); k++ {
		n := k * j.tasks
		for _, s := range j.openOccurrences[k-j.past].steps {
			from, to := max(0, first-n), min(len(s.tasks), end-n)
			if from < to {
				out = appendTaskStates(out, s.tasks[from:to])
			}
			n += len(s.tasks)
		}
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
	return j.past >= j.Occurrences() || (page+1)*j.tasksPerRow <= j.past*j.tasks
}

// stateKeys returns the keys of all stored rows of the job's progress.
func (j *job) stateKeys() []string {
	var out []string
	for part := range max(1, j.mainParts) {
		out = append(out, stateRowKey(j.ID, mainRow, part))
	}
	for _, page := range sortedKeys(j.pageParts) {
		for part := range j.pageParts[page] {
			out = append(out, stateRowKey(j.ID, page, part))
		}
	}
	return out
}

// dropPastPages deletes the pages that have only tasks of past occurrences, once it is stored
// that these are past.
func (c *Core) dropPastPages(j *job) {
	if !j.paged || len(j.pageParts) == 0 {
		return
	}
	c.afterStored(func() {
		for _, page := range sortedKeys(j.pageParts) {
			if !j.isPast(page) {
				continue
			}
			for part := range j.pageParts[page] {
				c.obsoleteRows.Add(stateRowKey(j.ID, page, part))
			}
			j.setParts(page, 0)
		}
	})
}

// rowBytes returns the size up to which values are stored in one row.
func (l Limits) rowBytes() int { return l.RowBytes / rowReserve }

// appendRow appends the writes that store a page or the main row of a job, and returns the
// size of their values.
func (c *Core) appendRow(out []plat.Write, j *job, page int) ([]plat.Write, int) {
	st := j.rowState(page)
	if page != mainRow && len(st.Tasks) == 0 {
		return c.appendParts(out, j, page, nil)
	}
	data, err := c.encodeState(st)
	var parts [][]byte
	switch {
	case err != nil:
	case len(data) <= c.limits.rowBytes() && j.parts(page) <= 1:
		// Nearly all rows have one part.
		j.setParts(page, 1)
		key := stateRowKey(j.ID, page, 0)
		c.obsoleteRows.Remove(key)
		return append(out, plat.Write{Key: key, Value: data}), len(data)
	default:
		parts, err = c.encodeParts(st)
	}
	if err != nil {
		c.emit(Decision{Kind: "unsaved", Job: j.ID, Reason: err.Error()})
		return out, 0
	}
	return c.appendParts(out, j, page, parts)
}

// appendParts appends the writes of the parts of a row, and those that delete the parts that
// it has no more.
func (c *Core) appendParts(out []plat.Write, j *job, page int, parts [][]byte) ([]plat.Write, int) {
	size := 0
	for part := range max(len(parts), j.parts(page)) {
		w := plat.Write{Key: stateRowKey(j.ID, page, part)}
		if part < len(parts) {
			w.Value = parts[part]
			size += len(w.Value)
		}
		c.obsoleteRows.Remove(w.Key)
		out = append(out, w)
	}
	j.setParts(page, len(parts))
	return out, size
}

// encodeParts returns the stored form of a state, in parts that fit a row.
func (c *Core) encodeParts(st work.State) ([][]byte, error) {
	data, err := c.encodeState(st)
	n := len(st.Tasks)
	if err != nil || len(data) <= c.limits.rowBytes() || n < 2 {
		return [][]byte{data}, err
	}
	rest := work.State{Tasks: st.Tasks[n/2:]}
	st.Tasks = st.Tasks[:n/2]
	first, err := c.encodeParts(st)
	if err != nil {
		return nil, err
	}
	second, err := c.encodeParts(rest)
	return append(first, second...), err
}
