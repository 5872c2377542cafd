//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// client calls entries as the platform's clients do.
type client struct {
	f    *fleet
	http *http.Client
	next int
	jobs int
}

func newClient(f *fleet) *client {
	return &client{f: f, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to an entry. The status is 0 if there is no answer.
func (c *client) call(p *process, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+p.caller+path, bytes.NewReader(body))
	must(err)
	req.Host = "shop.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Lagoonrack-Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// entry returns the next entry that says it is ready.
func (c *client) entry() *process {
	for range c.f.entries {
		c.next++
		p := c.f.entries[c.next%len(c.f.entries)]
		resp, err := c.http.Get("http://" + p.check + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	return c.f.entries[c.next%len(c.f.entries)]
}

// step is one step of a job as the protocol writes it.
type step map[string]any

// newID returns the ID of the next job.
func (c *client) newID() string {
	c.jobs++
	return fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(c.jobs)*0x1357)
}

// submit hands a job in, again at another entry after no answer, 502 or 504. It returns
// the job's ID and whether it was accepted.
func (c *client) submit(queue, spec string, steps ...step) (string, bool) {
	id := c.newID()
	return id, c.submitID(queue, id, spec, steps...)
}

func (c *client) submitID(queue, id, spec string, steps ...step) bool {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	must(err)
	for try := range 5 {
		p := c.entry()
		status, _ := c.call(p, http.MethodPost, "/"+queue+"/"+id, body)
		c.f.rec.say("client", "POST /%s/%s to %s: %d", queue, id, p.name, status)
		switch status {
		case 200:
			return true
		case 0, 502, 504:
		default:
			return false
		}
		time.Sleep(time.Duration(100*(try+1)) * time.Millisecond)
	}
	return false
}

// state asks for a job's state, at most three times.
func (c *client) state(queue, id string) string {
	last := "no answer"
	for range 3 {
		status, data := c.call(c.entry(), http.MethodGet, "/"+queue+"/"+id, nil)
		var b struct{ State string }
		if status == 200 && json.Unmarshal(data, &b) == nil {
			return b.State
		}
		if status != 0 {
			last = fmt.Sprint(status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// awaitState waits until all jobs have a state, at most for the given time.
func (c *client) awaitState(queue string, ids []string, want string, d time.Duration) bool {
	end := time.Now().Add(d)
	for _, id := range ids {
		for c.state(queue, id) != want {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}
