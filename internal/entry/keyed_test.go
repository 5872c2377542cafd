package entry

import (
	"context"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/claim"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/route"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/wire"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "an entry")
}

// endedAgent is an agent that reports every request as ended.
type endedAgent struct{}

// Find reports that a request has ended.
func (endedAgent) Find(_ string, out *wire.RequestState) error {
	out.Ended = true
	return nil
}

const anyPort = "127.0.0.1:0"

// newPeerOnlyEntry returns an entry that answers only calls from other processes.
func newPeerOnlyEntry() *Entry {
	e := New(proc.Settings{Name: "entry"}, plat.Table{}, plat.Store{}, logs.Log{})
	e.ctx = context.Background()
	var err error
	e.peer, err = rpcs.Listen(anyPort, map[string]any{peerName: &Peer{entry: e}})
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(e.peer.Close)
	return e
}

// The second request with a key can reach an entry to which no agent has announced
// itself yet. It used to get the outcome "unknown" although the first request had
// ended with a response; this was seen in CI on a busy machine.
var _ = ginkgo.Describe("a request with a key", func() {
	ginkgo.It("is found through the entry that received the first request", func() {
		agent, err := rpcs.Listen(anyPort, map[string]any{agentName: endedAgent{}})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(agent.Close)
		first, second := newPeerOnlyEntry(), newPeerOnlyEntry()
		first.core.Configure([]route.Limits{{Service: "s"}})
		first.step(route.Offer{Offer: wire.Offer{Service: "s", Agent: agent.Addr(), Incarnation: "1", Name: "a", Size: 8}})
		Expect(first.agentsOf("s")).To(HaveLen(1))
		Expect(second.agentsOf("s")).To(BeEmpty())
		k := keyedRequest{Entry: second}
		k.request.service.Name = "s"
		c := claim.Claim{ID: "r1", Entry: first.PeerAddr()}
		Expect(k.earlierState(context.Background(), c).Ended).To(BeTrue())
	})
})
