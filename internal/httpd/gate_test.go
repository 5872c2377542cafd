package httpd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lagoonrack/internal/inflow"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/tally"
	"lagoonrack/internal/unit"
)

const testBodyLimit = 64 << 10

// patience bounds each wait of these tests.
const patience = 20 * time.Second

// site is a server behind a gate. The server answers with the body of the request.
type site struct {
	t      *testing.T
	gate   *Gate
	server *Server
	set    tally.Set
	// entered gets a value when a request for /wait has reached its handler, which waits
	// until proceed is closed.
	entered, proceed chan struct{}
}

func newSite(t *testing.T, s proc.Inflow) *site {
	t.Helper()
	w := &site{t: t, entered: make(chan struct{}, 1), proceed: make(chan struct{})}
	w.gate = NewGate(s, logs.Log{}, &w.set)
	var err error
	if w.server, err = w.gate.ListenClients("127.0.0.1:0", testBodyLimit); err != nil {
		t.Fatal(err)
	}
	w.server.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		if string(rc.Path()) == "/wait" {
			w.entered <- struct{}{}
			<-w.proceed
		}
		rc.SetStatusCode(http.StatusOK)
		rc.Response.SetBody(bytes.Clone(rc.Request.Body()))
	})
	w.server.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		w.server.Stop(ctx)
	})
	return w
}

// caller is a client's connection.
type caller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (w *site) dial() *caller {
	w.t.Helper()
	c, err := net.Dial("tcp", w.server.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &caller{Conn: c, t: w.t, r: bufio.NewReader(c)}
}

// send sends text.
func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// checkAnswer checks the status and the body of the next answer.
func (c *caller) checkAnswer(status int, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || !strings.HasPrefix(string(data), body) {
		c.t.Errorf("got %d, %q, %v, want %d, %q", resp.StatusCode, data, err, status, body)
	}
}

// checkClosed checks that the server closes the connection without an answer.
func (c *caller) checkClosed() {
	c.t.Helper()
	if b, err := c.r.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		c.t.Errorf("got %q, %v instead of the end", b, err)
	}
}

// eventually waits until a condition holds.
func (w *site) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not in time: %s", what)
		}
	}
}

// held returns what the gate charges all connections.
func (w *site) held() int64 {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	return w.gate.core.Held()
}

// connections returns the number of connections.
func (w *site) connections() int {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	return w.gate.core.Len()
}

const postHead = "POST / HTTP/1.1\r\nHost: h\r\n"

func announced(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, len(body), body)
}

