// Package sink passes log lines to a writer in the background, so that a slow
// writer never blocks the caller. Lines that exceed the buffer or the volume limit
// are dropped and counted, and the next accepted line is preceded by a line with
// their number.
package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Sink is an io.Writer of whole lines. It must be made by New.
type Sink struct {
	mu         sync.Mutex
	wake       sync.Cond
	out        io.Writer
	pending    []byte // lines that wait to be written
	recycled   []byte // buffer of the last write, for reuse
	unreported int    // dropped lines that no line has reported yet
	dropped    int    // all dropped lines
	closed     bool
	done       chan struct{} // closed when run returns
	// budget is the number of bytes that are still allowed in the second
	// budgetSecond, in Unix time.
	budget       int
	budgetSecond int64
	now          func() time.Time
}

const (
	// maxPending bounds the bytes that wait to be written: about 1,500 lines.
	maxPending = 512 << 10
	// maxBytesPerSecond bounds the log's volume. Heavy load writes less than a
	// tenth of it.
	maxBytesPerSecond = 2 << 20
	// closeTimeout bounds the wait of Close for the last lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{}), now: time.Now}
	s.wake.L = &s.mu
	go s.run()
	return s
}

// Write buffers a line, or drops it if the buffer or the volume limit is exceeded.
// It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now().Unix(); now != s.budgetSecond {
		s.budgetSecond, s.budget = now, maxBytesPerSecond
	}
	if s.closed || s.out == nil || len(s.pending)+len(line) > maxPending || s.budget < len(line) {
		s.unreported++
		s.dropped++
		return len(line), nil
	}
	s.budget -= len(line)
	if s.unreported > 0 {
		s.pending = fmt.Appendf(s.pending, "{\"event\":112,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.unreported)
		s.unreported = 0
	}
	s.pending = append(s.pending, line...)
	s.wake.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the pending lines and waits for that, but no longer than
// closeTimeout. Lines written after it are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the pending lines until the sink is closed. Each call of the writer gets
// all lines that are pending then.
func (s *Sink) run() {
	defer close(s.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.pending) == 0 {
			if s.closed {
				return
			}
			s.wake.Wait()
		}
		out := s.pending
		s.pending = s.recycled[:0]
		s.mu.Unlock()
		_, err := s.out.Write(out)
		s.mu.Lock()
		s.recycled = out
		if err != nil {
			// The reader of the log is gone, so the error can't be logged either.
			// All further lines are dropped.
			s.out = nil
			return
		}
	}
}
