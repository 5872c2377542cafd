//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// advisor is a stand-in of the service that says which minions may run a step: all of them.
type advisor struct {
	*httptest.Server
	decision, period, validity time.Duration

	mu      sync.Mutex
	waiting int
	// turn is held by the call that is handled.
	turn chan struct{}
	logf func(format string, args ...any)
}

// maxWaitingAdvice is the number of waiting calls from which on further ones get 429.
const maxWaitingAdvice = 32

func newAdvisor(logf func(format string, args ...any), decision, period, validity time.Duration) *advisor {
	a := &advisor{logf: logf, decision: decision, period: period, validity: validity, turn: make(chan struct{}, 1)}
	a.Server = httptest.NewServer(http.HandlerFunc(a.advise))
	return a
}

func (a *advisor) addr() string { return strings.TrimPrefix(a.URL, "http://") }

// advise answers a call after those that came before it.
func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaitingAdvice {
		a.mu.Unlock()
		a.logf("advisor: %s answered 429", in.Step)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	came := time.Now()
	a.turn <- struct{}{}
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	gone := r.Context().Err() != nil
	time.Sleep(a.decision + time.Duration(len(in.Workers))*a.period)
	<-a.turn
	a.logf("advisor: %s, %d minions, answered after %v, the caller had gone: %v", in.Step, len(in.Workers), time.Since(came).Round(time.Millisecond), gone)
	good := [][]string{}
	for _, id := range in.Workers {
		good = append(good, []string{id, "t-" + in.Step})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validityMs": a.validity.Milliseconds()})
}
