// Package devel runs the whole system in one process, for a first look at it and
// for end-to-end tests: a stand-in platform, two entries for each site, and an
// agent with a stand-in minion and worker for each VM.
package devel

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lagoonrack/internal/agent"
	"lagoonrack/internal/cell"
	"lagoonrack/internal/check"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/entry"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/stand"
	"lagoonrack/internal/unit"
	"lagoonrack/internal/wire"
)

// System is a running system. Start creates one.
type System struct {
	// Platform is the stand-in platform; faults can be switched on in it.
	Platform *stand.Platform
	// Check verifies all invariants that can be observed inside the process.
	Check check.Check
	Sites []*Site

	log logs.Log
}

// Site is one site of the system.
type Site struct {
	Settings conf.Settings
	Entries  []*entry.Entry
	Agents   []*agent.Agent

	mu sync.Mutex
	// evictions counts decisions to evict a task.
	evictions int
}

// entriesPerSite is the number of entries of each site.
const entriesPerSite = 2

// loopback is the address that all parts listen on, with any free port.
const loopback = "127.0.0.1:0"

// Start starts a system with the given settings. It does not wait until the
// system is ready; see Ready.
func Start(src conf.Source, log logs.Log) (*System, error) {
	sites, err := src.Load()
	if err != nil {
		return nil, err
	}
	s := &System{Platform: &stand.Platform{}, log: log}
	s.Platform.Watch = s.Check.TaskRunning
	if err := s.installSettings(src); err != nil {
		return nil, err
	}
	for _, set := range sites {
		site, err := s.startSite(set)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.Sites = append(s.Sites, site)
	}
	return s, nil
}

// installSettings writes the first version of the settings into the table, as
// an operator's first apply does.
func (s *System) installSettings(src conf.Source) error {
	first := setup.Setup{Table: s.Platform.Table.Adapter()}
	_, err := first.Accept(context.Background(), 0, src, "lagoondev", false)
	return err
}

// startSite starts the entries and agents of a site.
func (s *System) startSite(set conf.Settings) (*Site, error) {
	out := &Site{Settings: set}
	var peers []string
	for i := range entriesPerSite {
		e := entry.New(proc.Settings{
			Name:     fmt.Sprintf("%s-entry-%d", set.Site, i+1),
			Site:     set.Site,
			Zone:     set.Zones[i%len(set.Zones)],
			Caller:   loopback,
			Operator: loopback,
			Peer:     loopback,
			Notice:   unit.Duration(100 * time.Millisecond),
		}, s.Platform.Table.Adapter(), s.Platform.Store.Adapter(), s.log)
		e.OnDecision = out.countEviction
		if err := e.Start(); err != nil {
			return out, err
		}
		out.Entries = append(out.Entries, e)
		peers = append(peers, e.PeerAddr())
	}
	return out, s.startAgents(out, peers)
}

// countEviction counts a decision of a cell if it is an eviction.
func (o *Site) countEviction(n cell.Decision) {
	if n.Kind != "evict" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evictions++
}

// Evictions returns the number of evictions so far.
func (o *Site) Evictions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evictions
}

// startAgents starts one agent for each VM: the i-th agent gets the i-th of all
// minions of the site and the i-th of all workers. If there are more of one kind
// than of the other, the remaining agents have only that kind.
func (s *System) startAgents(o *Site, peers []string) error {
	var all []proc.Settings
	for _, v := range o.Settings.Services {
		for i := range v.Minions {
			p, err := s.addMinion(v, i)
			if err != nil {
				return err
			}
			all = append(all, p)
		}
	}
	number := 0
	for _, n := range o.Settings.Nodes {
		for i := range n.Count {
			if number == len(all) {
				all = append(all, proc.Settings{})
			}
			name := fmt.Sprintf("%s-%d", n.Name, i+1)
			s.Platform.AddWorker(name, n.Size())
			all[number].Worker = proc.Worker{
				Name: name,
				Cell: o.Settings.Cells[number%len(o.Settings.Cells)].Name,
				Rack: fmt.Sprintf("%s-rack-%d", n.Name, i/n.Rack+1),
			}
			number++
		}
	}
	for i, p := range all {
		if err := s.startAgent(o, p, i, peers); err != nil {
			return err
		}
	}
	return nil
}

