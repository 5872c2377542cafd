// Package api defines the messages of the operators' HTTP API, which an entry serves
// as JSON under /v1 at its operator address.
package api

import (
	"sort"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/roster"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/work"
)

// Status is the response to GET /v1/status.
type Status struct {
	// Entry is the name of the entry that responds.
	Entry string `json:"entry"`
	// Version is the configuration version in force at this entry.
	Version uint64 `json:"version"`
	// Members lists the known entries, with the agents registered at each.
	Members []roster.Member `json:"members"`
	Cells   []CellStatus    `json:"cells"`
	// Zones is nil if the entry does not follow evacuations.
	Zones *ZoneStatus `json:"zones,omitempty"`
}

// ZoneStatus is what an entry knows of evacuated zones.
type ZoneStatus struct {
	Evacuated []string `json:"evacuated"`
	// Version is the store's version as of which this holds, and AgeMs for how long
	// nothing has confirmed it. Known is false before the first read.
	Version uint64 `json:"version"`
	AgeMs   int64  `json:"ageMs"`
	Known   bool   `json:"known"`
}

// CellStatus is a cell and its owner.
type CellStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}

// Sort sorts the cells by name.
func (s *Status) Sort() {
	sort.Slice(s.Cells, func(i, j int) bool { return s.Cells[i].Name < s.Cells[j].Name })
}

// Outdated lists the entries and agents that do not use the newest configuration
// version yet.
func (s *Status) Outdated() []string {
	newest := s.Version
	for _, m := range s.Members {
		newest = max(newest, m.Version)
	}
	var out []string
	for _, m := range s.Members {
		if m.Version < newest {
			out = append(out, m.Name)
		}
		out = append(out, m.Stale...)
	}
	return out
}

// Apply is the body of POST /v1/settings.
type Apply struct {
	// From is the configuration version on which the change is based.
	From   uint64      `json:"from"`
	Source conf.Source `json:"source"`
	// Dry requests all checks without applying the change.
	Dry bool `json:"dry"`
}

// Conflict is the response to an Apply whose From is no longer the version in force.
type Conflict struct {
	Reason string `json:"reason"`
	Text   string `json:"error"`
	// Now is the accepted configuration in force.
	Now setup.Accepted `json:"now"`
}

// Done is the response to a request that made a change.
type Done struct {
	Cell string `json:"cell"`
	Text string `json:"text"`
}

// Jobs is the response to GET /v1/jobs.
type Jobs struct {
	Jobs []cell.Job `json:"jobs"`
}

// Workers is the response to GET /v1/workers.
type Workers struct {
	Workers []cell.Load `json:"workers"`
}

// Why is the response to GET /v1/why/job, /v1/why/worker and /v1/why/request, each
// followed by a name: the recorded decisions about a job or worker, or the recent
// steps of a request.
type Why struct {
	Records []ledger.Record `json:"records,omitempty"`
	Steps   []recent.Step   `json:"steps,omitempty"`
}

// Where is the body of POST /v1/where, which asks where a job of steps or a request would go now.
// An entry answers about one of both. The response is a where.Answer.
type Where struct {
	Job work.Job `json:"job"`
	// Service asks about a request of the service instead of a job.
	Service string `json:"service,omitempty"`
	// Most is the maximum number of candidates for each step.
	Most int `json:"most"`
}
