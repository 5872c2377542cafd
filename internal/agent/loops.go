package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/wire"
)

// entryExpiry is the time since the last contact after which an entry that is not
// named in the settings file is forgotten.
const entryExpiry = 30 * time.Second

// loopAnnounce announces the agent to all known entries at regular intervals.
func (a *Agent) loopAnnounce(ctx context.Context) {
	for {
		a.announceAll(ctx)
		t := time.NewTimer(a.announceInterval())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// announceAll announces the agent and its minion to every known entry. The answers
// name other entries.
func (a *Agent) announceAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range a.knownEntries() {
		wg.Go(func() { a.announce(ctx, e) })
	}
	wg.Wait()
}

// knownEntries returns the addresses of all known entries and forgets expired ones.
func (a *Agent) knownEntries() []string {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	configured := map[string]bool{}
	for _, e := range a.proc.Entries {
		configured[e] = true
	}
	var out []string
	for e, at := range a.entries {
		if !configured[e] && a.clock.Now()-at > entryExpiry {
			delete(a.entries, e)
			a.pool.Drop(e)
			continue
		}
		out = append(out, e)
	}
	return out
}

// announce announces the agent to one entry and takes newer settings from it.
func (a *Agent) announce(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	v, _ := a.setup.Now()
	welcome := new(wire.Welcome)
	var err error
	if a.proc.Minion.Service != "" {
		err = a.pool.Get(entry).Call(ctx, entryService+".Offer", a.newOffer(entry, v.Version), welcome)
	} else {
		err = a.pool.Get(entry).Call(ctx, entryService+".Hello", wire.Hello{Name: a.proc.Name, Version: v.Version}, welcome)
	}
	if err != nil {
		a.log.Debug(logs.PeerLost, logs.Fields{"entry": entry, "error": err.Error()})
		return
	}
	a.addEntries(entry, welcome.Entries)
	if welcome.Version > v.Version {
		a.fetchSettings(ctx, entry, v.Version)
	}
}

// newOffer returns the announcement of the minion to an entry.
func (a *Agent) newOffer(entry string, version uint64) wire.Offer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.Offer{
		Service:     a.proc.Minion.Service,
		Agent:       a.Addr(),
		Incarnation: a.incarnation,
		Zone:        a.proc.Zone,
		Size:        a.proc.Minion.Slots,
		Leaving:     a.draining.Load(),
		Slots:       a.core.SlotsFor(entry),
		Version:     version,
		Name:        a.proc.Name,
	}
}

// addEntries records that an entry has answered and which others it knows.
func (a *Agent) addEntries(entry string, others []string) {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	a.entries[entry] = a.clock.Now()
	for _, o := range others {
		if _, ok := a.entries[o]; !ok {
			a.entries[o] = a.clock.Now()
		}
	}
}

// fetchSettings fetches settings newer than a version from an entry and applies them.
func (a *Agent) fetchSettings(ctx context.Context, entry string, version uint64) {
	accepted := new(setup.Accepted)
	if err := a.pool.Get(entry).Call(ctx, entryService+".Newer", version, accepted); err == nil {
		a.setup.ApplyIfNewer(*accepted)
	}
}

const (
	// reportInterval is the pause between two polls of a worker that has tasks, and
	// idleReportInterval that of a worker without tasks.
	reportInterval     = 100 * time.Millisecond
	idleReportInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds the wait for the owner's answer to a heartbeat.
	heartbeatTimeout = 5 * time.Second
	// retryPause is the pause after a failed poll, and after a heartbeat that was not
	// answered by the owner.
	retryPause = 200 * time.Millisecond
)

