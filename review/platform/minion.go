//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds that a minion keeps to, as the settings of a small deployment give them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	maxHoldMs      = 10_000
	stopTakes      = 100 * time.Millisecond
	maxListedEnds  = 500
)

// machine is a minion's machine.
type machine struct {
	rec *record
	// name is the id of its minion, control the address of the agent beside it.
	name, addr, control string
	cpu, memory         int64
	labels              []string

	mu   sync.Mutex
	life *minion
	srv  *http.Server
	seq  int
}

// minion is one incarnation.
type minion struct {
	machine *machine
	born    int64
	start   time.Time

	mu      sync.Mutex
	changed *sync.Cond
	// lease is the end of the lease by the minion's clock, in milliseconds.
	lease   float64
	token   uint64
	running map[string]*taskRun
	highest map[string]int64
	ends    [][]any
	lastEnd int64
}

// taskRun is one run of a task.
type taskRun struct {
	Task    string
	Run     int64
	Minion  string
	Born    int64
	Started time.Time
	// Ended is zero while the run is at work.
	Ended time.Time
	How   string
	// Noted is when the end was acknowledged while the lease was valid, or zero.
	Noted time.Time

	length   time.Duration
	lasts    bool
	cpu, mem int64
	// figure is the fifth entry of a row of running.
	figure int64
	stopAt time.Time
	number int64
}

func newMachine(rec *record, name, addr, control string, cpu, memory int64) *machine {
	return &machine{rec: rec, name: name, addr: addr, control: control, cpu: cpu, memory: memory, labels: []string{"a", "r1"}}
}

// boot starts the minion.
func (m *machine) boot() {
	x := &minion{machine: m, born: time.Now().UnixMilli(), start: time.Now(), running: map[string]*taskRun{}, highest: map[string]int64{}}
	x.changed = sync.NewCond(&x.mu)
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", m.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.call(x.runStart))
	mux.HandleFunc("POST /run-stop", x.call(x.runStop))
	mux.HandleFunc("POST /pace", x.call(x.pace))
	mux.HandleFunc("POST /hold", x.call(x.hold))
	srv := &http.Server{Handler: mux}
	m.mu.Lock()
	m.life, m.srv, m.seq = x, srv, 0
	m.mu.Unlock()
	m.rec.say(m.name, "is up, born %d", x.born)
	go func() { _ = srv.Serve(l) }()
	go x.loop()
	go x.beat()
}

// beat sends the heartbeats.
func (x *minion) beat() {
	client := &http.Client{Timeout: time.Second}
	for wait := time.Duration(0); ; time.Sleep(wait) {
		wait = heartbeatEvery
		if err := x.sendBeat(client); err != nil {
			wait = 300 * time.Millisecond
		}
	}
}

func (x *minion) sendBeat(client *http.Client) error {
	m := x.machine
	m.mu.Lock()
	m.seq++
	seq := m.seq
	m.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": "svc", "address": m.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": m.cpu, "memMb": m.memory, "gpu": 0}, "labels": m.labels, "machine": "m-" + m.name,
		"clockMs": x.clock(), "sequence": seq, "born": x.born, "remainingMs": 0,
	})
	must(err)
	resp, err := client.Post("http://"+m.control+"/instances/"+m.name+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if seq == 1 {
		m.rec.say(m.name, "first heartbeat of the incarnation born %d is acknowledged", x.born)
	}
	return nil
}

func (x *minion) clock() float64 { return float64(time.Since(x.start).Microseconds()) / 1000 }

// loop ends runs whose work is done, that are stopped, or whose lease has lapsed.
func (x *minion) loop() {
	for {
		time.Sleep(10 * time.Millisecond)
		x.mu.Lock()
		now := time.Now()
		for _, r := range x.running {
			switch {
			case x.clock() > x.lease:
				x.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				x.end(r, "stopped")
			case !r.lasts && now.Sub(r.Started) >= r.length:
				x.end(r, "done")
			}
		}
		x.changed.Broadcast()
		x.mu.Unlock()
	}
}

// end must be called with the mutex held.
func (x *minion) end(r *taskRun, how string) {
	delete(x.running, r.Task)
	x.highest[r.Task] = max(x.highest[r.Task], r.Run)
	x.lastEnd++
	r.number = x.lastEnd
	x.machine.rec.ended(r, how)
	x.ends = append(x.ends, []any{x.lastEnd, r.Task, r.Run, how, "", r})
}

