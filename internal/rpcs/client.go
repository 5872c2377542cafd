// Package rpcs carries messages between lagoonrack's processes with net/rpc. A
// Client reconnects by itself and tells apart a call that certainly never left
// this process from one whose fate is not known. A Server counts what it has
// in progress, so that a planned stop can wait for it.
package rpcs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/plat"
)

// ErrUnsent says that a call certainly did not reach the peer.
var ErrUnsent = errors.New("not sent")

// dialTimeout bounds the making of a connection.
const dialTimeout = time.Second

// peerSilence is how long data may stay unacknowledged before the connection
// counts as broken; partitions are noticed by it.
const peerSilence = 3 * time.Second

var dialer = net.Dialer{Timeout: dialTimeout, Control: userTimeout}

// userTimeout bounds how long a connection waits for a peer that is cut off.
func userTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerSilence.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Client calls one peer. It connects at the first call.
type Client struct {
	// Addr is the peer's address of IP number and port.
	Addr string
	// Delay returns how long a message to the peer is held back, one way. It
	// may be nil; experiments set it to stand for a distance.
	Delay func() time.Duration
	// Strict gives a connection up when a call on it times out, because a
	// connection may go silent while a new one works.
	Strict bool

	mu      sync.Mutex
	conn    *rpc.Client
	traffic *Traffic
}

// Call sends args and waits for the reply. The reply must not be read if an
// error is returned.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return fault.At(method, c.Addr).Wrap(fmt.Errorf("%w: %w", ErrUnsent, err))
	}
	c.pause()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if c.Strict && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(conn, ctx.Err())
		}
		return fault.At(method, c.Addr).Wrap(ctx.Err())
	case <-call.Done:
	}
	c.pause()
	if call.Error == nil {
		return nil
	}
	c.drop(conn, call.Error)
	return fault.At(method, c.Addr).Wrap(known(call.Error))
}

func (c *Client) pause() {
	if c.Delay == nil {
		return
	}
	if d := c.Delay(); d > 0 {
		time.Sleep(d)
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, err
	}
	if c.traffic != nil {
		conn = counted{conn, c.traffic}
	}
	c.conn = rpc.NewClient(conn)
	return c.conn, nil
}

// drop forgets a connection that broke. An error that the peer returned leaves
// the connection as it is.
func (c *Client) drop(conn *rpc.Client, err error) {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// known turns the text of an error that crossed the wire into the error.
func known(err error) error {
	for _, k := range []error{plat.ErrConflict, plat.ErrNotFound, plat.ErrFenced, plat.ErrUnavailable} {
		if err.Error() == k.Error() {
			return k
		}
	}
	return err
}
