// Package conf holds the settings that operators write: one base file for all
// sites and one overlay file for each site. Load merges the files over built-in
// defaults and validates the result. It never adjusts a value: a value that is not
// valid is an error.
package conf

import (
	"errors"
	"fmt"
	"time"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
	"lagoonrack/internal/vect"
)

// Settings are the merged settings of one site. They are immutable.
type Settings struct {
	Site     string    `yaml:"site" doc:"Name of the site; set in its overlay."`
	Zones    []string  `yaml:"zones" doc:"Availability zones of the site."`
	Teams    []Team    `yaml:"teams" doc:"Operators with their quotas."`
	Services []Service `yaml:"services" doc:"Latency-critical services."`
	Cells    []Cell    `yaml:"cells" doc:"Divisions of workers and jobs, each with one owner."`
	Lease    Lease     `yaml:"lease" doc:"Spans of leases and heartbeats."`
	Jobs     Jobs      `yaml:"jobs" doc:"Rules for jobs."`
	Guard    Guard     `yaml:"guard" doc:"Protection of services on shared workers."`
	Nodes    []Node    `yaml:"nodes" doc:"Workers that the site expects, by size."`
}

// Team is a group of users with a quota and a weight in fair sharing.
type Team struct {
	Name   string     `yaml:"name" doc:"Name of the team."`
	Share  int        `yaml:"share" doc:"Weight in fair sharing; at least 1."`
	Cores  float64    `yaml:"cores" doc:"Quota of processor cores; 0 is no limit."`
	Memory unit.Bytes `yaml:"memory" doc:"Quota of memory; 0MiB is no limit."`
	Accel  int64      `yaml:"accel" doc:"Quota of accelerators; 0 is no limit."`
}

// Service is a latency-critical service.
type Service struct {
	Name      string        `yaml:"name" doc:"First part of the path that callers use."`
	Team      string        `yaml:"team" doc:"Team that the service belongs to."`
	Timeout   unit.Duration `yaml:"timeout" doc:"Longest budget of a request; also the default."`
	Objective unit.Duration `yaml:"objective" doc:"Latency that 99 of 100 requests are to stay below."`
	Body      unit.Bytes    `yaml:"body" doc:"Largest request body."`
	Queue     int           `yaml:"queue" doc:"Most requests that wait at one entry."`
	Minions   int           `yaml:"minions" doc:"Number of minions that the site expects."`
	Slots     int           `yaml:"slots" doc:"Requests that one minion runs at a time."`
	Spare     int           `yaml:"spare" doc:"Calls that one agent may hold beyond its slots."`
	Push      int           `yaml:"push" doc:"Calls beyond its free slots that an entry sends an agent unasked; at most spare."`
	Retries   int           `yaml:"retries" doc:"Most sendings after the first."`
	Rate      float64       `yaml:"rate" doc:"Share of requests that may be retried in doubt or hedged."`
	Hedge     bool          `yaml:"hedge" doc:"Whether slow idempotent requests are sent twice."`
	Eject     int           `yaml:"eject" doc:"Failures in a row that eject a minion for a while."`
	Drop      bool          `yaml:"drop" doc:"In an overlay: removes the service from the site."`
}

// Cell is a shard of the site's workers and jobs, with one owner.
type Cell struct {
	Name string `yaml:"name" doc:"Name of the cell."`
}

// Lease holds the durations of leases and heartbeats.
type Lease struct {
	Owner  unit.Duration `yaml:"owner" doc:"Silence in the table after which another entry takes a cell over."`
	Run    unit.Duration `yaml:"run" doc:"Time a worker may run a task without hearing from the owner."`
	Beat   unit.Duration `yaml:"beat" doc:"Longest time between two reports of an agent."`
	Silent unit.Duration `yaml:"silent" doc:"Age of the last report after which a minion gets nothing new."`
	Page   unit.Duration `yaml:"page" doc:"Least time between two writes of a cell's decisions."`
	Outage unit.Duration `yaml:"outage" doc:"Longest outage of the table during which an owner renews leases."`
}