type minionOrder struct {
	Task     string  `json:"task"`
	Spec     string  `json:"spec"`
	Run      int64   `json:"runId"`
	UntilMs  float64 `json:"untilMs"`
	Token    uint64  `json:"fencingToken"`
	LastSeen int64   `json:"lastSeen"`
	WaitMs   int64   `json:"waitMs"`
}

// call decodes an order and rejects one for another minion or with a lower fencing token.
func (x *minion) call(do func(context.Context, minionOrder) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o minionOrder
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e := r.Header.Get("X-Lagoonrack-Expected-Instance"); e != "" && e != x.machine.name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		x.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Token >= x.token {
			x.token = o.Token
			status, body = do(r.Context(), o)
		}
		body["clockMs"] = x.clock()
		if r.URL.Path == "/hold" {
			body["born"] = x.born
		}
		data, err := json.Marshal(body)
		x.mu.Unlock()
		must(err)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

// extend must be called with the mutex held.
func (x *minion) extend(until float64) {
	x.lease = max(x.lease, min(until, x.clock()+maxHoldMs))
}

func reason(s string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": s}
}

func (x *minion) runStart(_ context.Context, o minionOrder) (int, map[string]any) {
	have := x.running[o.Task]
	switch {
	case have != nil && have.Run == o.Run:
		x.extend(o.UntilMs)
		return http.StatusOK, map[string]any{}
	case o.UntilMs < x.clock():
		return reason("late")
	case o.Run <= x.highest[o.Task] || have != nil:
		x.extend(o.UntilMs)
		return reason("old")
	}
	x.extend(o.UntilMs)
	r := &taskRun{Task: o.Task, Run: o.Run, Minion: x.machine.name, Born: x.born, Started: time.Now()}
	r.length, r.lasts, r.cpu, r.mem, r.figure = parseSpec(o.Spec)
	cpu, mem := r.cpu, r.mem
	for _, b := range x.running {
		cpu, mem = cpu+b.cpu, mem+b.mem
	}
	if cpu > x.machine.cpu || mem > x.machine.memory {
		return reason("room")
	}
	x.running[o.Task] = r
	x.machine.rec.started(r)
	return http.StatusOK, map[string]any{}
}

// parseSpec reads the length of a run and the size of its task from the job's spec, such
// as "ms=300 cpu=500 mem=64"; ms=0 is a task that lasts, tail its tail latency, and fills=1
// a task that fills.
func parseSpec(spec string) (length time.Duration, lasts bool, cpu, mem, figure int64) {
	v := map[string]int64{}
	for _, f := range strings.Fields(spec) {
		k, n, _ := strings.Cut(f, "=")
		v[k], _ = strconv.ParseInt(n, 10, 64)
	}
	cpu, figure = v["cpu"], v["cpu"]
	if v["tail"] > 0 {
		figure = v["tail"]
	}
	if v["fills"] > 0 {
		cpu = 0
	}
	return time.Duration(v["ms"]) * time.Millisecond, v["ms"] == 0, cpu, v["mem"], figure
}

func (x *minion) runStop(_ context.Context, o minionOrder) (int, map[string]any) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.Run == o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTakes)
		x.machine.rec.say(x.machine.name, "is told to stop %s run %d", r.Task, r.Run)
	}
	return http.StatusOK, map[string]any{}
}

func (x *minion) pace(context.Context, minionOrder) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

func (x *minion) hold(ctx context.Context, o minionOrder) (int, map[string]any) {
	valid := x.clock() < x.lease
	x.extend(o.UntilMs)
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= o.LastSeen {
		if r := x.ends[0][5].(*taskRun); valid {
			x.machine.rec.noted(r)
		}
		x.ends = x.ends[1:]
	}
	end := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(x.ends) == 0 && time.Now().Before(end) && ctx.Err() == nil {
		x.changed.Wait()
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range x.running {
		percent := 100
		if !r.lasts {
			percent = int(min(99, 100*time.Since(r.Started)/max(1, r.length)))
		}
		running = append(running, []any{r.Task, r.Run, "", percent, r.figure})
	}
	for _, e := range x.ends[:min(len(x.ends), maxListedEnds)] {
		ends = append(ends, e[:5])
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": ends}
}
