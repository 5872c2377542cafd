package route

// offer handles an announcement of a minion, which may be new here.
func (c *Core) offer(e Offer) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.findMinion(e.Agent)
	if m != nil && m.incarnation != e.Incarnation {
		c.agentRestarted(s, m)
		m = nil
	}
	if m == nil {
		// This entry may have removed the minion earlier, while its agent still
		// has the highest serial received from this entry. Serials go on from
		// there: if they started at 0 again, the old calls would count as
		// additional free slots.
		m = &minion{agent: e.Agent, incarnation: e.Incarnation, lastSerial: e.Slots.Seen, serialAtOffer: e.Slots.Seen}
		s.minions = append(s.minions, m)
	}
	m.lastContact = c.now
	m.ackedSerial = max(m.ackedSerial, m.serialAtOffer)
	m.serialAtOffer = m.lastSerial
	m.size = e.Size
	m.draining = m.draining || e.Leaving
	m.updateSlots(e.Slots)
	c.dispatch(s)
}

// agentRestarted removes a minion whose agent has restarted. The new incarnation
// can't answer the open attempts, so each is resolved by a kill.
func (c *Core) agentRestarted(s *service, m *minion) {
	c.removeMinion(s, m)
	for _, r := range c.sortedRequests() {
		for _, a := range r.attempts {
			if a.minion == m && c.transition(a, "silent") {
				c.kill(r, a)
			}
		}
	}
}

func (c *Core) removeMinion(s *service, m *minion) {
	for i, o := range s.minions {
		if o == m {
			s.minions = append(s.minions[:i], s.minions[i+1:]...)
			return
		}
	}
}

// grant dispatches waiting requests to the reserved slots. Grants that are not
// used at once are dropped. If no request waits any more, the bid is withdrawn,
// so that the agent releases the reservations.
func (c *Core) grant(e Grant) {
	s := c.services[e.Service]
	if s == nil {
		return
	}
	m := s.findMinion(e.Agent)
	if m == nil || m.incarnation != e.Incarnation {
		return
	}
	m.lastContact = c.now
	m.updateSlots(e.Slots)
	m.grantedSlots += max(0, e.Count)
	c.dispatch(s)
	if m.grantedSlots > 0 && s.queue.length == 0 {
		c.withdrawBid(m)
	}
	m.grantedSlots = 0
}
