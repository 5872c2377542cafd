//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { plays["history"] = playHistory }

const (
	// historyRate is the number of jobs a second, and historyFor how long they come.
	historyRate = 80
	historyFor  = 72 * time.Second
)

// stopsAt is when the owner is stopped as planned. Before the first time there are about
// 3,200 rows of jobs. At the largest site's 19.4 jobs a second there are 2,900, since the
// rows of ended jobs are kept for 150 s.
var stopsAt = []time.Duration{40 * time.Second, 48 * time.Second, 56 * time.Second, 64 * time.Second}

// playHistory stops the owner as planned, four times, and lets the store forget its
// history as the next owner has taken the cell over, while jobs come in.
func playHistory(rec *record, trouble bool) []string {
	rec.quiet = true
	f := newFleet(rec, options{entries: 3, minions: 3, cpu: 64_000, memory: 256_000, queues: []string{"jobs"}, oneCore: true})
	defer f.close()
	f.awaitOwner(10 * time.Second)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	began := time.Now()
	stops := 0
	c := newClient(f)
	tick := time.NewTicker(time.Second / historyRate)
	defer tick.Stop()
	for n := 0; time.Since(began) < historyFor; n++ {
		<-tick.C
		id := fmt.Sprintf("%x%015x", n%16, 0x5c0e7a210000000+n)
		entry := c.entry()
		calls.Go(func() {
			k := newClient(f)
			for try := range 4 {
				if try > 0 {
					entry = k.entry()
				}
				status, _ := k.call(entry, "POST", "/jobs/"+id, []byte(`{"spec":"ms=100 cpu=500 mem=64","steps":[{"count":1,"cpu":500,"memMb":64,"estimatedMs":100}]}`))
				if status == 200 {
					mu.Lock()
					accepted = append(accepted, id)
					rec.say("client", "POST /jobs/%s to %s: 200", id, entry.name)
					mu.Unlock()
					return
				}
				if status == 503 || status == 429 {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		if stops < len(stopsAt) && time.Since(began) > stopsAt[stops] {
			stops++
			old := f.owner()
			old.signal(syscall.SIGTERM)
			go f.compactAfterHandover(old, trouble)
		}
	}
	calls.Wait()
	rec.say("client", "the traffic ends; %d jobs were accepted", len(accepted))
	time.Sleep(finishS)
	slices.Sort(accepted)
	waiting := slices.DeleteFunc(accepted, func(id string) bool { return rec.runsOf(id) > 0 })
	time.Sleep(idleFor)
	var broken []string
	for _, id := range waiting {
		if rec.runsOf(id) == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and %v after the end of the traffic nothing of it is at work for %v, while the minions are idle; state %s, starts 0", id, finishS, idleFor, c.state("jobs", id)))
		}
	}
	return broken
}

// compactAfterHandover waits for the next owner and lets the store forget its history.
func (f *fleet) compactAfterHandover(old *process, trouble bool) {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if o := f.owner(); o != nil && o != old {
			f.rec.say(o.name, "owns the cell")
			break
		}
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		f.rec.say("store", "forgets its history; rows of jobs: %d", len(f.store.keys("jobs")))
		f.store.compact()
	}
}
