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
	// Sent counts requests; Good, NotRun and Unknown count them by final
	// outcome. Good ones ran within their timeout.
	Sent, Good, NotRun, Unknown int
	// IdleWaits counts short requests that waited while a slot was free on some
	// minion, for longer than network delays explain.
	IdleWaits int
	// Messages counts messages between entries and agents, and Sends the
	// attempts among them.
	Messages, Sends int
	// Seconds sums up the requests by the second of their arrival.
	Seconds []Second
	// Reasons counts the answers of requests that did not run, by outcome and
	// reason.
	Reasons map[string]int
	// Violations lists the violated invariants that package check found.
	Violations []string
}

// Second sums up the requests that arrived in one second.
type Second struct {
	Sent, Good int
	latency    *hdrhistogram.Histogram
}

// P99 returns the 99th percentile of the second's short requests.
func (s Second) P99() time.Duration {
	if s.latency == nil {
		return 0
	}
	return time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
}

// Quantile returns a quantile, from 0 to 100, of short requests that ran.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Short.ValueAtQuantile(q)) * time.Microsecond
}

// Range and precision of the histograms.
const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// recorder collects the outcome of a run.
type recorder struct {
	Outcome
	cfg Config
}

func newRecorder(c Config, policy string, entries int, load float64, seed uint64) *recorder {
	r := &recorder{cfg: c}
	r.Outcome = Outcome{Policy: policy, Entries: entries, Load: load, Seed: seed, Short: hdrhistogram.New(1, maxLatencyMicros, significantDigits), Reasons: map[string]int{}}
	r.Seconds = make([]Second, int(c.length()/time.Second)+1)
	return r
}

// add records the final answer of a request; idle tells whether the request
// counts for IdleWaits. Requests of the warm-up count only for their second.
func (r *recorder) add(a arrival, end time.Duration, o wire.Outcome, idle bool) {
	s := &r.Seconds[int(a.at/time.Second)]
	s.Sent++
	took := end - a.at
	good := o == wire.Ran && took <= r.cfg.Timeout.Std()
	if good {
		s.Good++
	}
	if o == wire.Ran && !a.straggler {
		if s.latency == nil {
			s.latency = hdrhistogram.New(1, maxLatencyMicros, 2)
		}
		_ = s.latency.RecordValue(max(1, took.Microseconds()))
	}
	if a.at < r.cfg.Warm.Std() {
		return
	}
	r.count(a, took, o, good, idle)
}

// count adds a request to the totals of the run.
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
	if a.straggler {
		return
	}
	if idle {
		r.IdleWaits++
	}
	if o == wire.Ran {
		_ = r.Short.RecordValue(max(1, took.Microseconds()))
	}
}

// idleMeter measures the total time during which at least one slot was free.
type idleMeter struct {
	slots, busy int
	total       time.Duration
	since       time.Duration
}

// read returns the total up to now.
func (c *idleMeter) read(now time.Duration) time.Duration {
	if c.busy < c.slots {
		return c.total + now - c.since
	}
	return c.total
}

// addBusy changes the number of busy slots.
func (c *idleMeter) addBusy(now time.Duration, by int) {
	c.total = c.read(now)
	c.since = now
	c.busy += by
}
