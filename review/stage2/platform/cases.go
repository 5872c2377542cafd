//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cases maps the name of a case to the function that plays it. The function returns how the
// rule was broken, or "".
var cases = map[string]func(*stage) string{
	"poison":  playPoison,
	"route":   playRemovedRoute,
	"thirty":  playThirty,
	"advised": playAdvisedBurst,
	"silent":  playSilent,
}

const (
	// taskTime is how long a run takes on a minion.
	taskTime = 850 * time.Millisecond
	// finish is finish_s: how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// idleLimit is how long a job may have nothing running then while its turn has come.
	idleLimit = 3 * time.Second
	// watchTime is how long the jobs are watched after finish.
	watchTime = 20 * time.Second
	// settleTime is the time between the readiness of the entries and the first request.
	settleTime = 3 * time.Second
)

// setUp starts three entries and some minions, and waits until they are ready.
func (s *stage) setUp(minions int) {
	for range 3 {
		s.addEntry()
	}
	for range minions {
		s.addMinion()
	}
	s.awaitReady()
	time.Sleep(settleTime)
}

func jobPath(queue string, n int) string { return fmt.Sprintf("/%s/%016x", queue, n) }

// isEnded reports whether a job with the state has come to an end.
func isEnded(state string) bool { return state == "completed" || state == "failed" }

// findIdle watches jobs from finish after the end of the traffic on. It returns one that has
// not ended and has had nothing running for idleLimit of that time, or "".
func (s *stage) findIdle(paths []string) string {
	s.logf("the traffic ends")
	time.Sleep(finish)
	watched := time.Now()
	for time.Since(watched) < watchTime && len(paths) > 0 {
		var left []string
		for _, path := range paths {
			if isEnded(s.state(s.entries[0], path)) {
				continue
			}
			left = append(left, path)
			idle := time.Since(s.idleSince(path))
			s.logf("nothing of %s has been running for %.1f s", path, idle.Seconds())
			if idle > idleLimit && time.Since(watched) > idleLimit {
				return path
			}
		}
		paths = left
		time.Sleep(500 * time.Millisecond)
	}
	return ""
}

// playPoison: of 20 jobs that come within 3 s, one can never be done. The next job is sound,
// but the first run of each of its tasks fails, as runs may.
func playPoison(s *stage) string {
	const (
		jobs = 20
		// poisoned fills two minions, so that at least two runs fail on each of them.
		poisoned = 16
	)
	s.configure(3, route{name: "plans", attempts: 2})
	s.setUp(3)
	for i := range jobs - 1 {
		s.submit(jobPath("plans", 0xa00+i), "ok", 1, 900, "")
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(taskTime + 200*time.Millisecond)
	spec := "ok"
	if s.trouble {
		spec = fails
	}
	s.submit(jobPath("plans", 0xa00+jobs), spec, poisoned, 900, "")
	time.Sleep(4 * time.Second)
	path := jobPath("plans", 0xb00)
	s.submit(path, failUpTo+"1", 2, 900, "")
	if s.findIdle([]string{path}) != "" {
		return fmt.Sprintf("%s has nothing running after one failed run of each of its tasks, of 2 that are allowed, and all minions are idle", path)
	}
	return ""
}

// playRemovedRoute: a route is removed while a job of its queue runs, and comes back.
func playRemovedRoute(s *stage) string {
	const attempts = 4
	plans, other := route{name: "plans", attempts: attempts}, route{name: "other", attempts: attempts}
	s.configure(3, plans, other)
	s.setUp(3)
	path := jobPath("plans", 0xa00)
	s.submit(path, failUpTo+"3", 1, 900, "")
	if s.trouble {
		s.configure(5, other)
	}
	time.Sleep(5 * time.Second)
	s.configure(9, plans, other)
	time.Sleep(settleTime)
	state := s.state(s.entries[0], path)
	failed := s.count("end", "failed", path)
	s.logf("the job is %s after %d failed runs", state, failed)
	switch {
	case state == "failed" && failed < attempts:
		return fmt.Sprintf("the job is shown as failed after %d failed runs, and each version that names its queue allows %d", failed, attempts)
	case state != "completed":
		s.cannotRun("the job is not done in time")
	}
	return ""
}

// playThirty: a job with an advisor has one task, which fits on none of the first 30 minions
// and on each of the others.
func playThirty(s *stage) string {
	const (
		loaded, added = 30, 3
		lastingJobs   = 5
	)
	s.advisor = newAdvisor(s.logf, 20*time.Millisecond, time.Millisecond, 3*time.Second)
	s.configure(3, route{name: "calendars", attempts: 3}, route{name: "plans", attempts: 3, advised: s.advisor})
	s.setUp(loaded)
	if s.trouble {
		for i := range lastingJobs {
			path := jobPath("calendars", 0xa00+i)
			s.submit(path, lasts, loaded/lastingJobs, 4100, `,"antiAffinity":1,"longRunning":true`)
			if !await(startTimeout, func() bool { return s.count("start", "", path) >= loaded/lastingJobs }) {
				s.cannotRun("the lasting tasks do not start")
			}
		}
	}
	for range added {
		s.addMinion()
	}
	time.Sleep(2 * settleTime)
	path := jobPath("plans", 0xb00)
	s.submit(path, "ok", 1, 5000, "")
	if s.findIdle([]string{path}) != "" {
		return fmt.Sprintf("%s has nothing running; %d minions are idle, and 4.1 of 8 cores of the other %d are in use", path, added, loaded)
	}
	return ""
}

// playAdvisedBurst: many users come at once to a queue with an advisor.
func playAdvisedBurst(s *stage) string {
	const (
		steady, factor = 4.0, 2.6
		before, during = 4 * time.Second, 4 * time.Second
	)
	s.advisor = newAdvisor(s.logf, 40*time.Millisecond, 10*time.Millisecond, 3*time.Second)
	s.configure(3, route{name: "plans", attempts: 3, advised: s.advisor})
	s.setUp(11)
	var all sync.WaitGroup
	var paths []string
	hand := func(perSecond float64, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
			path := jobPath("plans", 0xa00+len(paths))
			paths = append(paths, path)
			all.Go(func() { s.submit(path, "ok", 2, 100, "") })
		}
	}
	hand(steady, before)
	if s.trouble {
		hand(steady*factor, during)
	} else {
		hand(steady, during)
	}
	all.Wait()
	if path := s.findIdle(paths); path != "" {
		return path + " has nothing running, and all minions are idle"
	}
	return ""
}

