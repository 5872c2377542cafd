package rpcs

import (
	"sync"
	"time"
)

// Pool keeps one client for each peer. The zero value is ready to use.
type Pool struct {
	// Delay returns the one-way network latency to simulate for a peer. It may
	// be nil.
	Delay func(addr string) time.Duration
	// DropOnTimeout is set on each client.
	Strict bool

	// Traffic counts the bytes of all clients.
	Traffic Traffic

	mu      sync.Mutex
	clients map[string]*Client
}

// Get returns the client of a peer and makes it if there is none.
func (p *Pool) Get(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c != nil {
		return c
	}
	c = &Client{Addr: addr, DropOnTimeout: p.Strict, traffic: &p.Traffic}
	if p.Delay != nil {
		c.Delay = func() time.Duration { return p.Delay(addr) }
	}
	if p.clients == nil {
		p.clients = map[string]*Client{}
	}
	p.clients[addr] = c
	return c
}

// Drop closes and removes the client of a peer.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Close closes and removes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	p.clients = nil
}
