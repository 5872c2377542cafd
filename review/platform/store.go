//go:build review

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the store, as the settings of a small deployment give them.
const (
	rowBytes      = 65536
	transactionMs = 3
	maxTxEntries  = 100
	maxTxBytes    = 1_000_000
	maxGetRows    = 500
)

// storeFault says what the store does with a call.
type storeFault int

const (
	served   storeFault = iota
	turnAway            // 503; nothing is done
)

// store is a stand-in of the platform's store of rows, after PROTOCOL.md.
type store struct {
	start time.Time
	rec   *record

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]storedRow
	version uint64
	history []storedRow
	// historyFrom is the version after which the history is complete.
	historyFrom uint64
	// fault chooses what happens to a call of a process. It may be nil.
	fault     func(caller string, r *http.Request) storeFault
	listeners []net.Listener
	tooLarge  int
	closed    bool
}

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storedRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func newStore(rec *record) *store {
	s := &store{start: time.Now(), rec: rec, rows: map[string]storedRow{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// listen returns a new address of the store for one process, so that the store can tell
// the callers apart.
func (s *store) listen(caller string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.listeners = append(s.listeners, l)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(caller, w, r) })}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String()
}

func (s *store) close() {
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

func (s *store) setFault(f func(caller string, r *http.Request) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *store) serve(caller string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(caller, r) == turnAway {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		time.Sleep(transactionMs * time.Millisecond)
		s.transact(caller, w, r)
	case "GET /rows-get":
		time.Sleep(time.Millisecond)
		s.get(w, r)
	case "GET /rows-parts":
		time.Sleep(time.Millisecond)
		s.parts(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type storeAnswer struct {
	Parts   []string    `json:"parts,omitempty"`
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"hasMore"`
	Version uint64      `json:"rowVersion"`
	Now     float64     `json:"nowMs"`
}

// answer must be called with the mutex held.
func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.Version = s.version
	a.Now = float64(time.Since(s.start).Microseconds()) / 1000
	if a.Rows == nil {
		a.Rows = []storedRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

type storeTx struct {
	Checks  []storedRow `json:"expectedRevision"`
	Puts    []storedRow `json:"puts"`
	Removes []storedRow `json:"remove"`
}

func (s *store) transact(caller string, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var t storeTx
	if err == nil {
		err = json.Unmarshal(data, &t)
	}
	if err != nil || len(data) > maxTxBytes || len(t.Checks)+len(t.Puts)+len(t.Removes) > maxTxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			if s.tooLarge++; s.tooLarge == 1 {
				s.rec.say("store", "%s writes row %s/%s of %d bytes; at most %d are allowed: 400, nothing done", caller, p.Table, p.Key, len(p.Value), rowBytes)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var current []storedRow
	ok := true
	for _, c := range t.Checks {
		have := s.rows[c.id()]
		ok = ok && have.Version == c.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, storeAnswer{Rows: current})
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, d := range t.Removes {
		if _, found := s.rows[d.id()]; found {
			delete(s.rows, d.id())
			s.history = append(s.history, storedRow{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
		}
	}
	s.changed.Broadcast()
	s.answer(w, http.StatusOK, storeAnswer{})
}

func (s *store) put(p storedRow) {
	p.Version, p.Deleted = s.version, false
	s.rows[p.id()] = p
	s.history = append(s.history, p)
}

// operator writes a row as the operator does.
func (s *store) operator(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(storedRow{Table: "op", Key: key, Value: value})
	s.changed.Broadcast()
}

// compact drops the history of changes.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyFrom, s.history = s.version, nil
	s.changed.Broadcast()
}

// keys returns the keys of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, r := range s.rows {
		if r.Table == table {
			out = append(out, r.Key)
		}
	}
	slices.Sort(out)
	return out
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[storedRow{Table: table, Key: key}.id()].Value
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxGetRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storedRow
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < limit && (n == 0 || size < maxTxBytes) {
		size += len(found[n].Value)*4/3 + 200
		n++
	}
	s.answer(w, http.StatusOK, storeAnswer{Rows: found[:n], More: n < len(found)})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for _, x := range s.rows {
		if x.Table == r.URL.Query().Get("table") {
			found[x.Part] = true
		}
	}
	s.answer(w, http.StatusOK, storeAnswer{Parts: slices.Sorted(maps.Keys(found))})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	wake := time.AfterFunc(time.Until(end), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if after < s.historyFrom {
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storedRow
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil || s.closed {
			s.answer(w, http.StatusOK, storeAnswer{Rows: rows})
			return
		}
		s.changed.Wait()
	}
}
