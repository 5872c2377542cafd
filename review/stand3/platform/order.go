//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// timedJobs is the number of jobs that are due at one time, and specLength the length of
	// their specs; the pages allow 4,000 bytes.
	timedJobs, specLength = 5_000, 3_990
	// submitPause is the pause of each of the clients between two jobs: together they hand in
	// fewer than the 300 transactions a second of one part of the store (partWritesPerS).
	submitPause = 20 * time.Millisecond
	// killBefore is how long before that time the agent is killed.
	killBefore = 300 * time.Millisecond
)

// playOrder: timed jobs are due at one time. The agent beside the minion that gets the first of
// them is killed once, shortly before, and started again by the platform. All jobs must start.
func playOrder(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	due := time.Now().Add(42 * time.Second)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":10,"memMb":40,"estimatedMs":850}],"maxRuns":1,"firstMs":%d,"intervalMs":60000}`,
		strings.Repeat("x", specLength), due.UnixMilli())
	var clients sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	var refused atomic.Int64
	const atOnce = 4
	for c := range atOnce {
		clients.Go(func() {
			for i := c; i < timedJobs && time.Until(due) > 5*time.Second; i += atOnce {
				id := fmt.Sprintf("0dd000000000%04x", i)
				if !f.submit(i%frontends, "/slot/"+id, body, 4) {
					refused.Add(1)
					continue
				}
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				time.Sleep(submitPause)
			}
		})
	}
	clients.Wait()
	f.notef("%d of %d jobs accepted", len(ids), timedJobs)
	if len(ids) < timedJobs*9/10 {
		return nil, fmt.Errorf("only %d jobs were accepted in time, %d were not", len(ids), refused.Load())
	}
	first, err := f.firstMinion()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(due) - killBefore)
	if withTrouble() {
		f.notef("%s is killed", f.agents[first].name)
		f.agents[first].signal(syscall.SIGKILL)
	}
	wait := finishTime
	if s, err := time.ParseDuration(os.Getenv("LATER")); err == nil {
		wait += s // A longer wait, to see whether the jobs start later.
	}
	time.Sleep(time.Until(due) + wait)
	// From here on a job that has nothing running for 3 s is lost.
	never := map[string]int{}
	busy := 0
	const looks = 30
	for range looks {
		busy = max(busy, len(f.running("")))
		begun := f.begun()
		for _, id := range ids {
			if !begun[id] {
				never[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	lost := 0
	example := ""
	for id, n := range never {
		if n == looks {
			lost++
			example = id
		}
	}
	f.notef("%d of %d jobs have not started %.0f s after their time; at most %d tasks run, and the service has %d cores", lost, len(ids), time.Since(due).Seconds(), busy, sides*64)
	if lost == 0 || busy*10 >= sides*64000/2 {
		return nil, nil
	}
	_, state := f.call(0, http.MethodGet, "/slot/"+example, "")
	return []string{fmt.Sprintf("LOST: no task of %d of %d accepted jobs has started %.0f s after their time, with at most %d tasks at work on %d cores; state of one: %s",
		lost, len(ids), time.Since(due).Seconds(), busy, sides*64, strings.TrimSpace(state))}, nil
}

// begun returns the jobs of which a task has started.
func (f *fleet) begun() map[string]bool {
	out := map[string]bool{}
	for _, m := range f.minions {
		m.mu.Lock()
		for task := range m.begun {
			job, _, _ := strings.Cut(task, ".")
			out[job] = true
		}
		m.mu.Unlock()
	}
	return out
}

// firstMinion returns the number of the minion that gets a single task now.
func (f *fleet) firstMinion() (int, error) {
	const probe = "0dd0000000ffffff"
	if !f.submit(0, "/slot/"+probe, `{"spec":"x","steps":[{"count":1,"cpu":960,"memMb":1900,"estimatedMs":850}]}`, 3) ||
		!poll(8*time.Second, func() bool { return f.state(0, "/slot/"+probe) == "completed" }) {
		return 0, fmt.Errorf("the probe was not completed")
	}
	for i, m := range f.minions {
		m.mu.Lock()
		_, here := m.begun[probe+".0.0.0"]
		m.mu.Unlock()
		if here {
			return i, nil
		}
	}
	return 0, fmt.Errorf("the probe was completed, but no minion has run it")
}
