// Package inflow decides which connections of a process are admitted, refused or closed while
// they carry no whole request.
//
// Model. What a client sends is held in memory until the request is whole, so a client that
// never completes one costs memory, a descriptor and a goroutine for as long as it likes. All
// listeners of a process share a budget of memory; each has a limit of connections; and each
// phase of a connection has a time limit. When the memory is used up, the request that has
// held the most for the longest is refused first. When a listener's connections are used up,
// the oldest of those that never carried a whole request is closed first. A request that is
// whole is never refused here: it is answered, and is charged until then.
//
// Times are those of a clock that the caller advances only while the process runs, so that a
// pause of the process counts against no client.
package inflow

import "time"

// Core holds the connections of one process. It does no I/O, reads no clock and is not safe
// for concurrent use. Limits must be set before it is used.
type Core struct {
	Limits Limits

	conns map[*Conn]struct{}
	// opened is the number of connections that were ever admitted.
	opened uint64
	// held is the sum of what the connections hold, without those that are refused, and
	// leaving is what those hold until they are closed.
	held, leaving int64
}

// Limits bound what connections may hold and how long they may take.
type Limits struct {
	// Memory bounds what the requests of all connections hold, in bytes.
	Memory int64
	// Head and Body are the time limits of a head and of a body.
	Head, Body time.Duration
	// Idle is how long a connection may carry no request.
	Idle time.Duration
	// Answer is how long one write of an answer may wait for the client to read.
	Answer time.Duration
	// Rate is the minimum rate of a body in bytes a second, as the mean since its start.
	// It applies after rateGrace.
	Rate int64
}

// rateGrace is how long a body may be slower than the minimum rate. With packets lost, a link
// may stand still for several seconds: the third retransmission follows 1.4 s after the first
// loss at the least, the fourth 3 s, the fifth 6.2 s.
const rateGrace = 10 * time.Second

// Reason says why a connection is refused or closed.
type Reason string

// The reasons. None is that of a connection that may continue.
const (
	None        Reason = ""
	Connections Reason = "connections"
	Memory      Reason = "memory"
	HeadTime    Reason = "head_time"
	HeadSize    Reason = "head_size"
	BodyTime    Reason = "body_time"
	BodyRate    Reason = "body_rate"
	BodySize    Reason = "body_size"
	AnswerTime  Reason = "answer_time"
	IdleTime    Reason = "idle_time"
	Malformed   Reason = "malformed"
)

// phase is the part of a request that a connection is in.
type phase int

const (
	idle phase = iota
	head
	body
	// answering lasts from the whole request to the end of its answer.
	answering
)

// Door is a listener: how many connections it may have, and how many it has.
type Door struct {
	Limit int
	open  int
}

// Conn is a connection. Its fields belong to the core.
type Conn struct {
	door  *Door
	phase phase
	// number counts the connections of the process up to this one, because several may be
	// made between two readings of the clock.
	number uint64
	// begun is when its request began, and since when its phase began.
	begun, since time.Duration
	// held is what its request is charged, in bytes.
	held int64
	// received is the number of bytes of the body that have arrived.
	received int64
	// requests is the number of whole requests that it has carried.
	requests int
	// writing is set while a write waits for the client, since writeStart.
	writing    bool
	writeStart time.Duration
	refused    Reason
}

// Refused returns why the connection is refused, or None.
func (c *Conn) Refused() Reason { return c.refused }

// Partial reports whether a part of a request has arrived but not all of it.
func (c *Conn) Partial() bool { return c.phase == head || c.phase == body }

// Open admits a new connection of a listener, or returns nil. The second result is a
// connection that has to be closed before it is used, or nil.
func (co *Core) Open(now time.Duration, d *Door) (admitted, victim *Conn) {
	if d.open >= d.Limit {
		victim = co.oldest(d)
		if victim == nil {
			return nil, nil
		}
		co.Refuse(victim, Connections)
		co.Close(victim)
	}
	co.opened++
	c := &Conn{door: d, number: co.opened, since: now}
	if co.conns == nil {
		co.conns = map[*Conn]struct{}{}
	}
	co.conns[c] = struct{}{}
	d.open++
	return c, victim
}

// oldest returns the connection of a listener that is closed first for a new one, or nil if
// all of them carry whole requests: a refused one before the others, then one without a whole
// request so far, and an idle one before one with a part of a request; the oldest among equals.
func (co *Core) oldest(d *Door) *Conn {
	var best *Conn
	for c := range co.conns {
		if c.door == d && c.phase != answering && (best == nil || c.goesBefore(best)) {
			best = c
		}
	}
	return best
}

