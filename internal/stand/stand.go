// Package stand simulates the platform for tests and trials: an in-memory table, object
// store, workers and minions (stand-ins), with faults that can be injected into each.
// Programs that embed it use the parts directly; lagoonstand serves them over net/rpc.
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

// Platform is a stand-in platform. The zero value has an empty table, an empty object
// store, no workers and no minions.
type Platform struct {
	Table table.Table
	Store object.Store
	// Watch is called when an attempt of a task starts or stops running on any
	// worker. It may be nil. It must be set before workers are added.
	Watch func(worker, task string, attempt int, running bool)

	mu      sync.Mutex
	workers map[string]*runtime
	minions map[string]*minion.Minion
	server  *rpcs.Server
}

// runtime runs a stand-in worker in real time, with injected faults.
type runtime struct {
	flaw.Switch

	mu        sync.Mutex
	simulated *worker.Worker
	clock     clock.Clock
	// reports holds the latest reports, oldest first, and reportedAt their times;
	// the first is the one whose resource usage is reported.
	reports    []plat.Report
	reportedAt []time.Time
}

// AddWorker adds a worker, or replaces the one with the same name by a new
// incarnation.
func (p *Platform) AddWorker(name string, size vect.Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[string]*runtime{}
	}
	r := &runtime{clock: clock.New()}
	r.simulated = &worker.Worker{Name: name, Incarnation: fmt.Sprint(time.Now().UnixNano()), Size: size}
	if p.Watch != nil {
		r.simulated.Watch = func(_ time.Duration, task string, attempt int, running bool) {
			p.Watch(name, task, attempt, running)
		}
	}
	p.workers[name] = r
}

// Worker returns the runtime of a worker by name, and whether there is one.
func (p *Platform) Worker(name string) (plat.Worker, bool) {
	p.mu.Lock()
	r := p.workers[name]
	p.mu.Unlock()
	if r == nil {
		return plat.Worker{}, false
	}
	return plat.Worker{Poll: r.poll, Apply: r.apply}, true
}

// SetWorkerFaults sets the faults of a worker and reports whether the worker exists.
func (p *Platform) SetWorkerFaults(name string, f flaw.Faults) bool {
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
	rep := r.simulated.Poll(r.clock.Now())
	return r.delayUsage(rep), nil
}

// delayUsage replaces the resource usage in a report by that of an earlier report, as
// old as the fault Lag says. All else in the report stays current.
func (r *runtime) delayUsage(rep plat.Report) plat.Report {
	lag := r.Get().Lag
	now := time.Now()
	r.reports = append(r.reports, rep)
	r.reportedAt = append(r.reportedAt, now)
	for len(r.reportedAt) > 1 && now.Sub(r.reportedAt[1]) >= lag {
		r.reports, r.reportedAt = r.reports[1:], r.reportedAt[1:]
	}
	used := map[string]vect.Size{}
	for _, t := range r.reports[0].Tasks {
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
	r.simulated.Fail = r.Get().Fail
	if err := r.simulated.Apply(r.clock.Now(), o); err != nil {
		return err
	}
	return r.After()
}

// AddMinion adds a minion and starts its HTTP server. started is called with the ID of
// each request that the minion starts. It returns the address that the minion listens on.
func (p *Platform) AddMinion(name, addr string, started func(id string)) (string, error) {
	m := &minion.Minion{Name: name, Addr: addr, Started: started}
	if err := m.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.minions == nil {
		p.minions = map[string]*minion.Minion{}
	}
	p.minions[name] = m
	return m.Addr, nil
}

// Minion returns a minion by name, or nil if there is none.
func (p *Platform) Minion(name string) *minion.Minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minions[name]
}

// Starts returns how often each request was started, by its ID, over all minions.
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

// Serve serves the table, the object store and the workers over net/rpc.
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

// Addr returns the address on which Serve listens.
func (p *Platform) Addr() string { return p.server.Addr() }

// Close stops the net/rpc server and the minions.
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
