//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// wideJobs is the number of the uncontrolled client's jobs, and wideTasks that of the
	// tasks of each.
	wideJobs, wideTasks = 300, 10_000
	// wideJobsPause is the pause between two of them.
	wideJobsPause = 20 * time.Millisecond
	// watch is how long the processes are watched afterwards.
	watch = 60 * time.Second
)

// playMemory: a client outside the limits hands in many small requests, each a job of many
// tasks. No process may exceed the memory of its machine, or end by itself for another reason.
func playMemory(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	if withTrouble() {
		body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":7000,"memMb":13000,"estimatedMs":1400,"requirements":"none"}]}`, wideTasks)
		accepted := 0
		end := time.Now().Add(30 * time.Second)
		for i := range wideJobs {
			if f.submit(i%frontends, fmt.Sprintf("/group/a11000000000%04x", i), body, 1) {
				accepted++
			}
			time.Sleep(wideJobsPause)
			if time.Now().After(end) {
				break
			}
		}
		f.notef("%d jobs of %d tasks accepted", accepted, wideTasks)
	}
	ordinary := 0
	completed := 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(2 * time.Second) {
		path := fmt.Sprintf("/slot/0dd000000000%04x", ordinary)
		if f.submit(ordinary%frontends, path, `{"spec":"x","steps":[{"count":2,"cpu":960,"memMb":1900,"estimatedMs":850}]}`, 1) {
			ordinary++
			time.Sleep(time.Second)
			if f.state(ordinary%frontends, path) == "completed" {
				completed++
			}
		}
	}
	f.notef("%d ordinary jobs accepted, %d of them completed after a second", ordinary, completed)
	machines := 0
	var lines []string
	for _, p := range f.processes {
		ends, peak := p.counts()
		f.notef("%s: ended by itself %d times, highest memory %d MB of %d", p.name, ends, peak, p.memory)
		if ends >= 3 {
			machines++
			lines = append(lines, fmt.Sprintf("Fault: %s ended by itself %d times, with %d MB of %d", p.name, ends, peak, p.memory))
		}
	}
	// A tenth of the 14 machines, two at least.
	if machines < 2 {
		return nil, nil
	}
	return lines, nil
}