// playSilent: jobs come at once, then the open connections to the store go silent, and then one
// route is added and one is removed.
func playSilent(s *stage) string {
	const (
		// together is the number of jobs that come at once at each entry.
		together = 8
		// contact is contactMs, and apply is configApplyMs.
		contact, apply = 3 * time.Second, 2 * time.Second
		watched        = 12 * time.Second
		body           = `{"spec":"ok","steps":[{"count":1,"cpu":100,"memMb":100,"estimatedMs":850}]}`
	)
	plans, added, removed := route{name: "plans", attempts: 3}, route{name: "added", attempts: 3}, route{name: "removed", attempts: 3}
	var err error
	if s.link, err = newLink(s.store.Addr()); err != nil {
		s.cannotRun("%v", err)
	}
	s.configure(3, plans, removed)
	s.setUp(3)
	var all sync.WaitGroup
	for i := range together * len(s.entries) {
		all.Go(func() { s.call(s.entries[i%len(s.entries)], http.MethodPost, jobPath("plans", 0xa00+i), body) })
	}
	all.Wait()
	time.Sleep(1500 * time.Millisecond)
	silent := time.Now()
	if s.trouble {
		s.logf("the %d open connections to the store go silent", s.link.silence())
	}
	time.Sleep(900 * time.Millisecond)
	s.configure(5, plans, added)
	// Requests that are sent from here on are bound to the version.
	bound := time.Now().Add(apply)
	if x := silent.Add(contact); x.After(bound) {
		bound = x
	}
	broken := make([]string, len(s.entries))
	for i, e := range s.entries {
		all.Go(func() { broken[i] = s.watchRoutes(e, bound, silent.Add(watched), jobPath("removed", 0xb00+i), body) })
	}
	all.Wait()
	for _, b := range broken {
		if b != "" {
			return b
		}
	}
	return ""
}

// watchRoutes asks an entry for the count of the added route until it knows it, and half a
// second after the bound it hands a job in on the removed one. It returns how the entry went
// by an older version after the bound, or "".
func (s *stage) watchRoutes(e *entry, bound, end time.Time, path, body string) string {
	broken, handed := "", false
	for time.Now().Before(end) {
		sent := time.Now()
		status, _ := s.call(e, http.MethodGet, "/added/", "")
		if status == http.StatusNotFound && sent.After(bound) {
			broken = fmt.Sprintf("%s answers 404 for a route that is there, to a request sent %v after the bound", e.name, sent.Sub(bound).Round(time.Millisecond))
		}
		if !handed && sent.After(bound.Add(500*time.Millisecond)) {
			handed = true
			if status, _ := s.call(e, http.MethodPost, path, body); status == http.StatusOK {
				s.logf("%s accepts a job on a route that was removed", e.name)
			}
		}
		if status == http.StatusOK && handed {
			return broken
		}
		time.Sleep(50 * time.Millisecond)
	}
	return broken + fmt.Sprintf("; %s doesn't know the route after %v", e.name, end.Sub(bound))
}
