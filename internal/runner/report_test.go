package runner

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

var _ = Describe("an agent that the owner does not know to be the present one", func() {
	It("repeats the number at once, and takes the answer for no word on its lease", func() {
		r := newAgent(&mute{})
		server, err := rpcs.Listen("127.0.0.1:0", map[string]any{work.AgentService: &Peer{runner: r}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		r.server, r.news = server, make(chan struct{}, 1)
		word := r.lease.word
		rep, ok := r.compose()
		Expect(ok).To(BeTrue())
		Expect(rep.Word.Echo).To(BeZero())
		Expect(r.answered(rep, work.Reply{Term: 1, Challenge: 7}, "owner", r.Clock.Now())).To(BeTrue())
		Expect(r.news).To(Receive())
		Expect(r.lease.word).To(Equal(word))
		rep, _ = r.compose()
		Expect(rep.Word.Echo).To(Equal(uint64(7)))
	})
})
