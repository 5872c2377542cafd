package leader

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/work"
)

// A job that is larger than a row is stored in parts. An owner that reads its row without a
// part would drop an accepted job.
func TestJobsInPartsAreReadWhole(t *testing.T) {
	const id = "00000000000000a1"
	job := work.Job{ID: id, Queue: "q", Service: "s", Spec: strings.Repeat("x", 4000)}
	for range 1000 {
		job.Steps = append(job.Steps, work.Step{Count: 1, Image: strings.Repeat("i", 100)})
	}
	g := NewWithT(t)
	job, writes, err := sched.EncodeJob(job, sched.Limits{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.Parts).To(BeNumerically(">", 2))
	for _, w := range writes {
		g.Expect(len(w.Value)).To(BeNumerically("<=", 64<<10))
	}
	store := &rows.Store{}
	_, err = store.Rows().Commit(context.Background(), plat.Txn{Writes: writes})
	g.Expect(err).NotTo(HaveOccurred())

	t.Run("when an owner loads the state", func(t *testing.T) {
		g := NewWithT(t)
		found, _, err := loadState(context.Background(), store.Rows(), func(key string, err error) { t.Error(key, err) })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Jobs).To(Equal([]work.Job{job}))
	})
	t.Run("when the feed names the job and the store fails once", func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		failed := false
		source := store.Rows()
		reads := plat.Rows{
			Read: func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
				if !failed {
					failed = true
					return plat.Row{}, plat.Stamp{}, plat.ErrUnavailable
				}
				return source.Read(ctx, key)
			},
		}
		l := &Leader{Name: "entry", Clock: clock.New(), Tally: &tally.Set{}, Rows: reads}
		tm := newTerm(ctx, 1, sched.New(sched.Limits{}, 1, 0, 0, sched.StoredRows{}, nil))
		row := store.Row(sched.JobKey(id))
		g.Expect(l.handleJobRow(tm, row)).NotTo(Succeed(), "the row has to be read again")
		g.Expect(l.handleJobRow(tm, row)).To(Succeed())
		events := tm.take(0)
		g.Expect(events).To(Equal([]sched.Event{sched.Submit{Job: job, Version: row.Version}}))
	})
	t.Run("and deleted with the job", func(t *testing.T) {
		g := NewWithT(t)
		found, _, err := loadState(context.Background(), store.Rows(), func(string, error) {})
		g.Expect(err).NotTo(HaveOccurred())
		done := work.State{Complete: true, Ended: 1, Past: 1}
		found.Progress[id] = sched.Progress{State: done}
		core := sched.New(sched.Limits{}, 1, 0, 0, found, nil)
		var deleted []string
		for _, f := range core.Step(200e9, sched.Tick{}) {
			if d, ok := f.(sched.DeleteRows); ok {
				deleted = d.Keys
			}
		}
		var written []string
		for _, w := range writes {
			written = append(written, w.Key)
		}
		g.Expect(deleted).To(ConsistOf(written))
	})
}
