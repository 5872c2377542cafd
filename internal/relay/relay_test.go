package relay_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/relay"
)

func TestPostMergesPendingMessages(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var got []int
	release := make(chan bool)
	done := make(chan bool, 10)
	r := relay.Relay[int]{
		Send: func(_ string, v int) {
			<-release
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
	release <- true
	release <- true
	<-done
	<-done
	g.Expect(got).To(Equal([]int{1, 2 + 3 + 4 + 5}), "pending messages are merged into one")
	r.Post("a", 6)
	release <- true
	<-done
	g.Expect(got).To(HaveLen(3), "a message posted after all others were sent is sent too")
}
