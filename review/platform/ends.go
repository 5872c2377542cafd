//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["ends"] = playEnds }

// storeDownFor is a usual dose of platform_down in the site files; the largest is 6.6 s.
const storeDownFor = 4500 * time.Millisecond

// playEnds has three minions at work on 700 small tasks each. They end while the store is
// down, so that each minion has more ends to tell of than one answer holds.
func playEnds(rec *record, trouble bool) []string {
	rec.quiet = true
	f := newFleet(rec, options{entries: 3, minions: 3, cpu: 64_000, memory: 256_000, queues: []string{"jobs"}})
	defer f.close()
	f.awaitOwner(10 * time.Second)
	time.Sleep(4 * time.Second)
	c := newClient(f)
	var ids []string
	for range 6 {
		id, ok := c.submit("jobs", "ms=4000 cpu=85 mem=64", step{"count": 350, "cpu": 85, "memMb": 64, "estimatedMs": 4000})
		if !ok {
			giveUp("a job was rejected in quiet times")
		}
		ids = append(ids, id)
	}
	time.Sleep(2500 * time.Millisecond)
	for _, m := range f.machines {
		m.mu.Lock()
		x := m.life
		m.mu.Unlock()
		x.mu.Lock()
		rec.say(m.name, "has %d tasks at work", len(x.running))
		x.mu.Unlock()
	}
	if trouble {
		rec.say("store", "is down for %v: answers 503 to all", storeDownFor)
		f.store.setFault(func(string, *http.Request) storeFault { return turnAway })
	}
	time.Sleep(storeDownFor)
	f.store.setFault(nil)
	for _, m := range f.machines {
		m.mu.Lock()
		x := m.life
		m.mu.Unlock()
		x.mu.Lock()
		rec.say(m.name, "has %d tasks at work and %d ends that are not acknowledged", len(x.running), len(x.ends))
		x.mu.Unlock()
	}
	rec.say("store", "serves all")
	time.Sleep(12 * time.Second)
	for _, id := range ids {
		rec.say("client", "GET /jobs/%s: %s; its 350 tasks were started %d times", id, c.state("jobs", id), rec.runsOf(id))
	}
	broken := only(rec.twice(), "TWICE")
	if len(broken) > 0 {
		rec.say("verdict", "%s", fmt.Sprintf("%d tasks were started again after their end done was taken note of", len(broken)))
	}
	return broken
}
