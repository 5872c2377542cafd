package httpd

import (
	"cmp"
	"errors"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lagoonrack/internal/inflow"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/tally"
)

// Gate bounds what the clients of all HTTP listeners of a process may hold before their
// requests are whole. Package inflow makes the decisions; the gate carries them out, keeps the
// time, counts and logs. Use NewGate to make one.
type Gate struct {
	log   logs.Log
	tally *tally.Set
	// head is the maximum size of a head, in bytes.
	head atomic.Int64
	// connections is the maximum number of connections of a listener for clients.
	connections int

	// mu guards the fields below.
	mu    sync.Mutex
	core  inflow.Core
	conns map[*inflow.Conn]*conn
	// now is the time that the process has run while it had connections.
	now     time.Duration
	running bool
	// unlogged counts what has been refused since the last log line of each reason,
	// and logged is when that was written.
	unlogged map[inflow.Reason]int
	logged   map[inflow.Reason]time.Duration
	// peak is the highest charge since the memory was last released, and released when
	// that was.
	peak     int64
	released time.Duration
}

// The defaults of the settings. The limits that well-behaved clients keep are 16 KiB and 3 s for
// a head, 256 KiB for a body, 15 s without a request, and 1,000 connections that share a link of
// 10 Mbit/s, which leaves each of them 1,250 bytes a second.
const (
	defaultHead        = 64 << 10
	defaultHeadTime    = 10 * time.Second
	defaultBodyTime    = 5 * time.Minute // 256 KiB at 1,250 bytes a second take 210 s.
	defaultRate        = 512
	defaultIdleTime    = 2 * time.Minute
	defaultAnswerTime  = time.Minute
	defaultConnections = 1536 // Three eighths of the 4,096 descriptors of the smallest machine.
	// defaultBudget holds if the memory of the machine is not known.
	defaultBudget = 256 << 20
)

const (
	// budgetShare is the share of the machine's memory that requests may be charged. The
	// collector lets the heap grow to twice of what is in use, and buffers are replaced as they
	// grow. With a quarter, a crowd of 1,000 brought the process to 177 of 184 MB.
	budgetShare = 8
	// connectionShare is the share of the descriptors that the connections of clients may
	// use, in eighths. The store, other processes and the other listeners need the rest.
	connectionShare = 3
	// internalShare divides the maximum number of connections for a listener that is not for
	// clients, which a load balancer, an operator or one worker uses, and
	// minConnections is the least that any listener gets.
	internalShare  = 8
	minConnections = 16
	// costFactor is how many bytes one byte of a request costs: the buffer here, the library's
	// input buffer, and the copy that it makes if the request spans two of those.
	costFactor = 3
	// tickInterval is how often the time limits are checked. A tick counts as at most twice
	// that, so that a pause of the process counts against no client.
	tickInterval = 250 * time.Millisecond
	// logInterval is the least time between two log lines with the same reason.
	logInterval = 10 * time.Second
	// acceptPause is the pause after a failed accept, such as for lack of descriptors.
	acceptPause = 20 * time.Millisecond
	// releaseShare is the share of the budget from which on memory is returned to the system
	// when the requests have gone. Without that, the collector and the library's pools keep it
	// for minutes. It needs two collections, because pools outlive one.
	releaseShare = 4
	// releaseInterval is the least time between two such releases. They cost two collections.
	releaseInterval = 5 * time.Second
)

// reasonAccept counts failed accepts beside the reasons of the core.
const reasonAccept inflow.Reason = "accept"

// NewGate returns a gate with the limits of the settings. The set may be nil.
func NewGate(s proc.Inflow, log logs.Log, set *tally.Set) *Gate {
	g := &Gate{
		log: log, tally: set,
		connections: max(minConnections, cmp.Or(s.Connections, s.Descriptors*connectionShare/8, defaultConnections)),
		conns:       map[*inflow.Conn]*conn{},
		unlogged:    map[inflow.Reason]int{}, logged: map[inflow.Reason]time.Duration{},
		released: -releaseInterval,
	}
	g.head.Store(cmp.Or(int64(s.Head), defaultHead))
	g.core.Limits = inflow.Limits{
		Memory: cmp.Or(int64(s.Budget), int64(s.Memory*(1<<20)/budgetShare), defaultBudget),
		Head:   cmp.Or(s.Header.Std(), defaultHeadTime),
		Body:   cmp.Or(s.Body.Std(), defaultBodyTime),
		Idle:   cmp.Or(s.Idle.Std(), defaultIdleTime),
		Answer: cmp.Or(s.Answer.Std(), defaultAnswerTime),
		Rate:   cmp.Or(int64(s.Rate), defaultRate),
	}
	if set != nil {
		set.Gauge(func() float64 { return g.measure(func() int64 { return g.core.Held() }) }, "lagoon_inflow_bytes")
		set.Gauge(func() float64 { return g.measure(func() int64 { return int64(g.core.Len()) }) }, "lagoon_inflow_connections")
	}
	return g
}

