package sink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/sink"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// Guards against a slow reader of the log that blocks the process: writes must
// return at once, and the lines beyond the buffer must be counted as dropped.
func TestWriteDoesNotBlockOnSlowReader(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{release: make(chan struct{})}
	s := sink.New(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		n, err := s.Write(line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	dropped := s.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 900), "only 512 KiB and the lines of the write in progress are kept")
	close(w.release)
	g.Eventually(func() int { return strings.Count(w.text(), "x\n") }).Should(Equal(2000 - dropped))
	_, err := s.Write([]byte("next\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(w.text).Should(ContainSubstring(`"count":`))
	g.Eventually(w.text).Should(HaveSuffix("next\n"))
}

func TestCloseWritesPendingLines(t *testing.T) {
	var b bytes.Buffer
	s := sink.New(&b)
	_, err := s.Write([]byte("last\n"))
	s.Close()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.String()).To(Equal("last\n"))
}
