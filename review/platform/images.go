//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { plays["images"] = playImages }

const (
	// manyServing and manyFilling are the numbers of images in the case, and largeServing
	// and largeFilling those of the largest site file.
	manyServing, manyFilling   = 40, 40
	largeServing, largeFilling = 16, 30
)

// playImages has tasks that serve and tasks that fill, with many images or with as many as
// the largest site file has. Then it looks whether small jobs are worked on.
func playImages(rec *record, trouble bool) []string {
	rec.quiet = true
	f := newFleet(rec, options{entries: 3, minions: 3, cpu: 64_000, memory: 256_000, queues: []string{"jobs"}})
	defer f.close()
	f.awaitOwner(10 * time.Second)
	time.Sleep(4 * time.Second)
	c := newClient(f)
	serving, filling := largeServing, largeFilling
	if trouble {
		serving, filling = manyServing, manyFilling
	}
	for i := range serving {
		c.submit("jobs", "ms=0 cpu=100 mem=64 tail=12", step{"count": 3, "cpu": 100, "memMb": 64, "estimatedMs": 1000, "longRunning": true,
			"antiAffinity": 1, "image": fmt.Sprintf("serving-image-%02d", i), "targetMs": 200})
	}
	rec.say("client", "%d jobs that serve are handed in", serving)
	time.Sleep(3 * time.Second)
	for i := range filling {
		c.submit("jobs", "ms=60000 cpu=200 mem=64 fills=1", step{"count": 3, "cpu": 200, "memMb": 64, "estimatedMs": 60000, "fills": true,
			"antiAffinity": 1, "image": fmt.Sprintf("filling-image-%02d", i)})
	}
	rec.say("client", "%d jobs that fill are handed in", filling)
	time.Sleep(6 * time.Second)
	rec.say("store", "row cell/learned has %d bytes", len(f.store.value("cell", "learned")))
	var accepted []string
	for range 10 {
		id, ok := c.submit("jobs", "ms=300 cpu=500 mem=64", step{"count": 4, "cpu": 500, "memMb": 64, "estimatedMs": 300})
		if ok {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.say("client", "the traffic ends")
	time.Sleep(finishS)
	return f.notWorkedOn(c, accepted)
}

// notWorkedOn returns the jobs that are not completed and of which nothing is at work for
// idleFor.
func (f *fleet) notWorkedOn(c *client, jobs []string) []string {
	rec := f.rec
	var idle []string
	startsBefore := map[string]int{}
	for _, id := range jobs {
		if s := c.state("jobs", id); s != "completed" {
			idle = append(idle, id)
			startsBefore[id] = rec.runsOf(id)
			rec.say("client", "%v after the end of the traffic GET /jobs/%s: %s, starts of its tasks: %d", finishS, id, s, startsBefore[id])
		}
	}
	from := time.Now()
	time.Sleep(idleFor + 500*time.Millisecond)
	var broken []string
	for _, id := range idle {
		if rec.runsOf(id) > startsBefore[id] || rec.atWorkSince(id, from) {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and %v after the end of the traffic nothing of it is at work for %v, while the minions are idle; state %q, starts %d",
			id, finishS, idleFor, c.state("jobs", id), rec.runsOf(id)))
	}
	if len(broken) > 0 {
		time.Sleep(30 * time.Second)
		for _, id := range idle {
			rec.say("client", "half a minute later GET /jobs/%s: %s, starts of its tasks: %d", id, c.state("jobs", id), rec.runsOf(id))
		}
	}
	rec.say("store", "writes with a row over rowBytes: %d", f.store.tooLarge)
	return broken
}