// Guards against requests inside the limits that are answered otherwise than without the gate:
// several on a connection, in one packet, in chunks, with an expectation, and of the maximum
// size.
func TestServesRequestsInsideTheLimits(t *testing.T) {
	w := newSite(t, proc.Inflow{})
	c := w.dial()
	largest := strings.Repeat("x", testBodyLimit)
	c.send(announced("one") + announced("two") + announced("") + announced(largest) + announced("three"))
	for _, body := range []string{"one", "two", "", largest, "three"} {
		c.checkAnswer(http.StatusOK, body)
	}
	c.send(postHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	c.checkAnswer(http.StatusOK, "abc")
	c.send(postHead + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	if line, err := c.r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" || err != nil {
		t.Errorf("got %q, %v", line, err)
	}
	_, _ = c.r.ReadString('\n')
	c.send("abc")
	c.checkAnswer(http.StatusOK, "abc")
	c.send(postHead + "Connection: close\r\n\r\n")
	c.checkAnswer(http.StatusOK, "")
	c.checkClosed()
	w.eventually("nothing is charged", func() bool { return w.held() == 0 && w.connections() == 0 })
}

// Guards against a client that closes its side after its request and gets no answer.
func TestAnswersAfterHalfClose(t *testing.T) {
	w := newSite(t, proc.Inflow{})
	c := w.dial()
	c.send(announced("abc"))
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c.checkAnswer(http.StatusOK, "abc")
	c.checkClosed()
}

// Guards against requests over the limits that are not refused or get a status that says
// something else.
func TestRefusesOverTheLimits(t *testing.T) {
	w := newSite(t, proc.Inflow{Head: 1000})
	for _, x := range []struct {
		sent   string
		status int
	}{
		{postHead + "A: " + strings.Repeat("a", 1000-len(postHead)-len("A: ")+1), http.StatusRequestHeaderFieldsTooLarge},
		{strings.Repeat("\r\n", 500) + "\r", http.StatusRequestHeaderFieldsTooLarge},
		{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", postHead, testBodyLimit+1), http.StatusRequestEntityTooLarge},
		{postHead + "Transfer-Encoding: chunked\r\n\r\n10001\r\n", http.StatusRequestEntityTooLarge},
		{postHead + "Transfer-Encoding: chunked\r\n\r\nx\r\n", http.StatusBadRequest},
	} {
		c := w.dial()
		c.send(x.sent)
		c.checkAnswer(x.status, `{"reason":`)
		c.checkClosed()
	}
	w.eventually("nothing is charged", func() bool { return w.held() == 0 && w.connections() == 0 })
	if n := w.set.Value("lagoon_inflow_refusals_total", "reason", string(inflow.BodySize)); n != 2 {
		t.Errorf("%d bodies counted as too large", n)
	}
}

// Guards against a crowd of unfinished bodies that uses more than the budget or keeps an
// ordinary request from being answered.
func TestRefusesUnfinishedBodiesOverTheBudget(t *testing.T) {
	const budget = 256 << 10
	w := newSite(t, proc.Inflow{Budget: budget})
	for range 20 {
		w.dial().send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, testBodyLimit, strings.Repeat("x", testBodyLimit-1)))
	}
	w.eventually("requests are refused", func() bool {
		return w.set.Value("lagoon_inflow_refusals_total", "reason", string(inflow.Memory)) > 0 && w.held() <= budget
	})
	c := w.dial()
	c.send(announced("abc"))
	c.checkAnswer(http.StatusOK, "abc")
}

// Guards against connections beyond the limit, and against new clients that silent ones keep
// out.
func TestKeepsTheLimitOfConnections(t *testing.T) {
	w := newSite(t, proc.Inflow{Connections: minConnections})
	first := w.dial()
	w.eventually("the first is accepted", func() bool { return w.connections() == 1 })
	for range minConnections - 1 {
		w.dial()
	}
	c := w.dial()
	c.send(announced("abc"))
	c.checkAnswer(http.StatusOK, "abc")
	first.checkClosed()
	if n := w.connections(); n != minConnections {
		t.Errorf("%d connections", n)
	}
}

// Guards against time limits that are not applied, and against one that cuts a client whose
// bytes have arrived while the process did not read them.
func TestAppliesTimeLimits(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		w := newSite(t, proc.Inflow{Header: unit.Duration(time.Nanosecond)})
		c := w.dial()
		c.send(postHead)
		c.checkAnswer(http.StatusRequestTimeout, `{"reason":"head_time"`)
		c.checkClosed()
	})
	t.Run("body", func(t *testing.T) {
		w := newSite(t, proc.Inflow{Body: unit.Duration(time.Nanosecond)})
		c := w.dial()
		c.send(postHead + "Content-Length: 3\r\n\r\nab")
		c.checkAnswer(http.StatusRequestTimeout, `{"reason":"body_time"`)
		c.checkClosed()
	})
	t.Run("idle", func(t *testing.T) {
		w := newSite(t, proc.Inflow{Idle: unit.Duration(time.Nanosecond)})
		w.dial().checkClosed()
	})
	t.Run("answer not read", func(t *testing.T) {
		w := newSite(t, proc.Inflow{Answer: unit.Duration(time.Nanosecond)})
		c := w.dial()
		// More than the buffers of both sockets hold.
		go func() {
			for range 1000 {
				if _, err := io.WriteString(c, announced(strings.Repeat("x", testBodyLimit))); err != nil {
					return
				}
			}
		}()
		w.eventually("the connection is closed", func() bool {
			return w.set.Value("lagoon_inflow_refusals_total", "reason", string(inflow.AnswerTime)) > 0 && w.connections() == 0
		})
	})
}

