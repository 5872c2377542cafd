//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeign: a client of one queue cancels the job of a client of another one. Both chose
// the same ID. The job must not be shown as cancelled: its own client never asked for that.
func playForeign(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	const id = "0123456789abcdef"
	const own = `{"spec":"lasts","steps":[{"count":4,"cpu":2000,"memMb":1000,"longRunning":true}]}`
	const others = `{"spec":"other","steps":[{"count":1,"cpu":960,"memMb":1900,"estimatedMs":850}]}`
	if !f.submit(0, "/slot/"+id, own, 5) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !poll(6*time.Second, func() bool { return len(f.running(id)) == 4 }) {
		return nil, fmt.Errorf("the job's tasks did not start")
	}
	if withTrouble() {
		// The other client hands in a job, is refused, asks for its state and cancels it.
		f.call(1, http.MethodPost, "/group/"+id, others)
		f.call(1, http.MethodGet, "/group/"+id, "")
		f.call(1, http.MethodDelete, "/group/"+id, "")
	}
	time.Sleep(4 * time.Second)
	var breaches []string
	for i := range frontends {
		if s := f.state(i, "/slot/"+id); s != "running" {
			breaches = append(breaches, fmt.Sprintf("LOST: frontend %d shows the job as %s, which its client has not cancelled", i+1, s))
		}
	}
	if n := len(f.running(id)); n != 4 {
		breaches = append(breaches, fmt.Sprintf("LOST: %d of the job's 4 tasks run", n))
	}
	return breaches, nil
}
