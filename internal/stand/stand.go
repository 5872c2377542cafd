// Package stand is the stand-in platform: a table, an object store, workers and
// minions in memory, each with switchable faults. Programs that embed it use
// the parts directly; lagoonstand serves them over net/rpc.
package stand

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/stand/flaw"
	"lagoonrack/internal/stand/minion"
	"lagoonrack/internal/stand/object"
	"lagoonrack/internal/stand/serve"
	"lagoonrack/internal/stand/table"
	"lagoonrack/internal/stand/worker"
	"lagoonrack/internal/vect"
)

// Platform is a stand-in platform. Its zero value has a table and an object
// store, both empty.
type Platform struct {
	Table table.Table
	Store object.Store
	// Watch is told of each change of what runs on any worker. It may be nil.
	Watch func(worker, task string, attempt int, running bool)

	mu      sync.Mutex
	workers map[string]*runtime
	minions map[string]*minion.Minion
	server  *rpcs.Server
}

// runtime is one worker in real time.
type runtime struct {
	flaw.Switch

	mu    sync.Mutex
	inner *worker.Worker
	clock clock.Clock
	past  []plat.Report
	at    []time.Time
}

// AddWorker adds a worker, or replaces the one with the same name by a new
// start.
func (p *Platform) AddWorker(name string, size vect.Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[string]*runtime{}
	}
	r := &runtime{clock: clock.New()}
	r.inner = &worker.Worker{Name: name, Incarnation: fmt.Sprint(time.Now().UnixNano()), Size: size}
	if p.Watch != nil {
		r.inner.Watch = func(_ time.Duration, task string, attempt int, running bool) {
			p.Watch(name, task, attempt, running)
		}
	}
	p.workers[name] = r
}

// Worker returns the runtime of a worker.
func (p *Platform) Worker(name string) (plat.Worker, bool) {
	p.mu.Lock()
	r := p.workers[name]
	p.mu.Unlock()
	if r == nil {
		return plat.Worker{}, false
	}
	return plat.Worker{Poll: r.poll, Apply: r.apply}, true
}

// FlawWorker switches the faults of a worker.
func (p *Platform) FlawWorker(name string, f flaw.Faults) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.workers[name]
	if r == nil {
		return false
	}
	r.Set(f)
	return true
}

func (r *runtime) poll(ctx context.Context) (plat.Report, error) {
	if err := r.Before(ctx); err != nil {
		return plat.Report{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.inner.Poll(r.clock.Now())
	return r.lag(rep), nil
}

// lag returns a report as old as the fault asks for. The clock and the term
// are always present ones.
func (r *runtime) lag(rep plat.Report) plat.Report {
	lag := r.Get().Lag
	now := time.Now()
	r.past = append(r.past, rep)
	r.at = append(r.at, now)
	for len(r.at) > 1 && now.Sub(r.at[1]) >= lag {
		r.past, r.at = r.past[1:], r.at[1:]
	}
	used := map[string]vect.Size{}
	for _, t := range r.past[0].Tasks {
		used[t.Task] = t.Used
	}
	for i := range rep.Tasks {
		rep.Tasks[i].Used = used[rep.Tasks[i].Task]
	}
	return rep
}

func (r *runtime) apply(ctx context.Context, o plat.Orders) error {
	if err := r.Before(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inner.Fail = r.Get().Fail
	if err := r.inner.Apply(r.clock.Now(), o); err != nil {
		return err
	}
	return r.After()
}

// AddMinion adds a minion and serves it.
func (p *Platform) AddMinion(name, addr string, started func(id string)) {
	m := &minion.Minion{Name: name, Addr: addr, Started: started}
	m.Start()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.minions == nil {
		p.minions = map[string]*minion.Minion{}
	}
	p.minions[name] = m
}

// Minion returns a minion by name.
func (p *Platform) Minion(name string) *minion.Minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minions[name]
}

// Starts returns how often each request was started at any minion.
func (p *Platform) Starts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, m := range p.minions {
		for id, n := range m.Starts() {
			out[id] += n
		}
	}
	return out
}

// Serve opens the table, the object store and the workers to other processes.
func (p *Platform) Serve(addr string) error {
	s, err := rpcs.Listen(addr, map[string]any{
		serve.TableName:  &serve.Table{Inner: p.Table.Adapter()},
		serve.StoreName:  &serve.Store{Inner: p.Store.Adapter()},
		serve.WorkerName: &serve.Worker{Find: p.Worker},
	})
	if err != nil {
		return err
	}
	p.server = s
	return nil
}

// Addr returns the address that Serve opened.
func (p *Platform) Addr() string { return p.server.Addr() }

// Close ends the server and the minions.
func (p *Platform) Close() {
	if p.server != nil {
		p.server.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.minions {
		m.Stop()
	}
}