// loopWorker relays reports and orders between the worker and the owner of its
// cell. While a report waits for its answer, another one is sent only if the state of
// the worker has changed (see changeKey).
func (a *Agent) loopWorker(ctx context.Context) {
	lastKey := ""
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, 1)
	for ctx.Err() == nil {
		rep, err := a.pollWorker(ctx)
		if err != nil {
			a.log.Debug(logs.PeerLost, logs.Fields{"worker": a.proc.Worker.Name, "error": err.Error()})
			clock.Sleep(ctx, retryPause)
			continue
		}
		key := changeKey(rep)
		select {
		case inFlight <- struct{}{}:
		default:
			if key == lastKey {
				clock.Sleep(ctx, reportPause(rep))
				continue
			}
		}
		lastKey = key
		wg.Go(func() {
			a.sendHeartbeat(ctx, rep)
			select {
			case <-inFlight:
			default:
			}
		})
		clock.Sleep(ctx, reportInterval)
	}
}

// reportPause returns the pause before the next report.
func reportPause(r plat.Report) time.Duration {
	if len(r.Tasks) == 0 {
		return idleReportInterval
	}
	return reportInterval
}

// changeKey returns a text that changes with the incarnation of the worker, its list
// of tasks and which of them are done. The owner should learn of such a change at
// once.
func changeKey(r plat.Report) string {
	s := r.Incarnation
	for _, t := range r.Tasks {
		s += "|" + t.Task
		if t.Done {
			s += "!"
		}
	}
	return s
}

// pollWorker requests a report from the worker.
func (a *Agent) pollWorker(ctx context.Context) (plat.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return a.worker.Poll(ctx)
}

// sendHeartbeat sends one report to the owner and applies the orders in the answer.
func (a *Agent) sendHeartbeat(ctx context.Context, rep plat.Report) {
	addr := a.ownerAddr()
	if addr == "" {
		clock.Sleep(ctx, retryPause)
		return
	}
	v, _ := a.setup.Now()
	heartbeat := wire.Heartbeat{
		Cell:    a.proc.Worker.Cell,
		Worker:  a.proc.Worker.Name,
		Agent:   a.proc.Name,
		Zone:    a.proc.Zone,
		Rack:    a.proc.Worker.Rack,
		Leaving: a.draining.Load(),
		Report:  rep,
		Version: v.Version,
	}
	c, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	orders := new(wire.Orders)
	if err := a.pool.Get(addr).Call(c, entryService+".Beat", heartbeat, orders); err != nil {
		a.replaceOwner(addr, "")
		clock.Sleep(ctx, retryPause)
		return
	}
	if orders.Incarnation == "" {
		a.replaceOwner(addr, orders.Redirect)
		clock.Sleep(ctx, retryPause)
		return
	}
	a.applyOrders(ctx, rep, *orders)
	if orders.Version > v.Version {
		a.fetchSettings(c, addr, v.Version)
	}
}

// applyOrders passes the owner's orders to the worker. The leases that they renew run
// from the worker's clock in the report that the orders answer.
func (a *Agent) applyOrders(ctx context.Context, rep plat.Report, orders wire.Orders) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	orders.Until = rep.Clock + orders.Lease
	err := a.worker.Apply(c, orders.Orders)
	if errors.Is(err, plat.ErrFenced) {
		a.tally.Inc("lagoon_fenced_total")
		a.log.Debug(logs.Fenced, logs.Fields{"worker": a.proc.Worker.Name, "term": orders.Term})
	}
}

// ownerAddr returns the address of the cell's owner, or of an entry, which redirects
// to the owner, or "" if no entry is known.
func (a *Agent) ownerAddr() string {
	a.entryMu.Lock()
	owner := a.owner
	a.entryMu.Unlock()
	if owner != "" {
		return owner
	}
	entries := a.knownEntries()
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	if a.owner == "" {
		a.owner = a.turns.Next(entries)
	}
	return a.owner
}

// replaceOwner sets the address to which reports are sent, unless it has changed from
// old in the meantime.
func (a *Agent) replaceOwner(old, addr string) {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	a.turns.Tried(old)
	if a.owner == old {
		a.owner = addr
	}
}
