// Package relay sends small messages of which only the latest state counts. At
// most one message to each receiver is in flight; messages that are posted in
// the meantime are merged into one. A slow receiver thus gets fewer messages,
// and neither blocks the sender nor makes its memory grow.
package relay

import "sync"

// Relay sends messages to receivers, each known by its name or address. Send
// must be set before use.
type Relay[T any] struct {
	// Send delivers a message and returns when the delivery has succeeded or
	// failed. Each receiver's messages are sent by a goroutine of their own.
	Send func(to string, v T)
	// Merge combines a pending message with a newer one. If Merge is nil, the
	// newer one replaces the pending one.
	Merge func(old, now T) T

	mu sync.Mutex
	// queues holds one queue for each receiver with a message in flight.
	queues map[string]*queue[T]
}

// queue holds the pending message to one receiver, and exists while a message
// to it is in flight.
type queue[T any] struct {
	relay   *Relay[T]
	to      string
	pending T
	// hasPending means that pending is to be sent after the message in flight.
	hasPending bool
}

// Post sends a message without waiting for its delivery. If a message to the
// same receiver is in flight, it is merged with the pending one, if any, and
// sent afterwards.
func (r *Relay[T]) Post(to string, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues == nil {
		r.queues = map[string]*queue[T]{}
	}
	q := r.queues[to]
	if q == nil {
		q = &queue[T]{relay: r, to: to}
		r.queues[to] = q
		go q.run(v)
		return
	}
	if q.hasPending && r.Merge != nil {
		v = r.Merge(q.pending, v)
	}
	q.pending = v
	q.hasPending = true
}

// run sends v and then pending messages until there are none.
func (q *queue[T]) run(v T) {
	for {
		q.relay.Send(q.to, v)
		var ok bool
		if v, ok = q.takePending(); !ok {
			return
		}
	}
}

// takePending returns the pending message, or removes the queue and returns false
// if there is none.
func (q *queue[T]) takePending() (T, bool) {
	q.relay.mu.Lock()
	defer q.relay.mu.Unlock()
	if !q.hasPending {
		delete(q.relay.queues, q.to)
		var none T
		return none, false
	}
	q.hasPending = false
	return q.pending, true
}
