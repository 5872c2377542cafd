package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonrack/internal/wire"
)

// Outcome sums up one run of one policy.
type Outcome struct {
	Policy  string
	Entries int
	Load    float64
	Seed    uint64
	// Short holds the latency of short requests that ran, in microseconds.
	Short *hdrhistogram.Histogram
	// Sent, Good, NotRun and Unknown count requests by what callers got; Good
	// ones ran within their timeout.
	Sent, Good, NotRun, Unknown int
	// Idle counts short requests that waited, while a slot was free anywhere,
	// for longer than a round trip.
	Idle int
	// Messages counts messages between entries and agents, and Sends the
	// attempts among them.
	Messages, Sends int
	// Seconds holds the 99th percentile and count of each second, by arrival.
	Seconds []Second
	// Reasons counts answers other than those that ran, by reason.
	Reasons map[string]int
	Bad     []string
}

// Second sums up the requests that arrived in one second.
type Second struct {
	Sent, Good int
	hist       *hdrhistogram.Histogram
}

// P99 returns the 99th percentile of the second's short requests.
func (s Second) P99() time.Duration {
	if s.hist == nil {
		return 0
	}
	return time.Duration(s.hist.ValueAtQuantile(99)) * time.Microsecond
}

// Quantile returns a quantile, from 0 to 100, of short requests that ran.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Short.ValueAtQuantile(q)) * time.Microsecond
}

const (
	longest = 600_000_000
	digits  = 3
)

// recorder fills an outcome.
type recorder struct {
	Outcome
	cfg Config
}

func newRecorder(c Config, policy string, entries int, load float64, seed uint64) *recorder {
	r := &recorder{cfg: c}
	r.Outcome = Outcome{Policy: policy, Entries: entries, Load: load, Seed: seed, Short: hdrhistogram.New(1, longest, digits), Reasons: map[string]int{}}
	r.Seconds = make([]Second, int(c.length()/time.Second)+1)
	return r
}

// add records the end of a request.
func (r *recorder) add(a arrival, end time.Duration, o wire.Outcome, idle bool) {
	s := &r.Seconds[int(a.at/time.Second)]
	s.Sent++
	took := end - a.at
	good := o == wire.Ran && took <= r.cfg.Timeout.Std()
	if good {
		s.Good++
	}
	if o == wire.Ran && !a.long {
		if s.hist == nil {
			s.hist = hdrhistogram.New(1, longest, 2)
		}
		_ = s.hist.RecordValue(max(1, took.Microseconds()))
	}
	if a.at < r.cfg.Warm.Std() {
		return
	}
	r.count(a, took, o, good, idle)
}

func (r *recorder) count(a arrival, took time.Duration, o wire.Outcome, good, idle bool) {
	r.Sent++
	switch {
	case o == wire.NotRun:
		r.NotRun++
	case o == wire.Unknown:
		r.Unknown++
	case good:
		r.Good++
	}
	if a.long {
		return
	}
	if idle {
		r.Idle++
	}
	if o == wire.Ran {
		_ = r.Short.RecordValue(max(1, took.Microseconds()))
	}
}

// idleClock sums the time during which some slot was free.
type idleClock struct {
	slots, busy int
	total       time.Duration
	since       time.Duration
}

// read returns the sum up to now.
func (c *idleClock) read(now time.Duration) time.Duration {
	if c.busy < c.slots {
		return c.total + now - c.since
	}
	return c.total
}

// change notes that a slot was taken or came free.
func (c *idleClock) change(now time.Duration, by int) {
	c.total = c.read(now)
	c.since = now
	c.busy += by
}
