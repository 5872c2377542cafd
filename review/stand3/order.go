//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// bigJobs is the number of the uncontrolled client's jobs, and bigSpec the length of
	// their specs: the request stays inside the configuration's maxBodyBytes.
	bigJobs, bigSpec = 80, 250_000
	ordinaryJobs     = 5
)

// playOrder: a client outside the limits hands in jobs with specs of 250,000 bytes, which the
// system accepts, due at one time. Ordinary jobs are due at the same time. They must start.
func playOrder(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	due := time.Now().Add(30 * time.Second)
	job := func(spec string) string {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":500,"memMb":500,"estimatedMs":850}],"maxRuns":1,"firstMs":%d,"intervalMs":60000}`, spec, due.UnixMilli())
	}
	if withTrouble() {
		spec := strings.Repeat("x", bigSpec)
		accepted := 0
		for i := range bigJobs {
			if f.submit(i%frontends, fmt.Sprintf("/slot/b1c000000000%04x", i), job(spec), 2) {
				accepted++
			}
			if time.Until(due) < 4*time.Second {
				break
			}
		}
		f.notef("%d of %d jobs with long specs accepted", accepted, bigJobs)
	}
	var ids []string
	for i := range ordinaryJobs {
		id := fmt.Sprintf("0dd000000000%04x", i)
		if !f.submit(i%frontends, "/slot/"+id, job("x"), 4) {
			return nil, fmt.Errorf("an ordinary job was not accepted")
		}
		ids = append(ids, id)
	}
	if !time.Now().Before(due) {
		return nil, fmt.Errorf("handing the jobs in took too long")
	}
	time.Sleep(time.Until(due) + finishTime)
	// From here on a job that has nothing running for 3 s is lost: each minion has room for all
	// of them, and nearly all of it is free.
	lastNone := map[string]int{}
	busy := 0
	const looks = 30
	for range looks {
		busy = max(busy, len(f.running("")))
		for _, id := range ids {
			if len(f.started(id)) == 0 {
				lastNone[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.notef("at most %d tasks of 500 thousandths of a core run; the service has 704 cores", busy)
	var breaches []string
	for i, id := range ids {
		s := f.state(i%frontends, "/slot/"+id)
		if lastNone[id] == looks && busy*500 < sides*64000/2 {
			breaches = append(breaches, fmt.Sprintf("LOST: no task of the ordinary job %s has started %.0f s after its time; it is shown as %s", id, time.Since(due).Seconds(), s))
		}
	}
	return breaches, nil
}
