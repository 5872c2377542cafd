// Package load sends requests to entries in an open loop: arrivals follow a
// schedule whatever the answers, and latency counts from the scheduled arrival,
// so that a stall is not hidden by the requests it kept from being sent.
package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"lagoonrack/internal/check"
	"lagoonrack/internal/digest"
	"lagoonrack/internal/wire"
)

// Load is a stream of requests to one service.
type Load struct {
	// Entries are callers' addresses, used in turn.
	Entries []string
	Service string
	// Rate is arrivals a second, and For how long they last.
	Rate float64
	For  time.Duration
	// Median is the median run time. Run times are log-normal with Sigma, and
	// a share Long of them takes Factor times as long.
	Median time.Duration
	Sigma  float64
	Long   float64
	Factor float64
	// Once is the share of requests that are not idempotent.
	Once float64
	// Timeout is the callers' budget; 0 leaves it to the service.
	Timeout time.Duration
	// Tries is how often a caller sends a request whose outcome is not-run.
	Tries int
	// Size is the number of bytes in a body.
	Size int
	Seed uint64
	// Direct sends to minions without the system between, for comparison.
	Direct bool
	// Check is told what was asked and answered. It may be nil.
	Check *check.Check

	http   *client.Client
	mu     sync.Mutex
	report Report
}

// Report sums up a stream.
type Report struct {
	Service string
	// Latency holds microseconds of the requests that ran, and Short of those
	// that were not stragglers.
	Latency, Short *hdrhistogram.Histogram
	// Outcomes counts answers by outcome and reason.
	Outcomes map[string]int
	Sent     int
	Wrong    int
}

const (
	// longest is the highest latency that is recorded, in microseconds.
	longest = 600_000_000
	digits  = 3
	// connections bounds the connections to one entry.
	connections = 4096
	// defaultWait bounds a call whose budget is left to the service.
	defaultWait = 30 * time.Second
)

// Run sends the stream and returns its report once all answers are in.
func (l *Load) Run(ctx context.Context) (Report, error) {
	h, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(connections),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return Report{}, err
	}
	l.http = h
	l.report = Report{
		Service:  l.Service,
		Latency:  hdrhistogram.New(1, longest, digits),
		Short:    hdrhistogram.New(1, longest, digits),
		Outcomes: map[string]int{},
	}
	l.loop(ctx)
	h.CloseIdleConnections()
	return l.report, nil
}

// plan is one request to come.
type plan struct {
	number int
	at     time.Duration
	work   time.Duration
	long   bool
	once   bool
}

// loop sends each request at its time.
func (l *Load) loop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.Seed, 7))
	start := time.Now()
	var all sync.WaitGroup
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.For {
			break
		}
		p := l.plan(rng, n, at)
		select {
		case <-ctx.Done():
			all.Wait()
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		all.Go(func() { l.call(start, p) })
	}
	all.Wait()
}

func (l *Load) plan(rng *rand.Rand, n int, at time.Duration) plan {
	p := plan{number: n, at: at}
	work := float64(l.Median) * math.Exp(l.Sigma*rng.NormFloat64())
	if rng.Float64() < l.Long {
		p.long = true
		work *= l.Factor
	}
	p.work = time.Duration(work)
	p.once = rng.Float64() < l.Once
	return p
}

// call sends one request, again while its outcome is not-run.
func (l *Load) call(start time.Time, p plan) {
	method, kind := "PUT", "short"
	if p.once {
		method = "POST"
	}
	if p.long {
		kind = "long"
	}
	path := fmt.Sprintf("/%s/%s/%d", l.Service, kind, p.number)
	body := []byte(strings.Repeat(fmt.Sprint(p.number, "."), 1+l.Size/8))
	var out answer
	for try := range max(1, l.Tries) {
		out = l.send(l.Entries[(p.number+try)%len(l.Entries)], method, path, body, p.work)
		if out.outcome != wire.NotRun {
			break
		}
	}
	l.count(out, time.Since(start)-p.at, p)
}

// answer is what a caller was told.
type answer struct {
	outcome wire.Outcome
	reason  string
	own     bool
}

func (l *Load) send(entry, method, path string, body []byte, work time.Duration) answer {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + entry + path)
	req.Header.Set("Stand-Work", work.String())
	if l.Timeout > 0 {
		req.Header.Set("Lagoon-Timeout", l.Timeout.String())
	}
	req.SetBody(body)
	ctx, cancel := context.WithTimeout(context.Background(), max(defaultWait, 2*l.Timeout))
	defer cancel()
	if err := l.http.Do(ctx, req, resp); err != nil {
		return answer{outcome: wire.Unknown, reason: "connection"}
	}
	a := answer{
		outcome: wire.Outcome(resp.Header.Get("Lagoon-Outcome")),
		reason:  resp.Header.Get("Lagoon-Reason"),
	}
	if l.Direct && resp.StatusCode() == 200 {
		a.outcome = wire.Ran
	}
	a.own = strings.TrimSpace(string(resp.Body())) == digest.Of(method, path, body)
	if l.Check != nil {
		id := resp.Header.Get("Lagoon-Request")
		l.Check.RequestSent(id, method != "POST")
		l.Check.RequestAnswered(id, a.outcome, a.own)
	}
	return a
}

func (l *Load) count(a answer, d time.Duration, p plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	name := string(a.outcome)
	if a.reason != "" {
		name += " " + a.reason
	}
	l.report.Outcomes[name]++
	if a.outcome != wire.Ran {
		return
	}
	if !a.own {
		l.report.Wrong++
	}
	_ = l.report.Latency.RecordValue(max(1, d.Microseconds()))
	if !p.long {
		_ = l.report.Short.RecordValue(max(1, d.Microseconds()))
	}
}

// Quantile returns a latency quantile, from 0 to 100, of the requests that ran.
func (r Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}
