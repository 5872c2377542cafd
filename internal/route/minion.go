package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// minion is the entry's view of one minion and its agent.
type minion struct {
	agent       string
	incarnation string
	size        int
	draining    bool
	// slots is the newest report of slots from the agent.
	slots wire.Slots
	// lastContact is when the agent last sent a message or a reply.
	lastContact time.Duration
	// lastSerial is the serial of the last call sent to this incarnation of
	// the agent. Serials only grow.
	lastSerial uint64
	// ackedSerial is the highest serial that the agent has acknowledged, or
	// that counts as lost (see serialAtOffer).
	ackedSerial uint64
	// serialAtOffer is lastSerial at the time of the last Offer. Calls up to
	// it that are not acknowledged by the next Offer count as lost, so that
	// they no longer reduce the free slots.
	serialAtOffer uint64
	// openAttempts is the number of attempts that have not ended.
	openAttempts int
	// failures counts consecutive failures; a completed attempt or an ejection
	// resets it.
	failures int
	// ejectedUntil is the time until which the minion gets no requests, or 0.
	ejectedUntil time.Duration
	// backoff is the duration of the last ejection. It doubles with each
	// consecutive ejection.
	backoff time.Duration
	// meanRunTime is a moving average of the run time in seconds.
	meanRunTime float64
	// lastBid is the number of waiting requests in the last bid to the agent.
	lastBid int
	// lastBidAt is when that bid was sent.
	lastBidAt time.Duration
	// grantedSlots counts the slots that the agent has reserved for this entry
	// and that are not used yet.
	grantedSlots int
}

const (
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// runTimeWeight is the weight of the newest run time in the moving average.
	runTimeWeight = 0.1
	// slowFactor is how many times the mean run time of the service that of a
	// minion must exceed for it to be used only as a last resort.
	slowFactor = 4
)

// freeSlots estimates how many more calls this entry may send: the free slots
// that the agent last reported plus agentQueue, minus the calls queued at the
// agent and the calls that it has not acknowledged yet.
func (m *minion) freeSlots(agentQueue int) int {
	inFlight := int(m.lastSerial - m.ackedSerial)
	return m.slots.Free + agentQueue - m.slots.Queued - inFlight
}

// updateSlots stores a report of slots unless a newer one has arrived already.
func (m *minion) updateSlots(s wire.Slots) {
	if s.Seq <= m.slots.Seq {
		return
	}
	m.slots = s
	m.ackedSerial = max(m.ackedSerial, s.Seen)
}

// recordRunTime updates meanRunTime with one completed attempt.
func (m *minion) recordRunTime(d time.Duration) {
	if m.meanRunTime == 0 {
		m.meanRunTime = d.Seconds()
		return
	}
	m.meanRunTime += runTimeWeight * (d.Seconds() - m.meanRunTime)
}

// usable reports whether the minion may get requests: it is neither draining,
// unresponsive nor ejected.
func (m *minion) usable(now, unresponsiveAfter time.Duration) bool {
	return !m.draining && now-m.lastContact < unresponsiveAfter && now >= m.ejectedUntil
}

// eject takes the minion out of use, each consecutive time for twice as long up
// to maxBackoff.
func (m *minion) eject(now time.Duration) {
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	m.ejectedUntil = now + m.backoff
	m.failures = 0
}
