package sink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/sink"
)

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestASlowReaderBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	w := &stuck{gate: make(chan struct{})}
	s := sink.New(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		n, err := s.Write(line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	dropped := s.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 900), "512 KiB wait, and what is being written")
	close(w.gate)
	g.Eventually(func() int { return strings.Count(w.text(), "x\n") }).Should(Equal(2000 - dropped))
	_, err := s.Write([]byte("next\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(w.text).Should(ContainSubstring(`"count":`))
	g.Eventually(w.text).Should(HaveSuffix("next\n"))
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var b bytes.Buffer
	s := sink.New(&b)
	_, err := s.Write([]byte("last\n"))
	s.Close()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.String()).To(Equal("last\n"))
}
