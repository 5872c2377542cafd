// Package relay sends small messages of which only the newest counts. To each
// receiver at most one message is under way; those that are posted meanwhile
// are merged into one. A slow receiver thus gets fewer messages, and holds up
// neither the sender nor its memory.
package relay

import "sync"

// Relay sends messages to named receivers. Send must be set before use.
type Relay[T any] struct {
	// Send delivers a message and returns when that is done.
	Send func(to string, v T)
	// Merge combines a message that waits with a newer one. If it is nil, the
	// newer one replaces it.
	Merge func(old, now T) T

	mu sync.Mutex
	to map[string]*line[T]
}

// line is what is to be sent to one receiver.
type line[T any] struct {
	relay *Relay[T]
	to    string
	next  T
	// waits says that next is to be sent after the message under way.
	waits bool
}

// Post sends a message, or keeps it until the one before has been delivered.
func (r *Relay[T]) Post(to string, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to == nil {
		r.to = map[string]*line[T]{}
	}
	l := r.to[to]
	if l == nil {
		l = &line[T]{relay: r, to: to}
		r.to[to] = l
		go l.run(v)
		return
	}
	if l.waits && r.Merge != nil {
		v = r.Merge(l.next, v)
	}
	l.next = v
	l.waits = true
}

// run sends v and whatever is posted meanwhile.
func (l *line[T]) run(v T) {
	for {
		l.relay.Send(l.to, v)
		var ok bool
		if v, ok = l.take(); !ok {
			return
		}
	}
}

func (l *line[T]) take() (T, bool) {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	if !l.waits {
		delete(l.relay.to, l.to)
		var none T
		return none, false
	}
	l.waits = false
	return l.next, true
}
