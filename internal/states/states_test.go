package states

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const id = "00000000000000a1"

// newRows returns the rows of a job of two steps of 3 and 4 tasks that occurs several times.
func newRows(times, tasksPerRow, rowBytes int) Rows {
	return New(&work.Job{ID: id, Times: times, Steps: []work.Step{{Count: 3}, {Count: 4}}}, tasksPerRow, rowBytes)
}

// progress returns a state with some tasks.
func progress(tasks int) work.State {
	var st work.State
	for i := range tasks {
		st.Tasks = append(st.Tasks, work.TaskState{Index: i, Run: 1, Saved: fmt.Sprintf("checkpoint-%030d", i)})
	}
	return st
}

func encode(st work.State) ([]byte, error) { return work.Encode(st) }

// write applies writes to the stored rows.
func write(stored map[string][]byte, writes []plat.Write) {
	for _, w := range writes {
		if stored[w.Key] = w.Value; w.Value == nil {
			delete(stored, w.Key)
		}
	}
}

// read reads the stored rows of the job.
func read(g *WithT, stored map[string][]byte) Progress {
	var rows []plat.Row
	for k, v := range stored {
		rows = append(rows, plat.Row{Key: k, Value: v})
	}
	found, unknown := Read(rows, func(key string, err error) { g.Expect(err).NotTo(HaveOccurred(), key) })
	g.Expect(unknown).To(BeEmpty())
	return found[id]
}

// TestEachTaskIsOnOnePage guards against tasks that are on no page or on another one than that which is
// written for them.
func TestEachTaskIsOnOnePage(t *testing.T) {
	for _, perRow := range []int{1, 2, 3, 7, 10, 20} {
		g := NewWithT(t)
		r := newRows(5, perRow, 1000)
		g.Expect(r.Paged()).To(BeTrue())
		for k := range 5 {
			for i := range 7 {
				page := r.PageOf(k, i)
				first, from, to := r.Span(page)
				n := (k-first)*7 + i
				g.Expect(n >= from && n < to).To(BeTrue(), "task %d of occurrence %d, %d tasks in a row", i, k, perRow)
				g.Expect(r.IsPast(page, k)).To(BeFalse())
			}
			g.Expect(r.IsPast(r.PageOf(k, 0)-1, k)).To(BeTrue())
		}
	}
	r := newRows(1, 7, 1000)
	if r.Paged() || r.PageOf(0, 5) != Main {
		t.Error("a small job has pages")
	}
}

// TestRowsAreReadAsWritten guards against parts that are lost, that stay in the store when a row has
// become smaller, or that the next owner does not know of and so never deletes.
func TestRowsAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	const limit = 300
	r, stored := newRows(5, 7, limit), map[string][]byte{}
	for _, tasks := range []int{2, 40, 9, 1, 25} {
		for _, page := range []int{Main, 3} {
			writes, size, err := r.Append(nil, id, page, progress(tasks), encode)
			g.Expect(err).NotTo(HaveOccurred())
			sum := 0
			for _, w := range writes {
				g.Expect(len(w.Value)).To(BeNumerically("<=", limit))
				sum += len(w.Value)
			}
			g.Expect(size).To(Equal(sum))
			write(stored, writes)
		}
		p := read(g, stored)
		g.Expect(p.Pages).To(ConsistOf(progress(tasks).Tasks))
		g.Expect(p.State.Tasks).To(ConsistOf(progress(tasks).Tasks))
		g.Expect(p.Keys).To(ConsistOf(r.Keys(id)))
		next := newRows(5, 7, limit)
		next.Load(p)
		g.Expect(next.Keys(id)).To(Equal(r.Keys(id)))
		g.Expect(next.Pages()).To(Equal([]int{3}))
	}
	writes, size, err := r.Append(nil, id, 3, work.State{}, encode)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size).To(BeZero())
	write(stored, writes)
	g.Expect(read(g, stored).Pages).To(BeEmpty())
	g.Expect(r.HasPages()).To(BeFalse())
}

// TestDirtyRowsAreNamedMainRowFirst guards against pages that are stored before the main row, which says
// which occurrences are past.
func TestDirtyRowsAreNamedMainRowFirst(t *testing.T) {
	g := NewWithT(t)
	r := newRows(5, 7, 1000)
	r.SetDirty(4, true)
	r.SetDirty(2, true)
	g.Expect(r.Dirty()).To(Equal([]int{2, 4}))
	r.SetDirty(Main, true)
	g.Expect(r.Dirty()).To(Equal([]int{Main, 2, 4}))
	r.SetPageBytes(100)
	g.Expect(r.DirtyBytes()).To(Equal(200))
	r.SetDirty(2, false)
	r.SetDirty(4, false)
	g.Expect(r.Dirty()).To(Equal([]int{Main}))
	g.Expect(r.IsDirty(2)).To(BeFalse())
	g.Expect(r.IsDirty(Main)).To(BeTrue())
}

// TestOddRowsAreSkipped guards against a row of another form that is taken for progress, and against
// a job that runs although a row of its progress can't be read.
func TestOddRowsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	good, err := encode(progress(1))
	g.Expect(err).NotTo(HaveOccurred())
	var skipped []string
	found, unknown := Read([]plat.Row{
		{Key: Key(id), Value: good}, {Key: Key(id) + "/2", Value: []byte{0xff}},
		{Key: Key("b"), Value: good}, {Key: Key("c") + "/x", Value: good}, {Key: Key("c") + "/-1", Value: good},
		{Key: Key("c") + "+0", Value: good}, {Key: plat.Key("jobs", "", "d"), Value: good},
	}, func(key string, _ error) { skipped = append(skipped, key) })
	g.Expect(unknown).To(Equal([]string{id}))
	g.Expect(found).To(HaveLen(1))
	g.Expect(found).To(HaveKey("b"))
	g.Expect(skipped).To(HaveLen(5))
}
