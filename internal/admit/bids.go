package admit

import "time"

// demand records how many requests wait at an entry.
func (c *Core) demand(e Demand) {
	if e.Incarnation != c.Incarnation {
		return
	}
	en := c.entryFor(e.Entry)
	c.setDemand(en, e.Waiting, e.Age)
	if e.Waiting == 0 {
		c.reserved -= len(en.reservations)
		en.reservations = nil
	}
	c.grantSlots()
}

// setDemand sets the number of requests that wait at an entry and the age of the
// oldest.
func (c *Core) setDemand(en *entry, waiting int, age time.Duration) {
	en.waiting = waiting
	en.oldestSince = c.now - age
	en.demandAt = c.now
}

// grantSlots reserves slots for the entries whose requests have waited longest and
// notifies each of these entries once.
func (c *Core) grantSlots() {
	for !c.draining && c.running+len(c.waiting)+c.reserved < c.Slots+c.ExtraGrants {
		en := c.longestWaiting()
		if en == nil {
			break
		}
		en.reservations = append(en.reservations, c.now+c.ReservationTime)
		en.unsentGrants++
		c.reserved++
	}
	for _, en := range c.entryOrder {
		if en.unsentGrants > 0 {
			c.emit(Grant{Entry: en.name, Count: en.unsentGrants, Slots: c.SlotsFor(en.name)})
			en.unsentGrants = 0
		}
	}
}

// longestWaiting returns the entry whose request has waited longest, among the
// entries that have more waiting requests than reserved slots and a recent demand.
func (c *Core) longestWaiting() *entry {
	var best *entry
	for _, en := range c.entryOrder {
		if en.waiting <= len(en.reservations) || c.now-en.demandAt > demandValidity {
			continue
		}
		if best == nil || en.oldestSince < best.oldestSince {
			best = en
		}
	}
	return best
}

// useReservation removes the oldest reservation of an entry, if there is one.
func (c *Core) useReservation(en *entry) {
	if len(en.reservations) == 0 {
		return
	}
	en.reservations = en.reservations[1:]
	c.reserved--
}

// expireReservations removes the reservations that have expired.
func (c *Core) expireReservations() {
	for _, en := range c.entryOrder {
		for len(en.reservations) > 0 && c.now >= en.reservations[0] {
			c.useReservation(en)
		}
	}
}
