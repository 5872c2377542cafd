// Package proc holds the settings of one process: its name, site, zone and
// addresses. The settings of services, teams and cells are in package conf; the
// processes get them from the table.
package proc

import (
	"fmt"
	"net/netip"
	"os"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
)

// Settings are read from a process's settings file. Keys that a program does not
// use must not be in its file.
type Settings struct {
	Name string `yaml:"name" doc:"Name of the process, unique in its site."`
	Site string `yaml:"site" doc:"Site that the process belongs to."`
	Zone string `yaml:"zone" doc:"Availability zone that the process runs in."`
	Log  Log    `yaml:"log" doc:"Form of the log."`
	// Each address is an IP address and a port; the system chooses a port for 0.
	Caller   string `yaml:"caller" doc:"Address for callers."`
	Operator string `yaml:"operator" doc:"Address for operators, metrics and health."`
	Peer     string `yaml:"peer" doc:"Address for other processes of the system."`
	Platform string `yaml:"platform" doc:"Address of the platform's table and object store."`
	// Entries are the peer addresses of some entries; the process learns the
	// addresses of the others from these.
	Entries []string      `yaml:"entries" doc:"Peer addresses of entries to ask first."`
	Drain   unit.Duration `yaml:"drain" doc:"Longest time of a planned stop."`
	Notice  unit.Duration `yaml:"notice" doc:"Time that an entry serves on after its health turned red."`
	Minion  Minion        `yaml:"minion" doc:"Minion beside the agent; left out if there is none."`
	Worker  Worker        `yaml:"worker" doc:"Worker beside the agent; left out if there is none."`
	Fleet   Fleet         `yaml:"fleet" doc:"What a process needs on the users' platform; left out on the stand-ins."`
	Inflow  Inflow        `yaml:"inflow" doc:"What clients of the HTTP listeners may hold before their requests are whole; a default applies to each key that is left out or 0."`
	Stand   Stand         `yaml:"stand" doc:"What a stand-in platform offers."`
}

// Inflow bounds what the clients of all HTTP listeners of a process may hold before their
// requests are whole. The defaults are in package httpd.
type Inflow struct {
	Memory      float64       `yaml:"memory" doc:"MB of the machine's memory. An eighth of it is the default of budget, and three quarters are the limit from which on the garbage collector works harder."`
	Descriptors int           `yaml:"descriptors" doc:"File descriptors of the process. Three eighths of them are the default of connections."`
	Budget      unit.Bytes    `yaml:"budget" doc:"Memory that requests may be charged, three bytes for each of their bytes; 256MiB if the memory is not given either."`
	Connections int           `yaml:"connections" doc:"Most connections of the address for callers; the other addresses take an eighth each, at least 16. 1536 if the descriptors are not given either."`
	Head        unit.Bytes    `yaml:"head" doc:"Largest request line with headers; 64KiB by default."`
	Header      unit.Duration `yaml:"header" doc:"Longest time of a head; 10s by default."`
	Body        unit.Duration `yaml:"body" doc:"Longest time of a body; 5m by default."`
	Rate        unit.Bytes    `yaml:"rate" doc:"Least bytes a second of a body that takes over 10s; 512B by default."`
	Idle        unit.Duration `yaml:"idle" doc:"Longest time without a request; 2m by default."`
	Answer      unit.Duration `yaml:"answer" doc:"Longest wait for a client that does not read its answer; 1m by default."`
}

// Log sets the format and level of the log.
type Log struct {
	Format string `yaml:"format" doc:"text or json."`
	Level  string `yaml:"level" doc:"debug, info, warning or error."`
}

// Minion is the back end beside an agent.
type Minion struct {
	Service string `yaml:"service" doc:"Service that the minion belongs to."`
	Address string `yaml:"address" doc:"Address of the minion."`
	Slots   int    `yaml:"slots" doc:"Requests that the minion runs at a time."`
}

// Worker is the worker beside an agent.
type Worker struct {
	Name    string `yaml:"name" doc:"Name of the worker."`
	Cell    string `yaml:"cell" doc:"Cell that the worker belongs to."`
	Rack    string `yaml:"rack" doc:"Rack that the worker is in."`
	Address string `yaml:"address" doc:"Address of the worker's runtime."`
}

