// Package states divides the stored progress of a job into rows.
//
// The progress of a job is stored in the table of states. A small job has one row. A job
// with more tasks than a row is meant for has a main row, which says how far the job as a
// whole is, and one page for each tasksPerRow of its tasks, counted over all occurrences.
// Only what has changed is written, so that the cost of a change does not grow with the job.
//
// A row that is larger than the store allows is divided into parts, which are written in one
// transaction. The keys are ID for the main row, ID/PAGE for a page, and either of them with
// +PART for a part after the first.
package states

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const (
	// maxCheckpointShare is the share of a row, as a divisor, above which the name of a
	// checkpoint is not stored: all parts of a page have to fit one transaction. The next
	// owner starts the task from the beginning then.
	maxCheckpointShare = 16
	// guessedTaskBytes is the size of a task's progress before any was stored.
	guessedTaskBytes = 64
)

// Main stands for the main row where pages are numbered.
const Main = -1

// Table is the table of the rows that hold the progress of jobs.
const Table = "state"

// Key returns the key of the main row of a job's progress.
func Key(id string) string { return plat.Key(Table, "", id) }

// rowKey returns the key of a part of a page or of the main row.
func rowKey(id string, page, part int) string {
	key := Key(id)
	if page != Main {
		key += "/" + strconv.Itoa(page)
	}
	if part > 0 {
		key += "+" + strconv.Itoa(part)
	}
	return key
}

// parseKey is the inverse of rowKey. It returns false if a key is not that of a
// row with progress.
func parseKey(key string) (id string, page, part int, ok bool) {
	table, _, name := plat.SplitKey(key)
	name, partText, hasPart := strings.Cut(name, "+")
	id, pageText, hasPage := strings.Cut(name, "/")
	page = Main
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
	return id, page, part, table == Table
}

// Progress is the stored progress of a job.
type Progress struct {
	// State is the content of the main row.
	State work.State
	// Pages holds the tasks on the pages, and Keys the keys of all rows.
	Pages []work.TaskState
	Keys  []string
}

