// Package rpcs carries messages between lagoonrack's processes with net/rpc. A
// Client reconnects automatically and distinguishes calls that were certainly not
// sent (ErrUnsent) from failed calls with an unknown outcome. A Server keeps track
// of its open connections, so that Close can close them. A Server and the clients
// of a Pool count the bytes that they send and receive.
package rpcs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/plat"
)

// ErrUnsent says that a call was certainly not sent to the peer.
var ErrUnsent = errors.New("not sent")

// CheckAddr returns an error unless a peer's address is an IP address with a port.
func CheckAddr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err == nil && a.Port() == 0 {
		err = fmt.Errorf("the port of %q is 0", addr)
	}
	return err
}

// dialTimeout bounds the time to establish a connection.
const dialTimeout = time.Second

// unackedTimeout is how long sent data may stay unacknowledged before the kernel
// closes the connection. Network partitions are detected by it.
const unackedTimeout = 3 * time.Second

var dialer = net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}

// setUserTimeout sets unackedTimeout as TCP_USER_TIMEOUT of a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// Client calls one peer. It connects at the first call, and again at the first
// call after the connection was dropped.
type Client struct {
	// Addr is the peer's IP address and port.
	Addr string
	// Delay returns the network latency to simulate, one way. It may be nil. It
	// is meant for experiments with distant peers.
	Delay func() time.Duration
	// DropOnTimeout drops the connection when a call on it exceeds its deadline,
	// because a connection may be unresponsive while a new one works.
	DropOnTimeout bool

	mu      sync.Mutex
	conn    *rpc.Client
	traffic *Traffic
}

// Call sends args and waits for the reply. If it returns an error, the reply must
// not be read, because a late response may still be written to it.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return fault.At(method, c.Addr).Wrap(fmt.Errorf("%w: %w", ErrUnsent, err))
	}
	c.simulateDelay()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if c.DropOnTimeout && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(conn, ctx.Err())
		}
		return fault.At(method, c.Addr).Wrap(ctx.Err())
	case <-call.Done:
	}
	c.simulateDelay()
	if call.Error == nil {
		return nil
	}
	c.drop(conn, call.Error)
	return fault.At(method, c.Addr).Wrap(knownError(call.Error))
}

// simulateDelay sleeps for the latency of one message.
func (c *Client) simulateDelay() {
	if c.Delay == nil {
		return
	}
	if d := c.Delay(); d > 0 {
		time.Sleep(d)
	}
}

// connect returns the open connection, or a new one if there is none.
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
		conn = countedConn{conn, c.traffic}
	}
	c.conn = rpc.NewClient(conn)
	return c.conn, nil
}

// drop closes a connection after an error, so that the next call makes a new one.
// An error returned by the peer's method does not affect the connection.
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

// Close closes the connection, if there is one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// knownError returns the error of package plat that has the text of err, or err
// itself. net/rpc transmits only the text of an error.
func knownError(err error) error {
	for _, k := range []error{plat.ErrConflict, plat.ErrNotFound, plat.ErrFenced, plat.ErrUnavailable} {
		if err.Error() == k.Error() {
			return k
		}
	}
	return err
}