// addMinion adds the i-th minion of a service to the platform, on a free port,
// and returns the settings of its agent.
func (s *System) addMinion(v conf.Service, i int) (proc.Settings, error) {
	addr, err := s.Platform.AddMinion(fmt.Sprintf("%s-%d", v.Name, i+1), loopback, s.Check.RequestStarted)
	if err != nil {
		return proc.Settings{}, err
	}
	return proc.Settings{Minion: proc.Minion{Service: v.Name, Address: addr, Slots: v.Slots}}, nil
}

// startAgent starts the i-th agent of a site. p holds the minion and the worker
// of the agent and is completed here.
func (s *System) startAgent(o *Site, p proc.Settings, i int, peers []string) error {
	p.Name = fmt.Sprintf("%s-agent-%d", o.Settings.Site, i+1)
	p.Site = o.Settings.Site
	p.Zone = o.Settings.Zones[i%len(o.Settings.Zones)]
	p.Peer, p.Operator = loopback, loopback
	p.Entries = peers
	w, _ := s.Platform.Worker(p.Worker.Name)
	a, err := agent.New(p, w, s.log)
	if err != nil {
		return err
	}
	if err := a.Start(); err != nil {
		return err
	}
	o.Agents = append(o.Agents, a)
	return nil
}

// Ready waits until every cell has an owner and every entry knows every minion
// of its site.
func (s *System) Ready(ctx context.Context) error {
	for {
		if s.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the system did not become ready: %w", ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// isReady reports whether all entries know all cells and minions of their sites.
func (s *System) isReady() bool {
	for _, o := range s.Sites {
		for _, e := range o.Entries {
			if !e.ServesAll(o.Settings) {
				return false
			}
		}
	}
	return true
}

// Audit passes the currently committed resources of all workers to Check, which
// compares them with the sizes of the workers.
func (s *System) Audit() {
	for _, o := range s.Sites {
		for _, e := range o.Entries {
			for _, l := range e.Loads() {
				s.Check.WorkerCommitted(l.Worker, l.Committed, l.Size)
			}
		}
	}
}

// Jobs returns the jobs of all sites, each site's as its first entry lists them.
func (s *System) Jobs(ctx context.Context) ([]cell.Job, error) {
	var out []cell.Job
	for _, o := range s.Sites {
		jobs, err := o.Entries[0].Jobs(ctx)
		if err != nil {
			return nil, err
		}
		out = append(out, jobs...)
	}
	return out, nil
}

// Submit submits a job to a site and returns an error if the job is rejected.
func (o *Site) Submit(ctx context.Context, j wire.Job) error {
	r, err := o.Entries[0].Submit(ctx, j)
	if err != nil {
		return err
	}
	if r.Reason != "" {
		return fmt.Errorf("job %s: %s", j.Name, r.Text)
	}
	return nil
}

// Stop shuts the whole system down in a planned way: at each site first the
// entries, then the agents, so that no request is interrupted, and at the end the
// platform.
func (s *System) Stop() {
	var all sync.WaitGroup
	for _, o := range s.Sites {
		all.Go(o.stop)
	}
	all.Wait()
	s.Platform.Close()
}

// stop stops the entries of the site and then its agents.
func (o *Site) stop() {
	var entries sync.WaitGroup
	for _, e := range o.Entries {
		entries.Go(e.Stop)
	}
	entries.Wait()
	var agents sync.WaitGroup
	for _, a := range o.Agents {
		agents.Go(a.Stop)
	}
	agents.Wait()
}