// Guards against a planned stop that cuts a request that was read whole.
func TestStopAnswersWholeRequests(t *testing.T) {
	w := newSite(t, proc.Inflow{})
	c := w.dial()
	c.send("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	<-w.entered
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		w.server.Stop(ctx)
	}()
	w.eventually("the listener is closed", func() bool {
		n, err := net.Dial("tcp", w.server.Addr())
		if err == nil {
			_ = n.Close()
		}
		return err != nil
	})
	close(w.proceed)
	c.checkAnswer(http.StatusOK, "abc")
	c.checkClosed()
	<-stopped
}

// Guards against a log with a line for each of many connections that are refused.
func TestLogsOncePerReasonAndInterval(t *testing.T) {
	var lines bytes.Buffer
	log, err := logs.New(&lines, "json", "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	g := NewGate(proc.Inflow{}, log, nil)
	for range 5 {
		g.note(inflow.Malformed)
	}
	g.note(inflow.HeadSize)
	g.tick(0)
	for range 5 {
		g.note(inflow.Malformed)
	}
	g.tick(logInterval - 1)
	if n := strings.Count(lines.String(), "\n"); n != 2 {
		t.Errorf("%d lines:\n%s", n, lines.String())
	}
	g.tick(1)
	if n := strings.Count(lines.String(), `"reason":"malformed"`); n != 2 {
		t.Errorf("%d lines for one reason:\n%s", n, lines.String())
	}
	if g.tick(logInterval) {
		t.Error("ticks go on without connections")
	}
}

// Guards against limits that are below what the operator's configuration allows clients, and
// against a configuration that lowers a limit of the settings.
func TestAllowsWhatTheConfigurationAllows(t *testing.T) {
	w := newSite(t, proc.Inflow{Head: 1000})
	before := w.gate.core.Limits
	w.gate.Allow(500, time.Millisecond, time.Millisecond)
	if w.gate.core.Limits != before || w.gate.head.Load() != 1000 {
		t.Errorf("the limits have become %+v", w.gate.core.Limits)
	}
	const head = 2 << 20
	w.gate.Allow(head, time.Hour, time.Hour)
	if l := w.gate.core.Limits; l.Head != timeMargin*time.Hour || l.Idle != time.Hour {
		t.Errorf("the limits have become %+v", l)
	}
	c := w.dial()
	c.send(postHead + "A: " + strings.Repeat("a", head-len(postHead)-len("A: \r\n\r\n")) + "\r\n\r\n")
	c.checkAnswer(http.StatusOK, "")
}

// Guards against settings whose value is not used, and defaults that cut ordinary clients.
func TestDerivesLimitsFromTheMachine(t *testing.T) {
	g := NewGate(proc.Inflow{Memory: 184, Descriptors: 4100}, logs.Log{}, nil)
	if g.core.Limits.Memory != 23<<20 || g.connections != 1537 {
		t.Errorf("%d bytes, %d connections", g.core.Limits.Memory, g.connections)
	}
	g = NewGate(proc.Inflow{}, logs.Log{}, nil)
	if g.core.Limits.Memory != defaultBudget || g.connections != defaultConnections || g.head.Load() != defaultHead {
		t.Errorf("%d bytes, %d connections, head %d", g.core.Limits.Memory, g.connections, g.head.Load())
	}
	g = NewGate(proc.Inflow{Memory: 184, Descriptors: 4100, Budget: 1 << 20, Connections: 20}, logs.Log{}, nil)
	if g.core.Limits.Memory != 1<<20 || g.connections != 20 {
		t.Errorf("%d bytes, %d connections", g.core.Limits.Memory, g.connections)
	}
}