// Jobs holds the rules for jobs.
type Jobs struct {
	Attempts int           `yaml:"attempts" doc:"Attempts after which a failing task stops."`
	Tasks    int           `yaml:"tasks" doc:"Most tasks of one job."`
	Urgent   unit.Duration `yaml:"urgent" doc:"Time within which urgent work is to start."`
}

// Guard holds the rules that protect services on workers shared with batch jobs.
type Guard struct {
	On    bool    `yaml:"on" doc:"Whether guards act."`
	Spare float64 `yaml:"spare" doc:"Share of each worker that batch work leaves free."`
}

// Node is a group of workers of equal size.
type Node struct {
	Name   string     `yaml:"name" doc:"Name of the group."`
	Count  int        `yaml:"count" doc:"Number of workers."`
	Rack   int        `yaml:"rack" doc:"Workers in one rack."`
	Cores  float64    `yaml:"cores" doc:"Cores of one worker."`
	Memory unit.Bytes `yaml:"memory" doc:"Memory of one worker."`
	Accel  int64      `yaml:"accel" doc:"Accelerators of one worker."`
}

// Size returns the capacity of one worker of the group.
func (n Node) Size() vect.Size {
	return vect.Size{Cores: int64(n.Cores * 1000), Memory: int64(n.Memory) >> 20, Accel: n.Accel}
}

// Quota returns the team's quota; a dimension of 0 has no limit.
func (t Team) Quota() vect.Size {
	return vect.Size{Cores: int64(t.Cores * 1000), Memory: int64(t.Memory) >> 20, Accel: t.Accel}
}

// Service returns the service with the given name.
func (s Settings) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// Source is the text of a configuration: the base file and the overlays.
type Source struct {
	// Base is the base file.
	Base File
	// Overlays holds one overlay file for each site.
	Overlays []File
}

// File is the name and text of a file.
type File struct{ Name, Text string }

// defaults is the text of the settings that base and overlay are merged onto.
const defaults = `
lease: {owner: 4s, run: 10s, beat: 1s, silent: 2s, page: 300ms, outage: 15m}
jobs: {attempts: 3, tasks: 10000, urgent: 8.3s}
guard: {on: true, spare: 0.1}
`

// Load returns the settings of each site in the order of the overlays, and every
// error that it found.
func (s Source) Load() ([]Settings, error) {
	var out []Settings
	var errs []error
	seen := map[string]string{}
	for _, o := range s.Overlays {
		set, err := s.loadSite(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if first := seen[set.Site]; first != "" {
			errs = append(errs, fmt.Errorf("%s: site: %s is also the site of %s", o.Name, set.Site, first))
		}
		seen[set.Site] = o.Name
		out = append(out, set)
	}
	if len(s.Overlays) == 0 {
		errs = append(errs, fmt.Errorf("%s: no overlay is given; each site needs one", s.Base.Name))
	}
	return out, errors.Join(errs...)
}

// Tree returns the tree of an overlay merged onto the defaults and the base.
func (s Source) Tree(overlay File) (*tree.Tree, error) {
	t, err := tree.Parse("default", []byte(defaults))
	if err != nil {
		return nil, err
	}
	for _, f := range []File{s.Base, overlay} {
		n, err := tree.Parse(f.Name, []byte(f.Text))
		if err != nil {
			return nil, err
		}
		t = t.Merge(n)
	}
	return t, nil
}

// loadSite returns the checked settings of the overlay's site.
func (s Source) loadSite(overlay File) (Settings, error) {
	var set Settings
	t, err := s.Tree(overlay)
	if err != nil {
		return set, err
	}
	if err := t.Decode(&set); err != nil {
		return set, err
	}
	return set, check(set, t)
}

// minTimeout is the minimum timeout of a service.
const minTimeout = unit.Duration(time.Millisecond)
