package rpcs

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// Echo is a receiver that returns its argument.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(in []byte, out *[]byte) error {
	*out = in
	return nil
}

const testMessage = 1 << 20

// patience bounds each wait of these tests.
const patience = 20 * time.Second

func newEcho(t *testing.T) *Server {
	t.Helper()
	s, err := ListenWithin("127.0.0.1:0", map[string]any{"Echo": Echo{}}, testMessage)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// checkCall checks that a message of a size is answered on a new connection.
func checkCall(t *testing.T, s *Server, size int) {
	t.Helper()
	c := Client{Addr: s.Addr()}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out []byte
	if err := c.Call(ctx, "Echo.Say", make([]byte, size), &out); err != nil || len(out) != size {
		t.Errorf("got %d bytes, %v, want %d", len(out), err, size)
	}
}

// sendPart sends the announcement of a message and a part of it.
func sendPart(t *testing.T, s *Server, size, part int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	// An error shows that the server has closed the connection.
	_, _ = c.Write(append([]byte{0xfc, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, make([]byte, part)...))
	return c
}

// waitForRefusals waits until a server has refused n connections.
func waitForRefusals(t *testing.T, s *Server, n int64) {
	t.Helper()
	for end := time.Now().Add(patience); s.Refused() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections refused, want %d", s.Refused(), n)
		}
	}
}

// Guards against a message that makes package gob allocate up to 1 GB.
func TestRefusesLargeMessages(t *testing.T) {
	s := newEcho(t)
	c := sendPart(t, s, testMessage+1, 0)
	waitForRefusals(t, s, 1)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an answer to a message over the limit")
	}
	// Type descriptions and the header take some bytes.
	checkCall(t, s, testMessage-1000)
}

// Guards against parts of messages that together take any amount of memory, of which package gob
// allocates most before it arrives.
func TestBoundsPartsOfMessages(t *testing.T) {
	s := newEcho(t)
	for range 10 {
		sendPart(t, s, testMessage/3, 1000)
	}
	waitForRefusals(t, s, 7)
	checkCall(t, s, 1000)
	held := func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.Held()
	}
	// What refused connections hold counts until they are closed.
	for end := time.Now().Add(patience); held() > testMessage; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held", held())
		}
	}
}

// Guards against memory that large messages took and that is never planned to be returned.
func TestReleasesMemoryOfLargeMessages(t *testing.T) {
	s := newEcho(t)
	checkCall(t, s, testMessage/2)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		peak := s.peak
		s.mu.Unlock()
		if peak == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not released; peak %d", peak)
		}
	}
}

// Guards against silent connections that use up the descriptors and keep out peers.
func TestBoundsConnections(t *testing.T) {
	s := newEcho(t)
	s.mu.Lock()
	s.door.Limit = 3
	s.mu.Unlock()
	c := Client{Addr: s.Addr()}
	defer c.Close()
	call := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		var out []byte
		if err := c.Call(ctx, "Echo.Say", []byte{1}, &out); err != nil {
			t.Error(err)
		}
	}
	call()
	for range 10 {
		sendPart(t, s, 100, 0)
	}
	waitForRefusals(t, s, 8)
	call()
	checkCall(t, s, 10)
}

// Guards against a frame whose boundaries differ from those of package gob.
func TestFollowsMessages(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 70_000} {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		for range 3 {
			if err := e.Encode(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
		var f frame
		data := b.Bytes()
		for len(data) > 0 {
			n := min(len(data), 1+rnd.IntN(1+size))
			f.feed(data[:n])
			data = data[n:]
			if f.whole != (f.held == 0) && len(data) == 0 {
				t.Errorf("size %d: whole %v with %d bytes held", size, f.whole, f.held)
			}
		}
		if !f.whole || f.left != 0 || f.sizeLeft != 0 {
			t.Errorf("size %d: the end of the stream is not the end of a message: %+v", size, f)
		}
		f.feed([]byte{100, 1, 2, 3})
		if f.whole || f.held != 4 || f.left != 97 {
			t.Errorf("size %d: %+v after a part of a message", size, f)
		}
	}
}
