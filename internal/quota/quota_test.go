package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// takeAll takes uses until none is left, and returns how many there were.
func takeAll(q *Quota, now time.Duration) int {
	for n := 0; ; n++ {
		if _, ok := q.Take(now, 10, time.Minute); !ok {
			return n
		}
	}
}

// TestQuota guards against more uses than a quota allows, and against uses that are never given
// back.
func TestQuota(t *testing.T) {
	g := NewWithT(t)
	var q Quota
	g.Expect(takeAll(&q, time.Hour)).To(Equal(10))
	wait, ok := q.Take(time.Hour+2*time.Second, 10, time.Minute)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(4 * time.Second))
	g.Expect(takeAll(&q, time.Hour+6*time.Second)).To(Equal(1))
	g.Expect(takeAll(&q, time.Hour)).To(BeZero(), "a clock that goes back gives nothing back")
	within := 0
	for now := time.Hour + 6*time.Second; now < time.Hour+66*time.Second; now += time.Second {
		within += takeAll(&q, now)
	}
	g.Expect(within).To(BeNumerically("<=", 10))
	g.Expect(takeAll(&q, 2*time.Hour)).To(Equal(10))
}