// Fleet holds the settings that a process needs on the real platform, as opposed
// to a stand-in platform.
type Fleet struct {
	On bool `yaml:"on" doc:"Whether the process runs on the users' platform."`
	// Check is used by entries, Announce by agents.
	Check    string        `yaml:"check" doc:"Address at which an entry answers the balancer."`
	Announce string        `yaml:"announce" doc:"Address at which an agent's worker registers."`
	Advisor  string        `yaml:"advisor" doc:"Address of the platform's advisor, if there is one."`
	Power    float64       `yaml:"power" doc:"Processor share of the machine; the most powerful entry is preferred as owner."`
	Link     float64       `yaml:"link" doc:"Mbit/s of the machine's link; an entry on a thin one is no preferred owner."`
	Lease    unit.Duration `yaml:"lease" doc:"How long a worker goes on without a renewal by its agent."`
	Trust    unit.Duration `yaml:"trust" doc:"How long an agent renews without a word from the owner."`
	Keep     unit.Duration `yaml:"keep" doc:"How long an ended job can be asked for."`

	Evacuation unit.Duration `yaml:"evacuation" doc:"Time after the operator evacuated a zone from which on an entry starts nothing there, whatever fails; below 3 s it holds only while the store answers. Unset, evacuations are not read."`
	Overload   bool          `yaml:"overload" doc:"Whether the admission of jobs follows the observed demand and rejects jobs that can't end in useful time."`
	Uneven     bool          `yaml:"uneven" doc:"Whether an owner learns how fast runs make progress on each worker, and places and moves best-effort tasks by it; false by default."`
}

// Stand lists the minions and workers that a stand-in platform simulates.
type Stand struct {
	Minions []StandMinion `yaml:"minions" doc:"Stand-in minions."`
	Workers []StandWorker `yaml:"workers" doc:"Stand-in workers."`
}

// StandMinion is a stand-in minion.
type StandMinion struct {
	Name    string `yaml:"name" doc:"Name of the minion."`
	Address string `yaml:"address" doc:"Address that it serves."`
}

// StandWorker is a stand-in worker.
type StandWorker struct {
	Name   string     `yaml:"name" doc:"Name of the worker."`
	Cores  float64    `yaml:"cores" doc:"Cores of the worker."`
	Memory unit.Bytes `yaml:"memory" doc:"Memory of the worker."`
	Accel  int64      `yaml:"accel" doc:"Accelerators of the worker."`
}

// Role is the kind of a program; it determines which settings the program needs.
type Role int

// Entry, Agent and Platform are the roles of lagoond, lagoonlet and lagoonstand.
const (
	Entry Role = iota
	Agent
	Platform
)

// Read reads and checks a settings file. Each override has the form KEY=VALUE and replaces the
// file's value of the key, unless its own value is empty.
func Read(file string, role Role, overrides ...string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	t, err := tree.Parse(file, data)
	if err != nil {
		return s, err
	}
	for _, o := range overrides {
		overlay, err := tree.Assignment("--set", o)
		if err != nil {
			return s, err
		}
		t = t.Merge(overlay)
	}
	if err := t.Decode(&s); err != nil {
		return s, err
	}
	c := checker{tree.Check{Tree: t}}
	c.check(s, role)
	return s, c.Err()
}

// checker collects the errors of one settings file.
type checker struct{ tree.Check }

// address checks that v is an IP address and port.
func (c *checker) address(path, v string) {
	_, err := netip.ParseAddrPort(v)
	c.Want(err == nil, path, "%q is not an address of IP number and port, such as 127.0.0.1:8080", v)
}

// unused checks that a key is not set that the program does not use.
func (c *checker) unused(path string, set bool) {
	c.Want(!set, path, "this program does not use the key")
}

