package front

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// fixedOwner answers pings as an owner with three pending jobs.
type fixedOwner struct{}

// Ping answers a ping.
func (fixedOwner) Ping(_ work.Ping, out *work.Pong) error {
	*out = work.Pong{Owns: 4, Term: 4, Pending: map[string]int{"q": 3}}
	return nil
}

// learnOwner makes an entry go by an owner that answers its calls with the methods of a receiver.
func learnOwner(f *Front, owner any) {
	GinkgoHelper()
	listen := func(receiver any) *rpcs.Server {
		GinkgoHelper()
		server, err := rpcs.Listen("127.0.0.1:0", map[string]any{work.EntryService: receiver})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		return server
	}
	f.server = listen(&Peer{front: f})
	f.leader = &leader.Leader{Clock: f.Clock}
	f.leader.LearnOwner(4, listen(owner).Addr())
}

// An entry that has just started, or that no owner answers, knows of no pending jobs. It
// must not say that there are none.
var _ = Describe("the count of pending jobs at an entry that is not the owner", func() {
	It("is unknown until an owner has told it, and when that is long ago", func() {
		f := newFront(&rows.Store{})
		f.leader = &leader.Leader{}
		_, ok := f.Pending(context.Background(), "q")
		Expect(ok).To(BeFalse())
		f.pendingJobs, f.pendingAt = map[string]int{"q": 3}, f.Clock.Now()
		n, ok := f.Pending(context.Background(), "q")
		Expect(ok).To(BeTrue())
		Expect(n).To(Equal(3))
		f.pendingAt -= pendingMaxAge + time.Millisecond
		_, ok = f.Pending(context.Background(), "q")
		Expect(ok).To(BeFalse())
	})
	It("is not taken from an owner that still loads the jobs", func() {
		f := newFront(&rows.Store{})
		f.leader = &leader.Leader{}
		f.mu.Lock()
		f.recordPending(work.Pong{Owns: 5, Term: 5, Loading: true})
		f.mu.Unlock()
		_, ok := f.Pending(context.Background(), "q")
		Expect(ok).To(BeFalse())
		f.mu.Lock()
		f.recordPending(work.Pong{Owns: 5, Term: 5})
		f.mu.Unlock()
		n, ok := f.Pending(context.Background(), "q")
		Expect(ok).To(BeTrue())
		Expect(n).To(BeZero())
	})
	It("is asked of the owner that the store names, although this entry has not met it", func() {
		f := newFront(&rows.Store{})
		learnOwner(f, fixedOwner{})
		n, ok := f.Pending(context.Background(), "q")
		Expect(ok).To(BeTrue())
		Expect(n).To(Equal(3))
	})
})
