//go:build review

package main

import (
	"strings"
	"time"
)

func init() { plays["large"] = playLarge }

const (
	// largeCount is the number of tasks of the large job. The pages set no limit for count;
	// the project's own check takes up to 10,000.
	largeCount = 2000
	// finishS is finish_s of the pages.
	finishS = 14 * time.Second
	// idleFor is the time for which a job may have nothing at work.
	idleFor = 3 * time.Second
)

// playLarge hands in one large job, and small jobs before and after it. Then it looks
// whether the small ones are worked on.
func playLarge(rec *record, trouble bool) []string {
	rec.quiet = true
	f := newFleet(rec, options{entries: 3, minions: 4, cpu: 64_000, memory: 256_000, queues: []string{"jobs"}})
	defer f.close()
	f.awaitOwner(10 * time.Second)
	time.Sleep(4 * time.Second)
	c := newClient(f)
	small := func() string {
		id, ok := c.submit("jobs", "ms=300 cpu=500 mem=64", step{"count": 4, "cpu": 500, "memMb": 64, "estimatedMs": 300})
		if !ok {
			rec.say("client", "job %s was rejected", id)
			return ""
		}
		return id
	}
	var before []string
	for range 3 {
		before = append(before, small())
	}
	if !c.awaitState("jobs", before, "completed", 8*time.Second) {
		giveUp("small jobs are not completed in quiet times")
	}
	rec.say("client", "3 small jobs are completed")
	if trouble {
		id, ok := c.submit("jobs", "ms=5000 cpu=50 mem=64", step{"count": largeCount, "cpu": 50, "memMb": 64, "estimatedMs": 5000})
		rec.say("client", "large job %s of %d tasks, each 5 s on 0.05 cores: accepted %v", id, largeCount, ok)
		if !ok {
			return nil
		}
		before = append(before, id)
	}
	accepted := before[len(before)-1:]
	if !trouble {
		accepted = nil
	}
	for range 10 {
		if id := small(); id != "" {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.say("client", "the traffic ends")
	time.Sleep(finishS)
	// The capacity is 256 cores, over twice the 100 cores of the large job.
	return f.notWorkedOn(c, accepted)
}

// atWorkSince reports whether a run of a job was at work at some time after from.
func (r *record) atWorkSince(job string, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if strings.HasPrefix(x.Task, job+".") && (x.Ended.IsZero() || x.Ended.After(from)) {
			return true
		}
	}
	return false
}