// timeMargin multiplies the time that clients are known to take for a head, since retransmissions
// and a slow process add to it.
const timeMargin = 3

// Allow raises limits that are below what clients are allowed: the size of a head in bytes, the
// time that they take for one, and how long they keep a connection without a request.
func (g *Gate) Allow(head int, headTime, idle time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.head.Store(max(g.head.Load(), int64(head)))
	g.core.Limits.Head = max(g.core.Limits.Head, timeMargin*headTime)
	g.core.Limits.Idle = max(g.core.Limits.Idle, idle)
}

// measure returns a value of the core.
func (g *Gate) measure(f func() int64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(f())
}

// listener is a listener whose connections pass a gate.
type listener struct {
	net.Listener
	gate *Gate
	door inflow.Door
	// body is the maximum size of a body.
	body int
}

// Accept returns the next connection that is admitted. It fails only when the listener is
// closed: the library stops to serve after any other error.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.gate.note(reasonAccept)
			time.Sleep(acceptPause)
			continue
		}
		if k := l.gate.admit(c, l); k != nil {
			return k, nil
		}
		_ = c.Close()
	}
}

// admit returns the connection if it is admitted, or nil.
func (g *Gate) admit(c net.Conn, l *listener) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted, victim := g.core.Open(g.now, &l.door)
	if admitted == nil || victim != nil && victim.Refused() == inflow.Connections {
		g.noteLocked(inflow.Connections)
	}
	if admitted == nil {
		return nil
	}
	if victim != nil {
		// Its goroutine would close it too, but may be late; this keeps the descriptors
		// under the limit.
		_ = g.conns[victim].Conn.Close()
	}
	k := &conn{Conn: c, raw: raw, gate: g, state: admitted, bodyLimit: l.body}
	k.reset()
	g.conns[admitted] = k
	if !g.running {
		g.running = true
		go g.run()
	}
	return k
}

// cutLocked wakes the goroutine of a connection that was refused, which closes it.
func (g *Gate) cutLocked(c *inflow.Conn) {
	g.noteLocked(c.Refused())
	if k := g.conns[c]; k != nil {
		_ = k.Conn.SetReadDeadline(past)
		if c.Refused() == inflow.AnswerTime {
			_ = k.Conn.SetWriteDeadline(past)
		}
	}
}

// past is a deadline that ends waiting reads and writes at once.
var past = time.Unix(1, 0)

// refuse refuses a connection by its own fault.
func (g *Gate) refuse(c *inflow.Conn, r inflow.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Refused() == inflow.None {
		g.core.Refuse(c, r)
		g.noteLocked(r)
	}
}

// note counts a connection that is refused or closed.
func (g *Gate) note(r inflow.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLocked(r)
}

func (g *Gate) noteLocked(r inflow.Reason) {
	if g.tally != nil {
		g.tally.Inc("lagoon_inflow_refusals_total", "reason", string(r))
	}
	if r != inflow.IdleTime {
		g.unlogged[r]++
	}
}

// run checks time limits, writes log lines and releases memory until no connection is left.
func (g *Gate) run() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last := time.Now()
	for range t.C {
		now := time.Now()
		more := g.tick(min(now.Sub(last), 2*tickInterval))
		last = now
		if !more {
			return
		}
	}
}

// tick advances the time and reports whether more ticks are needed.
func (g *Gate) tick(d time.Duration) bool {
	g.mu.Lock()
	g.now += d
	g.core.Expired(g.now, func(c *inflow.Conn, r inflow.Reason) {
		// Bytes that wait to be read show that the process is late, not the client.
		if r != inflow.AnswerTime && g.conns[c].pending() {
			return
		}
		g.core.Refuse(c, r)
		g.cutLocked(c)
	})
	for r, n := range g.unlogged {
		if at, ok := g.logged[r]; !ok || g.now-at >= logInterval {
			g.logged[r] = g.now
			delete(g.unlogged, r)
			g.log.Info(logs.ClientsRefused, logs.Fields{"reason": string(r), "count": n, "connections": g.core.Len(), "bytes": g.core.Held()})
		}
	}
	g.peak = max(g.peak, g.core.Held())
	used := g.peak >= g.core.Limits.Memory/releaseShare
	release := used && g.core.Held() < g.peak/4 && g.now-g.released >= releaseInterval
	if release {
		g.peak, g.released = g.core.Held(), g.now
	}
	g.running = g.core.Len() > 0 || len(g.unlogged) > 0 || used && !release
	more := g.running
	g.mu.Unlock()
	if release {
		runtime.GC()
		debug.FreeOSMemory()
	}
	return more
}