// goesBefore reports whether the connection is closed before another one for a new one.
func (c *Conn) goesBefore(o *Conn) bool {
	if (c.refused == None) != (o.refused == None) {
		return c.refused != None
	}
	if (c.requests == 0) != (o.requests == 0) {
		return c.requests == 0
	}
	if c.requests > 0 && c.Partial() != o.Partial() {
		return o.Partial()
	}
	if c.requests > 0 && c.since != o.since {
		return c.since < o.since
	}
	return c.number < o.number
}

// BeginHead notes that the first byte of a request has arrived.
func (co *Core) BeginHead(now time.Duration, c *Conn) {
	c.phase, c.since, c.begun, c.received = head, now, now, 0
}

// ReceiveBody notes that n bytes of the body have arrived in all. The first call says that the
// head has arrived.
func (co *Core) ReceiveBody(now time.Duration, c *Conn, n int64) {
	if c.phase != body {
		c.phase, c.since = body, now
	}
	c.received = n
}

// Hold sets what the request of a connection is charged, in bytes. It returns the connections
// that are refused so that the budget is kept; c may be one of them. The request of a
// connection beside which no other holds anything is never refused: its listener bounds its
// size.
func (co *Core) Hold(now time.Duration, c *Conn, n int64) []*Conn {
	if c.refused != None {
		return nil
	}
	co.held += n - c.held
	c.held = n
	var refused []*Conn
	if co.leaving > co.Limits.Memory && c.Partial() {
		// The process closes connections more slowly than requests arrive.
		co.Refuse(c, Memory)
		return []*Conn{c}
	}
	for co.held > co.Limits.Memory && co.held > c.held {
		victim := co.heaviest(now)
		if victim == nil {
			break
		}
		co.Refuse(victim, Memory)
		refused = append(refused, victim)
		if victim == c {
			break
		}
	}
	return refused
}

// heaviest returns the connection whose partial request has held the most for the longest, or
// nil if none holds anything.
func (co *Core) heaviest(now time.Duration) *Conn {
	var best *Conn
	var most float64
	for c := range co.conns {
		if c.refused != None || !c.Partial() || c.held == 0 {
			continue
		}
		// A second is added, so that the size counts among requests that began just now.
		if w := float64(c.held) * (now - c.begun + time.Second).Seconds(); w > most {
			best, most = c, w
		}
	}
	return best
}

// Whole notes that a request has arrived in whole. It reports whether it is to be answered: if
// the connection was refused before, it is not.
func (co *Core) Whole(now time.Duration, c *Conn) bool {
	if c.refused != None {
		return false
	}
	c.phase, c.since = answering, now
	c.requests++
	return true
}

// Answered notes that the answer to a request has been written.
func (co *Core) Answered(now time.Duration, c *Conn) {
	if c.refused == None {
		co.held -= c.held
	} else {
		co.leaving -= c.held
	}
	c.held = 0
	c.phase, c.since = idle, now
}

// BeginWrite and EndWrite enclose each write to the client.
func (co *Core) BeginWrite(now time.Duration, c *Conn) { c.writing, c.writeStart = true, now }

// EndWrite ends what BeginWrite began.
func (co *Core) EndWrite(c *Conn) { c.writing = false }

// Refuse marks a connection as one that has to be closed. The first reason stays.
func (co *Core) Refuse(c *Conn, r Reason) {
	if c.refused != None {
		return
	}
	c.refused = r
	co.held -= c.held
	co.leaving += c.held
}

// Close forgets a connection that was closed.
func (co *Core) Close(c *Conn) {
	if _, ok := co.conns[c]; !ok {
		return
	}
	delete(co.conns, c)
	c.door.open--
	if c.refused == None {
		co.held -= c.held
	} else {
		co.leaving -= c.held
	}
}

// Expired calls f with each connection whose time is over, and why. It refuses none of them:
// bytes may have arrived that the process has not read yet.
func (co *Core) Expired(now time.Duration, f func(*Conn, Reason)) {
	for c := range co.conns {
		if c.refused != None {
			continue
		}
		if r := co.expired(now, c); r != None {
			f(c, r)
		}
	}
}

// expired returns why the time of a connection is over, or None.
func (co *Core) expired(now time.Duration, c *Conn) Reason {
	l, spent := co.Limits, now-c.since
	switch {
	case c.writing && now-c.writeStart > l.Answer:
		return AnswerTime
	case c.phase == idle && spent > l.Idle:
		return IdleTime
	case c.phase == head && spent > l.Head:
		return HeadTime
	case c.phase == body && spent > l.Body:
		return BodyTime
	case c.phase == body && spent > rateGrace && float64(c.received) < spent.Seconds()*float64(l.Rate):
		return BodyRate
	}
	return None
}

// Held returns what the requests of all connections are charged, in bytes.
func (co *Core) Held() int64 { return co.held + co.leaving }

// Len returns the number of connections, including those that are about to be closed.
func (co *Core) Len() int { return len(co.conns) }
