//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long a machine freezes: node_freeze of the site, for_s 3.5, share 0.11,
// which is one machine of 14.
const freezeTime = 3500 * time.Millisecond

const (
	// leavers is the number of clients that leave, and leaveAfter when: half the objective of
	// slot-hold, as give_up says.
	leavers    = 5
	leaveAfter = 125 * time.Millisecond
)

// playFrozen: clients hand jobs in at a frontend that freezes, leave, and cancel the jobs at
// another frontend. After cancel_ms no task of them may start, and none may run on.
func playFrozen(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	const body = `{"spec":"lasts","steps":[{"count":2,"cpu":2000,"memMb":1000,"longRunning":true}]}`
	// The frontend that owns the cell gives the orders. It is not the one that freezes.
	owner, err := f.owner()
	if err != nil {
		return nil, err
	}
	frozen, other := (owner+1)%frontends, (owner+2)%frontends
	f.notef("frontend %d owns the cell", owner+1)
	time.Sleep(contact)
	if withTrouble() {
		f.entries[frozen].signal(syscall.SIGSTOP)
		f.notef("frontend %d freezes", frozen+1)
		time.AfterFunc(freezeTime, func() {
			f.entries[frozen].signal(syscall.SIGCONT)
			f.notef("frontend %d wakes", frozen+1)
		})
	}
	acked := map[string]time.Time{}
	for i := range leavers {
		id := fmt.Sprintf("0123456789abcde%x", i)
		if err := f.sendAndLeave(frozen, "/slot/"+id, body, leaveAfter); err != nil {
			return nil, err
		}
		// The client's cancel: a 2xx or 410 is the acknowledgement.
		status, _ := f.call(other, http.MethodDelete, "/slot/"+id, "")
		if status/100 == 2 || status == http.StatusGone {
			acked[id] = time.Now()
		}
	}
	if len(acked) == 0 {
		return nil, fmt.Errorf("no cancel was acknowledged")
	}
	time.Sleep(20 * time.Second)
	var breaches []string
	for id, at := range acked {
		for _, t := range f.started(id) {
			if late := t.Sub(at); late > cancelTime {
				breaches = append(breaches, fmt.Sprintf("UNASKED: a task of %s starts %.2f s after the cancel was acknowledged (cancel_ms is 3,000)", id, late.Seconds()))
			}
		}
		for task := range f.running(id) {
			breaches = append(breaches, fmt.Sprintf("UNASKED: %s still runs %.0f s after the cancel was acknowledged", task, time.Since(at).Seconds()))
		}
	}
	return breaches, nil
}

// owner returns the number of the frontend that owns the cell: its metrics count the jobs that
// have not ended.
func (f *fleet) owner() (int, error) {
	const path = "/slot/0dd0000000eeeeee"
	if !f.submit(0, path, `{"spec":"lasts","steps":[{"count":1,"cpu":960,"memMb":1900,"longRunning":true}]}`, 3) {
		return 0, fmt.Errorf("a job was not accepted")
	}
	found := -1
	poll(5*time.Second, func() bool {
		for i := range frontends {
			resp, err := client.Get(fmt.Sprintf("http://%s.%d:7735/metrics", f.network, 11+i))
			if err != nil {
				continue
			}
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if strings.Contains(string(data), "\nlagoon_jobs_active 1\n") {
				found = i
			}
		}
		return found >= 0
	})
	f.call(0, http.MethodDelete, path, "")
	if found < 0 {
		return 0, fmt.Errorf("no frontend owns the cell")
	}
	return found, nil
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
