package leader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/work"
)

// TestWhereIsLimited guards against questions of operators that take the core's time, and against
// answers of a process that doesn't own the cell.
func TestWhereIsLimited(t *testing.T) {
	g := NewWithT(t)
	_, err := (&Leader{Clock: clock.New()}).Where(work.PlacementQuery{})
	g.Expect(err).To(MatchError(ErrNotOwner))

	l, x := newOwner(t)
	q := work.PlacementQuery{Job: work.Job{ID: "job", Queue: "q", Service: "s", Steps: []work.Step{{Count: 1}}}, Most: 1}
	a, err := l.Where(q)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Job).To(Equal("job"))
	g.Expect(x.questions.pauseUntil).To(BeNumerically(">", 0))

	x.questions.pauseUntil = l.Clock.Now() + 100*time.Millisecond
	began := l.Clock.Now()
	_, err = l.Where(q)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Clock.Now() - began).To(BeNumerically(">=", 100*time.Millisecond))

	x.questions.pauseUntil = l.Clock.Now() + time.Hour
	x.cancel()
	_, err = l.Where(q)
	g.Expect(err).To(HaveOccurred())
}
