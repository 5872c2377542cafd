//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is the delay of a link to the store in each direction, so that an answer takes
// about the 4 ms that the pages give.
const linkDelay = 2 * time.Millisecond

// link passes connections on to the store. At a time all of them go silent, without a reset,
// while new ones work.
type link struct {
	net.Listener
	target string

	mu sync.Mutex
	// silent is closed when the connections of the present go silent.
	silent chan struct{}
	// open counts the connections that were opened since the last silence and not closed.
	open int
}

// newLink starts a link to an address.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{Listener: listener, target: target, silent: make(chan struct{})}
	go l.loopAccept()
	return l, nil
}

func (l *link) loopAccept() {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mu.Lock()
		silent := l.silent
		l.open++
		l.mu.Unlock()
		go func() {
			pass(far, near, silent)
			l.mu.Lock()
			defer l.mu.Unlock()
			if silent == l.silent {
				l.open--
			}
		}()
		go pass(near, far, silent)
	}
}

// pass copies what comes until the connection ends, or holds it back for good once it is
// silent.
func pass(to, from net.Conn, silent chan struct{}) {
	data := make([]byte, 64<<10)
	for {
		n, err := from.Read(data)
		select {
		case <-silent:
			// What a silent peer sends, its closing too, is lost.
			_, _ = io.Copy(io.Discard, from)
			_ = from.Close()
			return
		case <-time.After(linkDelay):
		}
		if n > 0 {
			_, err = to.Write(data[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes all connections of the present silent, and returns how many there are.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.open
	close(l.silent)
	l.silent, l.open = make(chan struct{}), 0
	return n
}
