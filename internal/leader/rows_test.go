package leader

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// nested is CBOR of 100,000 arrays within one another.
var nested = []byte(strings.Repeat("\x81", 100_000) + "\x00")

// encoded returns the stored form of a job with one step.
func encoded(t *testing.T, id string, s work.Step) []byte {
	data, err := work.Encode(work.Job{ID: id, Queue: "q", Steps: []work.Step{s}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

// TestOddRowsDoNotKeepTheCellWithoutOwner guards against one row, left by another writer,
// that ends each claim of the cell while its state is loaded, or that takes all memory of
// the owner. The rows beside it hold.
func TestOddRowsDoNotKeepTheCellWithoutOwner(t *testing.T) {
	const good = "00000000000000a1"
	sound := work.Step{Count: 2, Size: vect.Size{Cores: 500}}
	for name, odd := range map[string]plat.Write{
		"not CBOR":             {Key: sched.JobKey("00000000000000b1"), Value: []byte("\xff\xff")},
		"very deeply nested":   {Key: sched.JobKey("00000000000000b1"), Value: nested},
		"a job under no key":   {Key: sched.JobKey("00000000000000b1"), Value: encoded(t, good, sound)},
		"too many tasks":       {Key: sched.JobKey("00000000000000b1"), Value: encoded(t, "00000000000000b1", work.Step{Count: 1 << 40})},
		"a size that is huge":  {Key: sched.JobKey("00000000000000b1"), Value: encoded(t, "00000000000000b1", work.Step{Count: 1, Size: vect.Size{Cores: 1 << 62}})},
		"a step before itself": {Key: sched.JobKey("00000000000000b1"), Value: encoded(t, "00000000000000b1", work.Step{Count: 1, After: []int{7}})},
		"an empty row":         {Key: sched.JobKey("00000000000000b1"), Value: []byte{}},
		"state that is nested": {Key: sched.StateKey("00000000000000b1"), Value: nested},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &rows.Store{}
			_, err := store.Rows().Commit(context.Background(), plat.Txn{Writes: []plat.Write{
				odd, {Key: sched.JobKey(good), Value: encoded(t, good, sound)},
			}})
			g.Expect(err).NotTo(HaveOccurred())
			var skipped []string
			found, _, err := loadState(context.Background(), store.Rows(), func(key string, _ error) { skipped = append(skipped, key) })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(skipped).To(Equal([]string{odd.Key}))
			g.Expect(found.Jobs).To(HaveLen(1))
			g.Expect(found.Jobs[0].ID).To(Equal(good))
		})
	}
}

// TestJobOfUnknownStateIsNotRun guards against running tasks again whose earlier runs
// stand in a state row that can't be read.
func TestJobOfUnknownStateIsNotRun(t *testing.T) {
	g := NewWithT(t)
	const id = "00000000000000a1"
	store := &rows.Store{}
	_, err := store.Rows().Commit(context.Background(), plat.Txn{Writes: []plat.Write{
		{Key: sched.JobKey(id), Value: encoded(t, id, work.Step{Count: 1})}, {Key: sched.StateKey(id), Value: nested},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	found, _, err := loadState(context.Background(), store.Rows(), func(string, error) {})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found.Jobs).To(BeEmpty())
	core := sched.New(sched.Limits{}, 1, 0, 0, found, nil)
	core.Step(0, sched.Submit{Job: work.Job{ID: id, Steps: []work.Step{{Count: 1}}}})
	g.Expect(core.State(id)).To(BeEmpty(), "the owner does not take the job up when the feed names it again")
}

// FuzzRows passes arbitrary rows to the load of the state and to the core.
func FuzzRows(f *testing.F) {
	state, err := work.Encode(work.State{Tasks: []work.TaskState{{Run: 1, Places: []work.RunState{{Run: 1, Life: work.Life{ID: "w", Born: 1}, Agent: "a"}}}}})
	if err != nil {
		f.Fatal(err)
	}
	job, err := work.Encode(work.Job{ID: "00000000000000a1", Queue: "q", Steps: []work.Step{{Count: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(job, state, []byte{})
	f.Fuzz(func(t *testing.T, job, state, learned []byte) {
		store := &rows.Store{}
		writes := []plat.Write{{Key: sched.JobKey("00000000000000a1"), Value: job}, {Key: sched.StateKey("00000000000000a1"), Value: state}, {Key: sched.LearnedKey, Value: learned}, {Key: sched.LearnedKey + "/0", Value: learned}}
		if _, err := store.Rows().Commit(context.Background(), plat.Txn{Writes: writes}); err != nil {
			t.Fatal(err)
		}
		found, _, err := loadState(context.Background(), store.Rows(), func(string, error) {})
		if err != nil {
			t.Fatal(err)
		}
		core := sched.New(sched.Limits{}, 1, 0, 0, found, nil)
		core.Step(1, sched.Tick{})
	})
}
