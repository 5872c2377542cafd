//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// freezeTime is how long a machine freezes: node_freeze of the site, for_s 3.5, share 0.11,
// which is one machine of 14.
const freezeTime = 3500 * time.Millisecond

// playFrozen: a client hands a job in at a frontend that freezes, leaves, and cancels the job
// at another frontend. After cancel_ms no task of it may start.
func playFrozen(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	const id = "0123456789abcdef"
	const body = `{"spec":"lasts","steps":[{"count":4,"cpu":2000,"memMb":1000,"longRunning":true}]}`
	// frozen is not the machine that hands out the work, which would have been frozen too. The
	// first that starts is preferred, so this is the last one.
	const frozen, other = frontends - 1, 1
	if withTrouble() {
		f.entries[frozen].signal(syscall.SIGSTOP)
		f.notef("frontend %d freezes", frozen+1)
		time.AfterFunc(freezeTime, func() {
			f.entries[frozen].signal(syscall.SIGCONT)
			f.notef("frontend %d wakes", frozen+1)
		})
	}
	if err := f.sendAndLeave(frozen, "/slot/"+id, body, 125*time.Millisecond); err != nil {
		return nil, err
	}
	// The client's cancel: a 2xx or 410 is the acknowledgement.
	var acked time.Time
	for i := range 8 {
		status, _ := f.call((other+i)%2, http.MethodDelete, "/slot/"+id, "")
		if status/100 == 2 || status == http.StatusGone {
			acked = time.Now()
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if acked.IsZero() {
		return nil, fmt.Errorf("the cancel was not acknowledged")
	}
	time.Sleep(20 * time.Second)
	var breaches []string
	for _, t := range f.started(id) {
		if late := t.Sub(acked); late > cancelTime {
			breaches = append(breaches, fmt.Sprintf("UNASKED: a task starts %.2f s after the cancel was acknowledged (cancel_ms is 3,000)", late.Seconds()))
		}
	}
	for task := range f.running(id) {
		breaches = append(breaches, fmt.Sprintf("UNASKED: %s still runs 20 s after the cancel was acknowledged", task))
	}
	return breaches, nil
}

// sendAndLeave sends a request and closes the connection after a time.
func (f *fleet) sendAndLeave(entry int, path, body string, after time.Duration) error {
	c, err := net.DialTimeout("tcp", f.entryAddr(entry), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: burg.example\r\nContent-Type: application/json\r\nX-Lagoonrack-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
		path, len(body), body)
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	f.notef("frontend %d: POST %s %s; the client leaves after %v", entry+1, path, body, after)
	time.Sleep(after)
	return nil
}
