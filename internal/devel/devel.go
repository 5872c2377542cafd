// Package devel runs the whole system in one process on embedded stand-ins:
// the platform, two entries for each site, and an agent with a minion and a
// worker for each VM. It is what a newcomer starts first, and what tests of the
// whole path use.
package devel

import (
	"context"
	"fmt"
	"net"
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

// System is a running system. Use Start.
type System struct {
	// Platform is the stand-in platform, with its switches.
	Platform *stand.Platform
	// Check follows every promise that can be seen from inside the process.
	Check check.Check
	Sites []*Site

	log logs.Log
}

// Site is one site of the system.
type Site struct {
	Settings conf.Settings
	Entries  []*entry.Entry
	Agents   []*agent.Agent
	// Evictions counts decisions to evict.
	mu        sync.Mutex
	evictions int
}

// entriesEach is the number of entries of a site.
const entriesEach = 2

// loopback is the address that all parts listen on.
const loopback = "127.0.0.1:0"

// Start starts a system with the given settings.
func Start(src conf.Source, log logs.Log) (*System, error) {
	sites, err := src.Load()
	if err != nil {
		return nil, err
	}
	s := &System{Platform: &stand.Platform{}, log: log}
	s.Platform.Watch = s.Check.TaskRunning
	if err := s.install(src); err != nil {
		return nil, err
	}
	for _, set := range sites {
		site, err := s.site(set)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.Sites = append(s.Sites, site)
	}
	return s, nil
}

// install puts the settings into the table, as the first apply would.
func (s *System) install(src conf.Source) error {
	first := setup.Setup{Table: s.Platform.Table.Adapter()}
	_, err := first.Accept(context.Background(), 0, src, "lagoondev", false)
	return err
}

func (s *System) site(set conf.Settings) (*Site, error) {
	out := &Site{Settings: set}
	var peers []string
	for i := range entriesEach {
		e := entry.New(proc.Settings{
			Name:     fmt.Sprintf("%s-entry-%d", set.Site, i+1),
			Site:     set.Site,
			Zone:     set.Zones[i%len(set.Zones)],
			Caller:   loopback,
			Operator: loopback,
			Peer:     loopback,
			Notice:   unit.Duration(100 * time.Millisecond),
		}, s.Platform.Table.Adapter(), s.Platform.Store.Adapter(), s.log)
		e.OnDecision = out.decided
		if err := e.Start(); err != nil {
			return out, err
		}
		out.Entries = append(out.Entries, e)
		peers = append(peers, e.PeerAddr())
	}
	return out, s.agents(out, peers)
}

func (o *Site) decided(n cell.Decision) {
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

// agents starts one agent for each VM: the i-th has the i-th minion of the
// site's service and the i-th worker, as far as there are any.
func (s *System) agents(o *Site, peers []string) error {
	var all []proc.Settings
	for _, v := range o.Settings.Services {
		for i := range v.Minions {
			p, err := s.minion(v, i)
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
		if err := s.agent(o, p, i, peers); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) minion(v conf.Service, i int) (proc.Settings, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return proc.Settings{}, err
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	name := fmt.Sprintf("%s-%d", v.Name, i+1)
	s.Platform.AddMinion(name, addr, s.Check.RequestStarted)
	return proc.Settings{Minion: proc.Minion{Service: v.Name, Address: addr, Slots: v.Slots}}, nil
}

func (s *System) agent(o *Site, p proc.Settings, i int, peers []string) error {
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

// Audit passes the present commitments of all workers to the check.
func (s *System) Audit() {
	for _, o := range s.Sites {
		for _, e := range o.Entries {
			for _, l := range e.Loads() {
				s.Check.WorkerCommitted(l.Worker, l.Committed, l.Size)
			}
		}
	}
}

// Jobs returns the jobs of all sites.
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

// Submit passes a job to a site.
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

// Stop is a planned stop of everything: entries of a site after its agents'
// minions, so that no request is cut.
func (s *System) Stop() {
	var all sync.WaitGroup
	for _, o := range s.Sites {
		all.Go(o.stop)
	}
	all.Wait()
	s.Platform.Close()
}

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
