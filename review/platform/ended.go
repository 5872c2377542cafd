//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { plays["ended"] = playEnded }

const (
	// endedKeep is how long the entries keep ended jobs in this case. The default is 150 s,
	// which a script of 120 s can't wait for; KEEP=150s plays the case with it.
	endedKeep = 20 * time.Second
	// turnedAwayFor is the largest dose of platform_down with how "nodes leader busy".
	turnedAwayFor = 7 * time.Second
)

// playEnded has jobs that are completed, and lets the store turn the owner's machine away
// for 7 s while the time is over for which the jobs are kept. Later the entry that owns
// the cell is stopped as planned.
func playEnded(rec *record, trouble bool) []string {
	keep := endedKeep
	if d, err := time.ParseDuration(os.Getenv("KEEP")); err == nil {
		keep = d
	}
	f := newFleet(rec, options{entries: 3, minions: 3, cpu: 64_000, memory: 256_000, keep: fmt.Sprint(keep.Seconds()) + "s", queues: []string{"jobs"}})
	defer f.close()
	f.awaitOwner(10 * time.Second)
	time.Sleep(4 * time.Second)
	c := newClient(f)
	var ids []string
	for range 10 {
		id, ok := c.submit("jobs", "ms=300 cpu=500 mem=64", step{"count": 3, "cpu": 500, "memMb": 64, "estimatedMs": 300})
		if !ok {
			giveUp("a job was rejected in quiet times")
		}
		ids = append(ids, id)
	}
	if !c.awaitState("jobs", ids, "completed", 10*time.Second) {
		giveUp("the jobs are not completed in quiet times")
	}
	completed := time.Now()
	rec.say("client", "all %d jobs are shown as completed", len(ids))
	time.Sleep(time.Until(completed.Add(keep - 1500*time.Millisecond)))
	if trouble {
		owner := f.owner()
		if owner == nil {
			giveUp("no owner")
		}
		rec.say("store", "turns %s away with 503 for %v and serves the others", owner.name, turnedAwayFor)
		f.store.setFault(func(caller string, _ *http.Request) storeFault {
			if caller == owner.name {
				return turnAway
			}
			return served
		})
	}
	time.Sleep(turnedAwayFor)
	f.store.setFault(nil)
	rec.say("store", "serves all; rows of jobs: %d, of states: %d", len(f.store.keys("jobs")), len(f.store.keys("state")))
	time.Sleep(5 * time.Second)
	rec.say("store", "rows of jobs: %d, of states: %d", len(f.store.keys("jobs")), len(f.store.keys("state")))
	if owner := f.owner(); owner != nil {
		owner.signal(syscall.SIGTERM)
	}
	time.Sleep(12 * time.Second)
	for _, id := range ids {
		rec.say("client", "GET /jobs/%s: %s; its 3 tasks were started %d times", id, c.state("jobs", id), rec.runsOf(id))
	}
	return only(rec.twice(), "TWICE")
}

// only returns the lines that begin with the name of a rule.
func only(lines []string, rule string) []string {
	var out []string
	for _, l := range lines {
		if strings.HasPrefix(l, rule) {
			out = append(out, l)
		}
	}
	return out
}
