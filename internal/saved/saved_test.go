package saved

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/press"
	"lagoonrack/internal/timing"
	"lagoonrack/internal/wall"
	"lagoonrack/internal/work"
)

// newEstimates returns estimates with small pages that know what is in the rows.
func newEstimates(rows map[string][]byte, storeOffset time.Duration) (e *Estimates, unusable []string, errs []error) {
	e = &Estimates{Key: "cell/learned", PageBytes: 600, RunTimes: &timing.Table{}, Interference: &press.Table{}, Clock: &wall.Clock{}}
	unusable, errs = e.Restore(rows, storeOffset)
	return e, unusable, errs
}

// newOwner returns estimates that know nothing.
func newOwner() *Estimates {
	e, _, _ := newEstimates(nil, 0)
	return e
}

// learn adds the run time of one task and a measurement for each of some queues and images.
func learn(e *Estimates, count int) {
	for i := range count {
		queue, image := fmt.Sprint("queue", i), fmt.Sprint("image", i)
		e.RunTimes.Add(time.Second, queue, &work.Step{Count: 1, Estimate: 1000}, 2*time.Second)
		e.Interference.Observe(time.Second, press.Measurement{
			Task: image, Image: image, Tail: 8, Target: 50, BestEffort: []press.BestEffortTask{{Image: "plan", Share: 0.3}},
		})
	}
}

// save applies the writes of one call to rows and returns their number.
func save(g *WithT, e *Estimates, rows map[string][]byte, pages int) int {
	writes, errs := e.Save(time.Minute, pages)
	g.Expect(errs).To(BeEmpty())
	for _, w := range writes {
		if rows[w.Key] = w.Value; w.Value == nil {
			delete(rows, w.Key)
		}
	}
	return len(writes)
}

// TestNextOwnerRestoresWhatWasSaved guards against records that are lost or stored twice, a time of
// day that is off by the difference of the clocks, and transactions that grow with the records.
func TestNextOwnerRestoresWhatWasSaved(t *testing.T) {
	g := NewWithT(t)
	const count = 40
	e, rows := newOwner(), map[string][]byte{}
	learn(e, count)
	e.Clock.Restore(1000 * time.Hour)
	calls := 0
	for n := save(g, e, rows, 2); n > 1; n = save(g, e, rows, 2) {
		g.Expect(n).To(BeNumerically("<=", 3))
		calls++
	}
	g.Expect(calls).To(BeNumerically(">", 3))
	next, unusable, errs := newEstimates(rows, 3*time.Minute)
	g.Expect(unusable).To(BeEmpty())
	g.Expect(errs).To(BeEmpty())
	for i := range count {
		want, _ := e.RunTimes.Times(fmt.Sprint("queue", i))
		got, ok := next.RunTimes.Times(fmt.Sprint("queue", i))
		g.Expect(ok).To(BeTrue())
		g.Expect(got.Duration).To(Equal(want.Duration))
		image := fmt.Sprint("image", i)
		g.Expect(next.Interference.Base(image, 50)).To(BeNumerically("~", e.Interference.Base(image, 50), 0.01))
		g.Expect(next.Interference.Factor("plan", image)).To(BeNumerically("~", e.Interference.Factor("plan", image), 0.01))
	}
	offset, ok := next.Clock.Offset()
	g.Expect(ok).To(BeTrue())
	g.Expect(offset).To(Equal(1000*time.Hour + 2*time.Minute))
	g.Expect(save(g, next, rows, 100)).To(Equal(1), "pages that have not changed are not written again")
}

// TestRowsThatCannotBeUsedAreNamed guards against one bad row that keeps the others from being read,
// or that stays in the store.
func TestRowsThatCannotBeUsedAreNamed(t *testing.T) {
	g := NewWithT(t)
	e, rows := newOwner(), map[string][]byte{}
	learn(e, 3)
	save(g, e, rows, 100)
	rows["cell/learned/7"] = []byte{0xff}
	rows["cell/learned/9999"] = []byte{0xa0}
	rows["cell/learned/x"] = []byte{0xa0}
	next, unusable, errs := newEstimates(rows, 0)
	g.Expect(unusable).To(Equal([]string{"cell/learned/7", "cell/learned/9999", "cell/learned/x"}))
	g.Expect(errs).To(HaveLen(1))
	_, ok := next.RunTimes.Times("queue2")
	g.Expect(ok).To(BeTrue())
}

// TestLongNamesAreNotStored guards against a record that is larger than a row may be.
func TestLongNamesAreNotStored(t *testing.T) {
	g := NewWithT(t)
	e, rows := newOwner(), map[string][]byte{}
	e.RunTimes.Add(time.Second, fmt.Sprintf("%0600d", 1), &work.Step{Count: 1}, time.Second)
	g.Expect(save(g, e, rows, 100)).To(Equal(1))
}
