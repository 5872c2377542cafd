package keys

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestKeysAreTakenOnceInOrder guards against keys that are taken twice, out of order, or although
// they were removed.
func TestKeysAreTakenOnceInOrder(t *testing.T) {
	g := NewWithT(t)
	var q Queue
	g.Expect(q.Take(3)).To(BeEmpty())
	for _, k := range []string{"a", "b", "a", "c", "d"} {
		q.Add(k)
	}
	q.Remove("b")
	q.Remove("unknown")
	g.Expect(q.Len()).To(Equal(3))
	g.Expect(q.Take(0)).To(BeEmpty())
	g.Expect(q.Take(2)).To(Equal([]string{"a", "c"}))
	q.Add("a")
	g.Expect(q.Take(9)).To(Equal([]string{"d", "a"}))
	g.Expect(q.Len()).To(BeZero())
	// A key that was removed and added again is taken once.
	q.Add("x")
	q.Remove("x")
	q.Add("x")
	g.Expect(q.Take(9)).To(Equal([]string{"x"}))
	g.Expect(q.Take(9)).To(BeEmpty())
}
