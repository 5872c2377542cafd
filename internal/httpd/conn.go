package httpd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonrack/internal/inflow"
)

// conn is a connection that gives the library one whole request at a time. Until then it
// collects the request itself, under the budget of the gate. It holds no buffer while it
// waits for a request.
type conn struct {
	net.Conn
	raw   syscall.RawConn
	gate  *Gate
	state *inflow.Conn
	// bodyLimit is the maximum size of a body, in bytes.
	bodyLimit int

	// framing and the fields below belong to the goroutine that reads.
	framing framing
	// ready is what the library has not read yet of a whole request.
	ready []byte
	// rest holds bytes of the requests that follow a whole one.
	rest []byte
	// answering is set from a whole request to the end of its answer.
	answering bool
	closing   sync.Once
}

const (
	// scratchSize is the size of the buffers for one read from a socket.
	scratchSize = 16 << 10
	// refusalTimeout bounds the writing of a refusal. It nearly always fits the socket's
	// buffer.
	refusalTimeout = 100 * time.Millisecond
)

var scratchPool = sync.Pool{New: func() any { return new([scratchSize]byte) }}

// reset prepares for the next request.
func (k *conn) reset() {
	k.framing = framing{headLimit: int(k.gate.head.Load()), bodyLimit: k.bodyLimit}
	k.ready = nil
}

// Read gives the library bytes of a whole request. When it has read a request, it reads
// again only after it has written the answer.
func (k *conn) Read(b []byte) (int, error) {
	if len(k.ready) == 0 {
		if err := k.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(b, k.ready)
	k.ready = k.ready[n:]
	if len(k.ready) == 0 {
		k.framing.buf, k.ready = nil, nil
	}
	return n, nil
}

// receive collects the next request. It returns io.EOF if there is none, so that the library
// writes nothing.
func (k *conn) receive() error {
	if k.answering {
		k.answering = false
		k.reset()
		k.gate.answered(k.state)
	}
	for {
		reason, err := k.collect()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if reason = k.gate.refusalOf(k.state); reason == inflow.None {
				return io.EOF
			}
		case err != nil:
			return io.EOF
		case reason == inflow.None:
			reason = k.gate.progress(k)
		default:
			k.gate.refuse(k.state, reason)
		}
		if reason != inflow.None {
			k.writeRefusal(reason)
			_ = k.Close()
			return io.EOF
		}
		if k.framing.part == partWhole {
			k.answering, k.ready = true, k.framing.buf
			return nil
		}
		if k.framing.awaitsGoAhead && k.framing.inBody() {
			k.framing.awaitsGoAhead = false
			if _, err := k.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return io.EOF
			}
		}
	}
}

// collect takes what has arrived into the present request, and waits until something has.
func (k *conn) collect() (inflow.Reason, error) {
	if len(k.rest) > 0 {
		rest := k.rest
		n, reason := k.framing.feed(rest)
		k.rest = nil
		if n < len(rest) {
			k.rest = rest[n:]
		}
		return reason, nil
	}
	scratch, n, err := k.readSocket()
	if scratch == nil {
		return inflow.None, err
	}
	defer scratchPool.Put(scratch)
	if err != nil {
		return inflow.None, err
	}
	taken, reason := k.framing.feed(scratch[:n])
	if taken < n {
		k.rest = append([]byte(nil), scratch[taken:n]...)
	}
	return reason, nil
}

// readSocket waits for bytes and reads them into a buffer that it takes from the pool only
// then.
func (k *conn) readSocket() (scratch *[scratchSize]byte, n int, err error) {
	var readErr error
	err = k.raw.Read(func(fd uintptr) bool {
		if scratch == nil {
			scratch = scratchPool.Get().(*[scratchSize]byte)
		}
		for {
			n, readErr = syscall.Read(int(fd), scratch[:])
			if readErr != syscall.EINTR {
				break
			}
		}
		if readErr == syscall.EAGAIN {
			scratchPool.Put(scratch)
			scratch = nil
			return false
		}
		return true
	})
	if err == nil {
		err = readErr
	}
	if err == nil && n <= 0 {
		err = io.EOF
	}
	return scratch, n, err
}

// pending reports whether bytes have arrived that were not read yet.
func (k *conn) pending() bool {
	var n int
	err := k.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && n > 0
}

// progress tells the core how far the request of a connection is, and returns why the
// connection is refused.
func (g *Gate) progress(k *conn) inflow.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, f := k.state, &k.framing
	if f.begun() && !c.Partial() {
		g.core.BeginHead(g.now, c)
	}
	if f.inBody() {
		g.core.ReceiveBody(g.now, c, int64(len(f.buf)-f.headEnd))
	}
	for _, v := range g.core.Hold(g.now, c, int64(cap(f.buf))*costFactor+int64(cap(k.rest))) {
		g.cutLocked(v)
	}
	if f.part == partWhole {
		g.core.Whole(g.now, c)
	}
	return c.Refused()
}

// refusalOf returns why a connection is refused.
func (g *Gate) refusalOf(c *inflow.Conn) inflow.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.Refused()
}

// answered notes that the answer to a request was written.
func (g *Gate) answered(c *inflow.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Answered(g.now, c)
}

// Write writes a part of an answer.
func (k *conn) Write(b []byte) (int, error) {
	k.gate.mu.Lock()
	k.gate.core.BeginWrite(k.gate.now, k.state)
	k.gate.mu.Unlock()
	n, err := k.Conn.Write(b)
	k.gate.mu.Lock()
	k.gate.core.EndWrite(k.state)
	k.gate.mu.Unlock()
	return n, err
}

// Close closes the connection.
func (k *conn) Close() error {
	var err error
	k.closing.Do(func() {
		err = k.Conn.Close()
		k.gate.mu.Lock()
		defer k.gate.mu.Unlock()
		k.gate.core.Close(k.state)
		delete(k.gate.conns, k.state)
	})
	return err
}

// SetDeadline and the two methods below have no effect: the gate keeps the time limits, with
// a clock that stops while the process does.
func (k *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline has no effect.
func (k *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline has no effect.
func (k *conn) SetWriteDeadline(time.Time) error { return nil }

// refusals are the answers to requests that arrived in part. The statuses 429 and 503 promise
// that the request has no effect, which is so, as the library never gets it.
var refusals = map[inflow.Reason]struct {
	status int
	text   string
}{
	inflow.Connections: {http.StatusServiceUnavailable, "too many connections; the request was not read"},
	inflow.Memory:      {http.StatusServiceUnavailable, "too many unfinished requests; this one was not read"},
	inflow.HeadTime:    {http.StatusRequestTimeout, "the head took too long"},
	inflow.BodyTime:    {http.StatusRequestTimeout, "the body took too long"},
	inflow.BodyRate:    {http.StatusRequestTimeout, "the body came too slowly"},
	inflow.HeadSize:    {http.StatusRequestHeaderFieldsTooLarge, "the head is too large"},
	inflow.BodySize:    {http.StatusRequestEntityTooLarge, "the body is too large"},
	inflow.Malformed:   {http.StatusBadRequest, "the request is malformed"},
}

// writeRefusal answers a request that arrived in part.
func (k *conn) writeRefusal(r inflow.Reason) {
	a, ok := refusals[r]
	if !ok || !k.framing.begun() {
		return
	}
	body := fmt.Sprintf("{\"reason\":%q,\"error\":%q}\n", string(r), a.text)
	_ = k.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(k.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: 1\r\nConnection: close\r\n\r\n%s",
		a.status, http.StatusText(a.status), len(body), body)
}