// Read assembles the rows of the table of states, by job. It passes a row that can't
// be used to skip; the progress of its job is not known then.
func Read(rows []plat.Row, skip func(key string, err error)) (found map[string]Progress, unknown []string) {
	found = map[string]Progress{}
	bad := map[string]bool{}
	for _, r := range rows {
		id, page, part, ok := parseKey(r.Key)
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
		case page != Main:
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
	return found, slices.Sorted(maps.Keys(bad))
}

// Rows is what an owner keeps about the rows of a job's progress. New makes one.
type Rows struct {
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
	// rowBytes is the size up to which values are stored in one row.
	rowBytes int
}

// New returns the rows of a job without progress. A page has tasksPerRow tasks, and values up to
// rowBytes are stored in one row.
func New(j *work.Job, tasksPerRow, rowBytes int) Rows {
	r := Rows{tasksPerRow: tasksPerRow, rowBytes: rowBytes, pageBytes: tasksPerRow * guessedTaskBytes}
	for i := range j.Steps {
		r.tasks += j.Steps[i].Count
	}
	r.paged = r.tasks*j.Occurrences() > r.tasksPerRow
	return r
}

// Paged reports whether the tasks are on pages.
func (r *Rows) Paged() bool { return r.paged }

// MaxCheckpoint returns the size above which the name of a checkpoint is not stored.
func (r *Rows) MaxCheckpoint() int { return r.rowBytes / maxCheckpointShare }

// SetPageBytes sets the size of the page that was written last.
func (r *Rows) SetPageBytes(size int) { r.pageBytes = size }

// Load records which rows are stored.
func (r *Rows) Load(p Progress) {
	if len(p.State.Tasks) > 0 {
		// Earlier versions kept all tasks in the main row.
		r.paged = false
	}
	for _, key := range p.Keys {
		if _, page, part, ok := parseKey(key); ok {
			r.SetParts(page, max(r.Parts(page), part+1))
		}
	}
}

// Parts returns the number of stored parts of a page or of the main row.
func (r *Rows) Parts(page int) int {
	if page == Main {
		return r.mainParts
	}
	return r.pageParts[page]
}

// SetParts sets the number of stored parts of a page or of the main row.
func (r *Rows) SetParts(page, parts int) {
	switch {
	case page == Main:
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

// IsDirty reports whether a page or the main row has to be stored.
func (r *Rows) IsDirty(page int) bool {
	if page == Main {
		return r.mainDirty
	}
	return r.dirtyPages[page]
}

// SetDirty sets whether a page or the main row has to be stored.
func (r *Rows) SetDirty(page int, dirty bool) {
	switch {
	case page == Main:
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

// DirtyBytes estimates the size of what has to be stored.
func (r *Rows) DirtyBytes() int { return len(r.dirtyPages) * r.pageBytes }

// onlyMainRow is what has to be stored of a job without pages.
var onlyMainRow = []int{Main}

// Dirty returns what has to be stored, the main row first: it says which occurrences are
// past, and a page does not have their tasks any more. The result must not be changed.
func (r *Rows) Dirty() []int {
	if len(r.dirtyPages) == 0 {
		return onlyMainRow
	}
	out := slices.Sorted(maps.Keys(r.dirtyPages))
	if r.mainDirty {
		out = slices.Insert(out, 0, Main)
	}
	return out
}

// PageOf returns the page with a task, which is given by its occurrence and its index among the
// tasks of that, or Main if the job has no pages.
func (r *Rows) PageOf(occurrence, index int) int {
	if !r.paged {
		return Main
	}
	return (occurrence*r.tasks + index) / r.tasksPerRow
}

// Span returns the first occurrence with tasks on a page and the range of the page's tasks, counted
// from the first task of that occurrence.
func (r *Rows) Span(page int) (occurrence, from, to int) {
	occurrence = page * r.tasksPerRow / r.tasks
	from = page*r.tasksPerRow - occurrence*r.tasks
	return occurrence, from, from + r.tasksPerRow
}

// IsPast reports whether a page has only tasks of the first occurrences, of which past are over.
func (r *Rows) IsPast(page, past int) bool { return (page+1)*r.tasksPerRow <= past*r.tasks }

// Pages returns the numbers of the stored pages in ascending order.
func (r *Rows) Pages() []int { return slices.Sorted(maps.Keys(r.pageParts)) }

// HasPages reports whether any page is stored.
func (r *Rows) HasPages() bool { return len(r.pageParts) > 0 }

// PageKeys returns the keys of the stored parts of a page.
func (r *Rows) PageKeys(id string, page int) []string {
	var out []string
	for part := range r.pageParts[page] {
		out = append(out, rowKey(id, page, part))
	}
	return out
}

// Keys returns the keys of all stored rows of a job's progress.
func (r *Rows) Keys(id string) []string {
	var out []string
	for part := range max(1, r.mainParts) {
		out = append(out, rowKey(id, Main, part))
	}
	for _, page := range r.Pages() {
		out = append(out, r.PageKeys(id, page)...)
	}
	return out
}

// Append appends the writes that store a page or the main row of a job, and those that delete the
// Parts that it has no more. It returns the size of the values.
func (r *Rows) Append(out []plat.Write, id string, page int, st work.State, encode func(work.State) ([]byte, error)) ([]plat.Write, int, error) {
	if page != Main && len(st.Tasks) == 0 {
		out, size := r.appendParts(out, id, page, nil)
		return out, size, nil
	}
	data, err := encode(st)
	var parts [][]byte
	switch {
	case err != nil:
	case len(data) <= r.rowBytes && r.Parts(page) <= 1:
		// Nearly all rows have one part.
		r.SetParts(page, 1)
		return append(out, plat.Write{Key: rowKey(id, page, 0), Value: data}), len(data), nil
	default:
		parts, err = r.encodeParts(st, encode)
	}
	if err != nil {
		return out, 0, err
	}
	out, size := r.appendParts(out, id, page, parts)
	return out, size, nil
}

// appendParts appends the writes of the parts of a row, and those that delete the parts that
// it has no more.
func (r *Rows) appendParts(out []plat.Write, id string, page int, parts [][]byte) ([]plat.Write, int) {
	size := 0
	for part := range max(len(parts), r.Parts(page)) {
		w := plat.Write{Key: rowKey(id, page, part)}
		if part < len(parts) {
			w.Value = parts[part]
			size += len(w.Value)
		}
		out = append(out, w)
	}
	r.SetParts(page, len(parts))
	return out, size
}

// encodeParts returns the stored form of a state, in parts that fit a row.
func (r *Rows) encodeParts(st work.State, encode func(work.State) ([]byte, error)) ([][]byte, error) {
	data, err := encode(st)
	n := len(st.Tasks)
	if err != nil || len(data) <= r.rowBytes || n < 2 {
		return [][]byte{data}, err
	}
	rest := work.State{Tasks: st.Tasks[n/2:]}
	st.Tasks = st.Tasks[:n/2]
	first, err := r.encodeParts(st, encode)
	if err != nil {
		return nil, err
	}
	second, err := r.encodeParts(rest, encode)
	return append(first, second...), err
}
