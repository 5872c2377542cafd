package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/conf"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/route"
	"lagoonrack/internal/wire"
)

// HTTP header fields of requests from callers and of the responses to them.
const (
	timeoutHeader    = "Lagoon-Timeout"
	idempotentHeader = "Lagoon-Idempotent"
	teamHeader       = "Lagoon-Team"
	keyHeader        = "Idempotency-Key"
	outcomeHeader    = "Lagoon-Outcome"
	reasonHeader     = "Lagoon-Reason"
	requestHeader    = "Lagoon-Request"
	attemptsHeader   = "Lagoon-Attempts"
)

// errorResponse is a response to a caller that the entry itself makes because it
// has no response of a minion.
type errorResponse struct {
	status  int
	outcome wire.Outcome
	reason  string
	text    string
}

// parsedRequest is a caller's HTTP request with the options from its headers.
type parsedRequest struct {
	service conf.Service
	call    wire.Call
	class   string
	team    string
	budget  time.Duration
	key     string
}

// serve handles a caller's HTTP request.
func (e *Entry) serve(ctx context.Context, rc *app.RequestContext) {
	a, bad := e.parse(rc)
	if bad != nil {
		e.respondError(rc, *bad)
		return
	}
	rc.Header(requestHeader, a.call.ID)
	if a.key != "" {
		e.serveKeyed(ctx, rc, a)
		return
	}
	e.respond(rc, a, e.run(a))
}

// parse reads an HTTP request, or returns the response that rejects it.
func (e *Entry) parse(rc *app.RequestContext) (parsedRequest, *errorResponse) {
	path := string(rc.Request.URI().RequestURI())
	name, _, _ := strings.Cut(strings.TrimPrefix(string(rc.Path()), "/"), "/")
	version, set := e.setup.Now()
	if version.Version == 0 {
		return parsedRequest{}, &errorResponse{http.StatusServiceUnavailable, wire.NotRun, "settings", "this entry has no settings yet"}
	}
	svc, ok := set.Service(name)
	if !ok {
		return parsedRequest{}, &errorResponse{http.StatusNotFound, wire.NotRun, "service", fmt.Sprintf("there is no service %q", name)}
	}
	body := rc.Request.Body()
	if int64(len(body)) > int64(svc.Body) {
		return parsedRequest{}, &errorResponse{http.StatusRequestEntityTooLarge, wire.NotRun, "body", fmt.Sprintf("the body has %d bytes; service %s takes %s", len(body), name, svc.Body)}
	}
	a := parsedRequest{service: svc, team: string(rc.GetHeader(teamHeader)), key: string(rc.GetHeader(keyHeader))}
	method := string(rc.Method())
	a.class = method + " " + string(rc.Path())
	a.call = wire.Call{
		ID:         ulid.Make().String(),
		Service:    name,
		Entry:      e.PeerAddr(),
		Method:     method,
		Path:       path,
		Header:     headerOf(rc),
		Body:       bytes.Clone(body),
		Idempotent: isIdempotent(method),
	}
	return a, a.options(rc)
}

// options reads the timeout and the idempotence of a request from its header
// fields.
func (a *parsedRequest) options(rc *app.RequestContext) *errorResponse {
	if v := string(rc.GetHeader(timeoutHeader)); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return &errorResponse{http.StatusBadRequest, wire.NotRun, "timeout", fmt.Sprintf("%s: %q is not a span such as 250ms", timeoutHeader, v)}
		}
		a.budget = d
	}
	switch v := string(rc.GetHeader(idempotentHeader)); v {
	case "":
	case "true":
		a.call.Idempotent = true
	case "false":
		a.call.Idempotent = false
	default:
		return &errorResponse{http.StatusBadRequest, wire.NotRun, "idempotent", fmt.Sprintf("%s: %q is neither true nor false", idempotentHeader, v)}
	}
	return nil
}

// isIdempotent reports whether RFC 9110, section 9.2.2, defines a method as
// idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// skippedHeaders are the header fields that are not forwarded: those that apply
// to one connection only (RFC 9110, section 7.6.1) and those that are set again
// on the way to the minion.
var skippedHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true,
	"lagoon-request": true, "lagoon-attempt": true,
}

// headerOf returns the header fields that are forwarded to the minion.
func headerOf(rc *app.RequestContext) []wire.Field {
	var out []wire.Field
	rc.Request.Header.VisitAll(func(k, v []byte) {
		if !skippedHeaders[strings.ToLower(string(k))] {
			out = append(out, wire.Field{Name: string(k), Value: string(v)})
		}
	})
	return out
}

// run passes a request to the route core and waits for its answer.
func (e *Entry) run(a parsedRequest) route.Answer {
	p := &pending{call: a.call, answer: make(chan route.Answer, 1)}
	e.mu.Lock()
	e.calls[a.call.ID] = p
	e.stepLocked(route.Arrive{
		ID:         a.call.ID,
		Service:    a.call.Service,
		Class:      a.class,
		Team:       a.team,
		Idempotent: a.call.Idempotent,
		Budget:     a.budget,
	})
	e.mu.Unlock()
	e.ticker.Wake()
	return <-p.answer
}

// respondError writes an errorResponse and counts it.
func (e *Entry) respondError(rc *app.RequestContext, r errorResponse) {
	e.tally.Inc("lagoon_refusals_total", "reason", r.reason)
	rc.Header(outcomeHeader, string(r.outcome))
	rc.Header(reasonHeader, r.reason)
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		rc.Header("Retry-After", "1")
	}
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetStatusCode(r.status)
	rc.SetBodyString(r.text + "\n")
}

// respond writes the route core's answer as the HTTP response and counts it.
func (e *Entry) respond(rc *app.RequestContext, a parsedRequest, ans route.Answer) {
	if e.OnAnswer != nil {
		e.OnAnswer(a.call.ID, ans.Outcome)
	}
	e.tally.Inc("lagoon_answers_total", "service", a.service.Name, "outcome", string(ans.Outcome), "reason", ans.Reason)
	e.tally.Seconds(ans.Total.Seconds(), "lagoon_request_seconds", "service", a.service.Name)
	if ans.Outcome != wire.Ran {
		e.log.Debug(logs.Answered, logs.Fields{"id": a.call.ID, "outcome": ans.Outcome, "reason": ans.Reason, "attempts": ans.Attempts})
		e.respondError(rc, errorResponseOf(ans))
		return
	}
	rc.Header(outcomeHeader, string(wire.Ran))
	if ans.Reason != "" {
		rc.Header(reasonHeader, ans.Reason)
	}
	rc.Header(attemptsHeader, fmt.Sprint(ans.Attempts))
	for _, f := range ans.Result.Header {
		rc.Response.Header.Add(f.Name, f.Value)
	}
	rc.SetStatusCode(ans.Result.Status)
	rc.Response.SetBody(ans.Result.Body)
}

// errorResponseOf returns the response for a request that got no response from a
// minion.
func errorResponseOf(a route.Answer) errorResponse {
	r := errorResponse{outcome: a.Outcome, reason: a.Reason}
	switch {
	case a.Outcome == wire.NotRun && a.Reason == "full":
		r.status, r.text = http.StatusTooManyRequests, "too many requests are queued; the request was not run"
	case a.Outcome == wire.NotRun:
		r.status, r.text = http.StatusServiceUnavailable, "not run: "+a.Reason
	case a.Reason == "timeout" || a.Reason == "late":
		r.status, r.text = http.StatusGatewayTimeout, "no response before the timeout; the request may have run"
	default:
		r.status, r.text = http.StatusBadGateway, "the response was lost; the request may have run"
	}
	return r
}
