//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// cutTime is how long minions are cut off, and cutMinions how many: node_cut with how =
	// "servers", share 0.35 of the 11 minions.
	cutTime    = 8 * time.Second
	cutMinions = 4
	// pressed is the number of jobs that come in about two seconds after the cut, as many as in
	// a burst of slot-hold with x = 2.6.
	pressed = 20
	// shownAfter is visible_ms and 2 s.
	shownAfter = 5 * time.Second
)

// playPending: four minions are cut off while jobs come. The jobs whose tasks were placed there
// have not begun. After visible_ms + 2 s half of them at least must be given as pending.
func playPending(f *fleet) ([]string, error) {
	if err := f.warmUp(); err != nil {
		return nil, err
	}
	// The minions to cut off: the one that gets a single task now, and three others.
	first, err := f.firstMinion()
	if err != nil {
		return nil, err
	}
	if withTrouble() {
		for i := range cutMinions {
			m := f.minions[(first+i)%sides]
			m.cutUntil.Store(time.Now().Add(cutTime).UnixNano())
			f.notef("%s is cut off for %v", m.ID, cutTime)
		}
	}
	accepted := map[string]time.Time{}
	for i := range pressed {
		id := fmt.Sprintf("0dd000000000%04x", i)
		status, _ := f.call(i%frontends, http.MethodPost, "/slot/"+id, `{"spec":"x","steps":[{"count":2,"cpu":960,"memMb":1900,"estimatedMs":850}]}`)
		if status == http.StatusOK {
			accepted[id] = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	var breaches []string
	most := 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for entry := range frontends {
			sent := time.Now()
			status, body := f.call(entry, http.MethodGet, "/slot/", "")
			var v struct{ Pending int }
			if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
				continue
			}
			waiting := 0
			for id, at := range accepted {
				if sent.Sub(at) > shownAfter && len(f.started(id)) == 0 {
					waiting++
				}
			}
			if 2*v.Pending < waiting && waiting > most {
				most = waiting
				breaches = append(breaches, fmt.Sprintf("MIXED: frontend %d gives %d jobs as pending; %d were accepted over 5 s before and haven't begun", entry+1, v.Pending, waiting))
			}
		}
	}
	return breaches, nil
}
