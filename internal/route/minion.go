package route

import (
	"time"

	"lagoonrack/internal/wire"
)

// minion is what the entry knows of one minion and its agent.
type minion struct {
	agent       string
	incarnation string
	size        int
	leaving     bool
	slots       wire.Slots
	// heard is the time of the last sign of life.
	heard time.Duration
	// serial numbers the calls sent to this incarnation; it only grows.
	serial uint64
	// seen is the highest serial that the agent has reported to have received.
	seen uint64
	// offered is the serial at the last announcement. A call that was sent
	// before that and is still not seen at the next one was lost.
	offered uint64
	// live is the number of attempts without an end.
	live int
	// failures counts refusals and breaks in a row.
	failures int
	// ejected is the time until which the minion gets nothing, or 0.
	ejected time.Duration
	// backoff doubles with each ejection in a row.
	backoff time.Duration
	// pace is a moving average of the run time in seconds.
	pace float64
	// bid is the number of waiting requests last told to the agent.
	bid int
	// bidAt is when it was told.
	bidAt time.Duration
	// granted counts slots that the agent keeps for this entry.
	granted int
}

const (
	firstBackoff = time.Second
	lastBackoff  = 30 * time.Second
	// paceWeight is the weight of the newest run time in the average.
	paceWeight = 0.1
	// slowFactor is how many times slower than the rest a minion is when it is
	// used only as the last choice.
	slowFactor = 4
)

// free is the number of slots that this entry may still fill, as far as it
// knows: what the agent last reported, less the calls it had not seen then.
func (m *minion) free(spare int) int {
	transit := int(m.serial - m.seen)
	return m.slots.Free + spare - m.slots.Queued - transit
}

// report takes a newer report of slots and drops an older one.
func (m *minion) report(s wire.Slots) {
	if s.Seq <= m.slots.Seq {
		return
	}
	m.slots = s
	m.seen = max(m.seen, s.Seen)
}

func (m *minion) learn(d time.Duration) {
	if m.pace == 0 {
		m.pace = d.Seconds()
		return
	}
	m.pace += paceWeight * (d.Seconds() - m.pace)
}

func (m *minion) usable(now, silent time.Duration) bool {
	return !m.leaving && now-m.heard < silent && now >= m.ejected
}

// eject takes the minion out of use, for longer after each time in a row.
func (m *minion) eject(now time.Duration) {
	m.backoff = min(max(2*m.backoff, firstBackoff), lastBackoff)
	m.ejected = now + m.backoff
	m.failures = 0
}