func (c *checker) check(s Settings, role Role) {
	c.Want(s.Name != "", "name", "a name is needed")
	c.inflow(s.Inflow)
	if s.Fleet.On {
		c.fleet(s, role)
		return
	}
	c.unused("fleet", s.Fleet != Fleet{})
	if _, err := logs.New(nil, s.Log.Format, s.Log.Level, ""); err != nil {
		c.Want(false, "log", "%v", err)
	}
	switch role {
	case Entry:
		c.entry(s)
	case Agent:
		c.agent(s)
	case Platform:
		c.platform(s)
	}
}

// inflow checks that no limit is negative.
func (c *checker) inflow(i Inflow) {
	for key, v := range map[string]float64{
		"memory": i.Memory, "descriptors": float64(i.Descriptors), "budget": float64(i.Budget), "connections": float64(i.Connections),
		"head": float64(i.Head), "header": float64(i.Header), "body": float64(i.Body), "rate": float64(i.Rate),
		"idle": float64(i.Idle), "answer": float64(i.Answer),
	} {
		c.Want(v >= 0, "inflow."+key, "%v is less than 0", v)
	}
}

// location checks the settings that entries and agents have in common.
func (c *checker) location(s Settings) {
	c.Want(s.Site != "", "site", "a site is needed")
	c.Want(s.Zone != "", "zone", "an availability zone is needed")
	c.address("operator", s.Operator)
	c.address("peer", s.Peer)
	c.unused("stand", len(s.Stand.Minions)+len(s.Stand.Workers) > 0)
}

func (c *checker) entry(s Settings) {
	c.location(s)
	c.address("caller", s.Caller)
	c.address("platform", s.Platform)
	c.unused("minion", s.Minion != Minion{})
	c.unused("worker", s.Worker != Worker{})
	c.unused("entries", len(s.Entries) > 0)
}

func (c *checker) agent(s Settings) {
	c.location(s)
	c.unused("caller", s.Caller != "")
	c.unused("platform", s.Platform != "")
	c.unused("notice", s.Notice != 0)
	c.Want(len(s.Entries) > 0, "entries", "at least one entry is needed")
	for i, e := range s.Entries {
		c.address(fmt.Sprintf("entries[%d]", i), e)
	}
	c.Want(s.Minion != Minion{} || s.Worker != Worker{}, "name", "an agent needs a minion, a worker or both")
	if s.Minion != (Minion{}) {
		c.Want(s.Minion.Service != "", "minion.service", "a service is needed")
		c.address("minion.address", s.Minion.Address)
		c.Want(s.Minion.Slots >= 1, "minion.slots", "%d is less than 1", s.Minion.Slots)
	}
	if s.Worker != (Worker{}) {
		c.Want(s.Worker.Name != "", "worker.name", "a name is needed")
		c.Want(s.Worker.Cell != "", "worker.cell", "a cell is needed")
		c.address("worker.address", s.Worker.Address)
	}
}

// fleet checks the settings of a process on the real platform.
func (c *checker) fleet(s Settings, role Role) {
	c.address("peer", s.Peer)
	c.address("operator", s.Operator)
	c.address("platform", s.Platform)
	c.Want(s.Fleet.Lease > 0, "fleet.lease", "a duration above 0 is needed")
	switch role {
	case Entry:
		c.address("caller", s.Caller)
		c.address("fleet.check", s.Fleet.Check)
		c.Want(s.Fleet.Evacuation >= 0, "fleet.evacuation", "a duration above 0 is needed")
	case Agent:
		c.address("worker.address", s.Worker.Address)
		c.address("fleet.announce", s.Fleet.Announce)
		c.unused("fleet.evacuation", s.Fleet.Evacuation != 0)
	case Platform:
		c.Want(false, "fleet.on", "a stand-in platform does not run on the real platform")
	}
}

func (c *checker) platform(s Settings) {
	c.address("platform", s.Platform)
	c.address("operator", s.Operator)
	for _, m := range s.Stand.Minions {
		c.address("stand.minions["+m.Name+"].address", m.Address)
	}
	for _, w := range s.Stand.Workers {
		c.Want(w.Cores > 0 && w.Memory > 0 && w.Accel >= 0, "stand.workers["+w.Name+"]", "cores and memory must be above 0")
	}
	c.unused("caller", s.Caller != "")
	c.unused("peer", s.Peer != "")
	c.unused("entries", len(s.Entries) > 0)
}
