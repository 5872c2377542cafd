//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"
)

// minion is a stand-in of a minion with guarded capacity. A run takes taskTime and succeeds,
// unless the spec of its job is one of those below.
type minion struct {
	*stage
	server   *httptest.Server
	name     string
	born     int64
	announce string

	mu sync.Mutex
	// changed wakes the hold calls that wait.
	changed *sync.Cond
	// leaseEnd is by the minion's clock, in milliseconds.
	leaseEnd float64
	token    uint64
	// runs holds the runs at work by task, and highest the highest run of each task that
	// ended or was stopped.
	runs    map[string]*run
	highest map[string]int64
	// ends holds the ends that may not be forgotten yet.
	ends    []end
	lastEnd int64
}

// run is a run at work.
type run struct {
	task, spec string
	num        int64
	began      time.Time
}

// end is the end of a run.
type end struct {
	n    int64
	task string
	num  int64
	how  string
}

const (
	// minionCPU and minionMemory are the capacity of a minion.
	minionCPU, minionMemory = 8000, 8000
	// maxHold is maxHoldMs, in milliseconds.
	maxHold = 6000
	// endCheck is how often a minion looks whether runs end.
	endCheck = 10 * time.Millisecond
)

// The specs of jobs whose runs don't just succeed after taskTime. failUpTo is followed by a
// number: runs up to it fail, and the next one succeeds.
const (
	lasts    = "lasts"
	fails    = "fails"
	failUpTo = "fails up to run "
)

// outcome returns how a run ends by itself, or "" while it is at work.
func (r *run) outcome() string {
	switch {
	case r.spec == lasts || time.Since(r.began) < taskTime:
		return ""
	case r.spec == fails:
		return "failed"
	}
	var last int64
	if n, _ := fmt.Sscanf(r.spec, failUpTo+"%d", &last); n == 1 && r.num <= last {
		return "failed"
	}
	return "done"
}

// newMinion starts a minion.
func newMinion(s *stage, name string) *minion {
	m := &minion{stage: s, name: name, born: time.Now().UnixMilli(), runs: map[string]*run{}, highest: map[string]int64{}}
	m.changed = sync.NewCond(&m.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	mux.HandleFunc("POST /pace", m.handle(func(order) (int, reply) { return http.StatusOK, reply{} }))
	m.server = httptest.NewServer(mux)
	go m.loopEnds()
	return m
}

func (m *minion) addr() string { return strings.TrimPrefix(m.server.URL, "http://") }

// clock returns the minion's steady time in milliseconds.
func (m *minion) clock() float64 { return float64(time.Now().UnixMilli()-m.born) + 1 }

// loopEnds ends the runs whose time has come, and all of them when the lease has expired.
func (m *minion) loopEnds() {
	for {
		time.Sleep(endCheck)
		m.mu.Lock()
		for _, r := range m.runs {
			if m.clock() > m.leaseEnd {
				m.endRun(r, "lapsed")
			} else if how := r.outcome(); how != "" {
				m.endRun(r, how)
			}
		}
		m.changed.Broadcast()
		m.mu.Unlock()
	}
}

// endRun ends a run.
func (m *minion) endRun(r *run, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.num)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, r.task, r.num, how})
	m.note(event{minion: m.name, kind: "end", task: r.task, run: r.num, how: how})
}

// order is the body of a call to a minion.
type order struct {
	Task     string  `json:"task"`
	Run      int64   `json:"runId"`
	Spec     string  `json:"spec"`
	Until    float64 `json:"untilMs"`
	Token    uint64  `json:"fencingToken"`
	LastSeen int64   `json:"lastSeen"`
	WaitMs   int64   `json:"waitMs"`
}

// reply is the body of a minion's response.
type reply map[string]any

// handle returns the handler of a kind of calls.
func (m *minion) handle(do func(order) (int, reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if x := r.Header.Get("X-Lagoonrack-Expected-Instance"); x != "" && x != m.name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		status, body := http.StatusConflict, reply{"reason": "fence"}
		if o.Token >= m.token {
			m.token = o.Token
			status, body = do(o)
		}
		body["clockMs"], body["born"] = m.clock(), m.born
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// extend extends the lease.
func (m *minion) extend(until float64) { m.leaseEnd = max(m.leaseEnd, min(until, m.clock()+maxHold)) }

// start starts a run.
func (m *minion) start(o order) (int, reply) {
	used := m.cpuOf(o.Task)
	for _, r := range m.runs {
		used += m.cpuOf(r.task)
	}
	refuse := func(reason string) (int, reply) { return http.StatusConflict, reply{"reason": reason} }
	if have := m.runs[o.Task]; have != nil && have.num == o.Run {
		m.extend(o.Until)
		return http.StatusOK, reply{}
	}
	switch {
	case o.Until < m.clock():
		return refuse("late")
	case o.Run <= m.highest[o.Task]:
		m.extend(o.Until)
		return refuse("old")
	case used > minionCPU:
		m.extend(o.Until)
		return refuse("room")
	}
	m.extend(o.Until)
	m.runs[o.Task] = &run{o.Task, o.Spec, o.Run, time.Now()}
	m.note(event{minion: m.name, kind: "start", task: o.Task, run: o.Run})
	return http.StatusOK, reply{}
}

// stop stops a run, which then never starts.
func (m *minion) stop(o order) (int, reply) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.num == o.Run {
		m.endRun(r, "stopped")
		m.changed.Broadcast()
	}
	return http.StatusOK, reply{}
}

// hold extends the lease, forgets ends, waits for an end, and lists runs and ends.
func (m *minion) hold(o order) (int, reply) {
	m.extend(o.Until)
	for len(m.ends) > 0 && m.ends[0].n <= o.LastSeen {
		m.ends = m.ends[1:]
	}
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(m.ends) == 0 && time.Now().Before(until); {
		m.changed.Wait()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.num, "", r.percent(), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range m.ends {
		ended = append(ended, []any{e.n, e.task, e.num, e.how, ""})
	}
	return http.StatusOK, reply{"running": running, "endedRuns": ended}
}

// percent returns the progress of a run.
func (r *run) percent() int {
	if r.spec == lasts {
		return 100
	}
	return int(min(99, 100*time.Since(r.began)/taskTime))
}

// loopHeartbeats sends the minion's heartbeats to its agent.
func (m *minion) loopHeartbeats() {
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d,
			"machine":%q,"labels":["a","r1"],"capacity":{"cpu":%d,"memMb":%d,"gpu":0}}`, service, m.addr(), sequence, m.born, "m-"+m.name, minionCPU, minionMemory)
		pause := heartbeatInterval
		resp, err := client.Post("http://"+m.announce+"/instances/"+m.name+"/heartbeat", "application/json", bytes.NewBufferString(body))
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			_ = resp.Body.Close()
		}
		time.Sleep(pause)
	}
}
