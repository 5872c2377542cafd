// Package sink carries log lines to a writer without ever blocking those who
// write them. What a slow writer can't take is dropped, counted, and told of as
// soon as there is room.
package sink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Sink is an io.Writer of whole lines. The zero value drops everything; use New.
type Sink struct {
	mu     sync.Mutex
	ready  sync.Cond
	out    io.Writer
	lines  []byte
	spare  []byte
	lost   int
	total  int
	closed bool
	done   chan struct{}
	// budget is the number of bytes that may be written in this second.
	budget int
	second int64
	now    func() time.Time
}

const (
	// room bounds what waits to be written: about 1,500 lines.
	room = 512 << 10
	// perSecond bounds the log's volume; a heavy day of the users' writes less
	// than a tenth of that.
	perSecond = 2 << 20
	// closeWait bounds the wait for the last lines of a process.
	closeWait = 300 * time.Millisecond
)

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{}), now: time.Now}
	s.ready.L = &s.mu
	go s.run()
	return s
}

// Write takes a line, or drops it if there is no room.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now().Unix(); now != s.second {
		s.second, s.budget = now, perSecond
	}
	if s.closed || s.out == nil || len(s.lines)+len(line) > room || s.budget < len(line) {
		s.lost++
		s.total++
		return len(line), nil
	}
	s.budget -= len(line)
	if s.lost > 0 {
		s.lines = fmt.Appendf(s.lines, "{\"event\":112,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.lost)
		s.lost = 0
	}
	s.lines = append(s.lines, line...)
	s.ready.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes what waits, for a short while at most.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.ready.Signal()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}

// run writes what waits, all of it at once.
func (s *Sink) run() {
	defer close(s.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.lines) == 0 {
			if s.closed {
				return
			}
			s.ready.Wait()
		}
		out := s.lines
		s.lines = s.spare[:0]
		s.mu.Unlock()
		_, err := s.out.Write(out)
		s.mu.Lock()
		s.spare = out
		if err != nil {
			// Nobody reads the log any more; there is nowhere to say so.
			s.out = nil
			return
		}
	}
}
