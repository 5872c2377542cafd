package relay_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/relay"
)

func TestMerge(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var got []int
	gate := make(chan bool)
	done := make(chan bool, 10)
	r := relay.Relay[int]{
		Send: func(_ string, v int) {
			<-gate
			mu.Lock()
			got = append(got, v)
			mu.Unlock()
			done <- true
		},
		Merge: func(old, now int) int { return old + now },
	}
	for i := 1; i <= 5; i++ {
		r.Post("a", i)
	}
	gate <- true
	gate <- true
	<-done
	<-done
	g.Expect(got).To(Equal([]int{1, 2 + 3 + 4 + 5}), "what waits is merged into one message")
	r.Post("a", 6)
	gate <- true
	<-done
	g.Expect(got).To(HaveLen(3), "a line that ran dry starts again")
}
