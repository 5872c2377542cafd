// Package load sends requests to entries in an open loop: requests are sent on a
// schedule that does not depend on the answers, and latency is measured from the
// scheduled time. Otherwise a stall would delay further requests and so be
// underestimated (coordinated omission).
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
	// Entries are the addresses of entries for callers, used in turn.
	Entries []string
	Service string
	// Rate is the number of arrivals per second, and For how long they last.
	Rate float64
	For  time.Duration
	// Median is the median run time. Run times have a log-normal distribution
	// with Sigma, and a share Long of them (stragglers) is Factor times as long.
	Median time.Duration
	Sigma  float64
	Long   float64
	Factor float64
	// Once is the share of requests that are not idempotent.
	Once float64
	// Timeout is the callers' timeout; 0 uses that of the service.
	Timeout time.Duration
	// Tries is how often a caller sends a request while its outcome is not-run.
	Tries int
	// Size is the approximate number of bytes in a body.
	Size int
	Seed uint64
	// Direct sends to minions without the system in between, for comparison.
	Direct bool
	// Check records requests and answers to verify the invariants. It may be nil.
	Check *check.Check

	httpClient *client.Client
	mu         sync.Mutex
	report     Report
}

// Report sums up a stream.
type Report struct {
	Service string
	// Latency holds the latencies of requests that ran, in microseconds, and
	// Short those of requests that were not stragglers.
	Latency, Short *hdrhistogram.Histogram
	// Outcomes counts answers by outcome and reason.
	Outcomes map[string]int
	Sent     int
	// WrongBodies counts answers whose body does not belong to the request.
	WrongBodies int
}

const (
	// maxLatencyMicros is the highest latency that is recorded, in microseconds.
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	// maxConnsPerEntry limits the connections to one entry.
	maxConnsPerEntry = 4096
	// minAnswerWait is the shortest time after which a call without an answer
	// fails. It applies if Timeout is 0, since the timeout of the service is not
	// known here.
	minAnswerWait = 30 * time.Second
)

// Run sends the stream and returns its report after the last answer.
func (l *Load) Run(ctx context.Context) (Report, error) {
	h, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithMaxConnsPerHost(maxConnsPerEntry),
		client.WithDialTimeout(time.Second),
	)
	if err != nil {
		return Report{}, err
	}
	l.httpClient = h
	l.report = Report{
		Service:  l.Service,
		Latency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Short:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Outcomes: map[string]int{},
	}
	l.sendAll(ctx)
	h.CloseIdleConnections()
	return l.report, nil
}

// plannedRequest is one scheduled request.
type plannedRequest struct {
	number        int
	at            time.Duration
	runTime       time.Duration
	straggler     bool
	nonIdempotent bool
}

// sendAll sends each request at its scheduled time and waits for all answers.
func (l *Load) sendAll(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.Seed, 7))
	start := time.Now()
	var all sync.WaitGroup
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.For {
			break
		}
		p := l.planRequest(rng, n, at)
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

// planRequest draws the run time and kind of the n-th request.
func (l *Load) planRequest(rng *rand.Rand, n int, at time.Duration) plannedRequest {
	p := plannedRequest{number: n, at: at}
	runTime := float64(l.Median) * math.Exp(l.Sigma*rng.NormFloat64())
	if rng.Float64() < l.Long {
		p.straggler = true
		runTime *= l.Factor
	}
	p.runTime = time.Duration(runTime)
	p.nonIdempotent = rng.Float64() < l.Once
	return p
}

// call sends one request and retries it while its outcome is not-run.
func (l *Load) call(start time.Time, p plannedRequest) {
	method, kind := "PUT", "short"
	if p.nonIdempotent {
		method = "POST"
	}
	if p.straggler {
		kind = "long"
	}
	path := fmt.Sprintf("/%s/%s/%d", l.Service, kind, p.number)
	body := []byte(strings.Repeat(fmt.Sprint(p.number, "."), 1+l.Size/8))
	var out answer
	for try := range max(1, l.Tries) {
		out = l.send(l.Entries[(p.number+try)%len(l.Entries)], method, path, body, p.runTime)
		if out.outcome != wire.NotRun {
			break
		}
	}
	l.record(out, time.Since(start)-p.at, p)
}

// answer is what a caller received. bodyMatches reports whether the body is the
// digest of the request's own content.
type answer struct {
	outcome     wire.Outcome
	reason      string
	bodyMatches bool
}

// send sends a request once and passes request and answer to Check.
func (l *Load) send(entry, method, path string, body []byte, runTime time.Duration) answer {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + entry + path)
	req.Header.Set("Stand-Work", runTime.String())
	if l.Timeout > 0 {
		req.Header.Set("Lagoon-Timeout", l.Timeout.String())
	}
	req.SetBody(body)
	ctx, cancel := context.WithTimeout(context.Background(), max(minAnswerWait, 2*l.Timeout))
	defer cancel()
	if err := l.httpClient.Do(ctx, req, resp); err != nil {
		return answer{outcome: wire.Unknown, reason: "connection"}
	}
	a := answer{
		outcome: wire.Outcome(resp.Header.Get("Lagoon-Outcome")),
		reason:  resp.Header.Get("Lagoon-Reason"),
	}
	if l.Direct && resp.StatusCode() == 200 {
		a.outcome = wire.Ran
	}
	a.bodyMatches = strings.TrimSpace(string(resp.Body())) == digest.Of(method, path, body)
	if l.Check != nil {
		id := resp.Header.Get("Lagoon-Request")
		l.Check.RequestSent(id, method != "POST")
		l.Check.RequestAnswered(id, a.outcome, a.bodyMatches)
	}
	return a
}

// record adds an answer with latency d to the report.
func (l *Load) record(a answer, d time.Duration, p plannedRequest) {
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
	if !a.bodyMatches {
		l.report.WrongBodies++
	}
	_ = l.report.Latency.RecordValue(max(1, d.Microseconds()))
	if !p.straggler {
		_ = l.report.Short.RecordValue(max(1, d.Microseconds()))
	}
}

// Quantile returns a latency quantile, from 0 to 100, of the requests that ran.
func (r Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}
