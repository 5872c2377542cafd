// Package api holds the messages between operators and entries. They travel as
// JSON over HTTP at an entry's operator address, under /v1.
package api

import (
	"sort"

	"lagoonrack/internal/cell"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/recent"
	"lagoonrack/internal/roster"
	"lagoonrack/internal/setup"
)

// Status answers GET /v1/status.
type Status struct {
	Entry string `json:"entry"`
	// Version is the configuration version in force at this entry.
	Version uint64          `json:"version"`
	Members []roster.Member `json:"members"`
	Cells   []CellStatus    `json:"cells"`
}

// CellStatus names the owner of a cell.
type CellStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}

// Sort orders the parts of a status by name.
func (s *Status) Sort() {
	sort.Slice(s.Cells, func(i, j int) bool { return s.Cells[i].Name < s.Cells[j].Name })
}

// Outdated lists the processes that do not run the newest version yet.
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
	// From is the version that the change was made from.
	From   uint64      `json:"from"`
	Source conf.Source `json:"source"`
	// Dry asks for all checks and no change.
	Dry bool `json:"dry"`
}

// Conflict answers an Apply that came too late.
type Conflict struct {
	Reason string         `json:"reason"`
	Text   string         `json:"error"`
	Now    setup.Accepted `json:"now"`
}

// Done answers a request that changed something.
type Done struct {
	Cell string `json:"cell"`
	Text string `json:"text"`
}

// Jobs answers GET /v1/jobs.
type Jobs struct {
	Jobs []cell.Job `json:"jobs"`
}

// Workers answers GET /v1/workers.
type Workers struct {
	Workers []cell.Load `json:"workers"`
}

// Why answers GET /v1/why.
type Why struct {
	Records []ledger.Record `json:"records,omitempty"`
	Steps   []recent.Step   `json:"steps,omitempty"`
}
