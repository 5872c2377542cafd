package admit

import "time"

// bid takes an entry's word on how many of its requests wait.
func (c *Core) bid(e Bid) {
	if e.Incarnation != c.Incarnation {
		return
	}
	en := c.from(e.Entry)
	c.note(en, e.Waiting, e.Age)
	if e.Waiting == 0 {
		c.reserved -= len(en.holds)
		en.holds = nil
	}
	c.grants()
}

func (c *Core) note(en *entry, waiting int, age time.Duration) {
	en.waiting = waiting
	en.oldest = c.now - age
	en.bidAt = c.now
}

// grants tells entries whose requests wait, oldest first, that there is room.
func (c *Core) grants() {
	for !c.leaving && c.running+len(c.waiting)+c.reserved < c.Slots+c.Ahead {
		en := c.neediest()
		if en == nil {
			break
		}
		en.holds = append(en.holds, c.now+c.Hold)
		en.granted++
		c.reserved++
	}
	for _, en := range c.order {
		if en.granted > 0 {
			c.emit(Grant{Entry: en.name, Count: en.granted, Slots: c.State(en.name)})
			en.granted = 0
		}
	}
}

// neediest returns the entry whose oldest waiting request is the oldest, less
// those for which it already has a slot.
func (c *Core) neediest() *entry {
	var best *entry
	for _, en := range c.order {
		if en.waiting <= len(en.holds) || c.now-en.bidAt > bidLife {
			continue
		}
		if best == nil || en.oldest < best.oldest {
			best = en
		}
	}
	return best
}

// unhold uses one slot that is kept for the entry, if there is one.
func (c *Core) unhold(en *entry) {
	if len(en.holds) == 0 {
		return
	}
	en.holds = en.holds[1:]
	c.reserved--
}

// lapse gives up slots that were kept too long.
func (c *Core) lapse() {
	for _, en := range c.order {
		for len(en.holds) > 0 && c.now >= en.holds[0] {
			c.unhold(en)
		}
	}
}
