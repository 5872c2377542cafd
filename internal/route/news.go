package route

func (c *Core) offer(e Offer) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.find(e.Agent)
	if m != nil && m.incarnation != e.Incarnation {
		c.replaced(s, m)
		m = nil
	}
	if m == nil {
		// The agent may remember this entry from before it was forgotten here.
		m = &minion{agent: e.Agent, incarnation: e.Incarnation, serial: e.Slots.Seen, offered: e.Slots.Seen}
		s.minions = append(s.minions, m)
	}
	m.heard = c.now
	m.seen = max(m.seen, m.offered)
	m.offered = m.serial
	m.size = e.Size
	m.leaving = m.leaving || e.Leaving
	m.report(e.Slots)
	c.dispatch(s)
}

// replaced drops a minion whose agent was started anew. Its open attempts can
// bring no answer any more.
func (c *Core) replaced(s *service, m *minion) {
	c.drop(s, m)
	for _, r := range c.sorted() {
		for _, a := range r.attempts {
			if a.minion == m && c.move(a, "silent") {
				c.kill(r, a)
			}
		}
	}
}

func (c *Core) drop(s *service, m *minion) {
	for i, o := range s.minions {
		if o == m {
			s.minions = append(s.minions[:i], s.minions[i+1:]...)
			return
		}
	}
}

func (c *Core) grant(e Grant) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.find(e.Agent)
	if m == nil || m.incarnation != e.Incarnation {
		return
	}
	m.heard = c.now
	m.report(e.Slots)
	m.granted += max(0, e.Count)
	c.dispatch(s)
	if m.granted > 0 && s.queue.length == 0 {
		c.withdraw(m)
	}
	m.granted = 0
}
