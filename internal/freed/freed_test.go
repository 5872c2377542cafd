package freed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/work"
)

// TestNewestReleasesAreFound guards against releases that are found under another worker, an older
// reason of a run that was released twice, and memory that grows with the runs.
func TestNewestReleasesAreFound(t *testing.T) {
	g := NewWithT(t)
	var r Runs
	run := func(i int) work.Run { return work.Run{Task: "job.0.0.0", Num: int64(i)} }
	_, _, ok := r.Find("w", run(0))
	g.Expect(ok).To(BeFalse())
	for i := range maxRuns {
		r.Add(time.Duration(i), "w", run(i), "lease")
	}
	r.Add(time.Hour, "w", run(1), "gone")
	reason, at, ok := r.Find("w", run(1))
	g.Expect(ok).To(BeTrue())
	g.Expect(reason).To(Equal("gone"))
	g.Expect(at).To(Equal(time.Hour))
	_, _, ok = r.Find("other", run(1))
	g.Expect(ok).To(BeFalse())
	for i := range 3 {
		r.Add(2*time.Hour, "w", run(maxRuns+i), "silent")
	}
	for i := range maxRuns + 3 {
		_, _, ok = r.Find("w", run(i))
		g.Expect(ok).To(Equal(i > 2), "run %d", i)
	}
	g.Expect(r.byRun).To(HaveLen(maxRuns))
}
