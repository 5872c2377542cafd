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

// entryLapse is the silence after which an entry that is not named in the
// settings file is forgotten.
const entryLapse = 30 * time.Second

// loopAnnounce keeps in touch with all entries.
func (a *Agent) loopAnnounce(ctx context.Context) {
	for {
		a.announceAll(ctx)
		t := time.NewTimer(a.beat())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// announceAll tells every known entry of the minion, and learns of others.
func (a *Agent) announceAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, e := range a.known() {
		all.Go(func() { a.announce(ctx, e) })
	}
	all.Wait()
}

func (a *Agent) known() []string {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	fixed := map[string]bool{}
	for _, e := range a.proc.Entries {
		fixed[e] = true
	}
	var out []string
	for e, at := range a.entries {
		if !fixed[e] && a.clock.Now()-at > entryLapse {
			delete(a.entries, e)
			a.pool.Drop(e)
			continue
		}
		out = append(out, e)
	}
	return out
}

func (a *Agent) announce(ctx context.Context, entry string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	v, _ := a.setup.Now()
	w := new(wire.Welcome)
	var err error
	if a.proc.Minion.Service != "" {
		err = a.pool.Get(entry).Call(ctx, entryName+".Offer", a.offer(entry, v.Version), w)
	} else {
		err = a.pool.Get(entry).Call(ctx, entryName+".Hello", wire.Hello{Name: a.proc.Name, Version: v.Version}, w)
	}
	if err != nil {
		a.log.Debug(logs.PeerLost, logs.Fields{"entry": entry, "error": err.Error()})
		return
	}
	a.learn(entry, w.Entries)
	if w.Version > v.Version {
		a.fetch(ctx, entry, v.Version)
	}
}

func (a *Agent) offer(entry string, version uint64) wire.Offer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.Offer{
		Service:     a.proc.Minion.Service,
		Agent:       a.Addr(),
		Incarnation: a.incarnation,
		Zone:        a.proc.Zone,
		Size:        a.proc.Minion.Slots,
		Leaving:     a.leaving.Load(),
		Slots:       a.core.SlotsFor(entry),
		Version:     version,
		Name:        a.proc.Name,
	}
}

func (a *Agent) learn(entry string, others []string) {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	a.entries[entry] = a.clock.Now()
	for _, o := range others {
		if _, ok := a.entries[o]; !ok {
			a.entries[o] = a.clock.Now()
		}
	}
}

// fetch takes newer settings from an entry.
func (a *Agent) fetch(ctx context.Context, entry string, version uint64) {
	out := new(setup.Accepted)
	if err := a.pool.Get(entry).Call(ctx, entryName+".Newer", version, out); err == nil {
		a.setup.Take(*out)
	}
}

const (
	// beatGap is the pace at which a worker with tasks is asked for news, and
	// idleGap that of a worker without any.
	beatGap = 100 * time.Millisecond
	idleGap = 500 * time.Millisecond
	// beatTimeout bounds the wait for the owner's answer.
	beatTimeout = 5 * time.Second
	// ownerPause is the wait before another process is asked for the owner.
	ownerPause = 200 * time.Millisecond
)

// loopWorker relays reports and orders between the worker and the owner of its
// cell. It keeps one report waiting for its answer; when the worker has news
// meanwhile, the next report supersedes that one.
func (a *Agent) loopWorker(ctx context.Context) {
	last := ""
	var answered sync.WaitGroup
	defer answered.Wait()
	waiting := make(chan struct{}, 1)
	for ctx.Err() == nil {
		rep, err := a.poll(ctx)
		if err != nil {
			a.log.Debug(logs.PeerLost, logs.Fields{"worker": a.proc.Worker.Name, "error": err.Error()})
			clock.Sleep(ctx, ownerPause)
			continue
		}
		now := summary(rep)
		select {
		case waiting <- struct{}{}:
		default:
			if now == last {
				clock.Sleep(ctx, gap(rep))
				continue
			}
		}
		last = now
		answered.Go(func() {
			a.exchangeBeat(ctx, rep)
			select {
			case <-waiting:
			default:
			}
		})
		clock.Sleep(ctx, beatGap)
	}
}

// gap returns the pause before the next report.
func gap(r plat.Report) time.Duration {
	if len(r.Tasks) == 0 {
		return idleGap
	}
	return beatGap
}

// summary tells reports apart that an owner should hear of at once.
func summary(r plat.Report) string {
	s := r.Incarnation
	for _, t := range r.Tasks {
		s += "|" + t.Task
		if t.Done {
			s += "!"
		}
	}
	return s
}

func (a *Agent) poll(ctx context.Context) (plat.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return a.worker.Poll(ctx)
}

// exchangeBeat sends one report and applies the orders that answer it.
func (a *Agent) exchangeBeat(ctx context.Context, rep plat.Report) {
	addr := a.ownerAddr()
	if addr == "" {
		clock.Sleep(ctx, ownerPause)
		return
	}
	v, _ := a.setup.Now()
	b := wire.Heartbeat{
		Cell:    a.proc.Worker.Cell,
		Worker:  a.proc.Worker.Name,
		Agent:   a.proc.Name,
		Zone:    a.proc.Zone,
		Rack:    a.proc.Worker.Rack,
		Leaving: a.leaving.Load(),
		Report:  rep,
		Version: v.Version,
	}
	c, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	out := new(wire.Orders)
	if err := a.pool.Get(addr).Call(c, entryName+".Beat", b, out); err != nil {
		a.setOwner(addr, "")
		clock.Sleep(ctx, ownerPause)
		return
	}
	if out.Incarnation == "" {
		a.setOwner(addr, out.Redirect)
		clock.Sleep(ctx, ownerPause)
		return
	}
	a.apply(ctx, rep, *out)
	if out.Version > v.Version {
		a.fetch(c, addr, v.Version)
	}
}

func (a *Agent) apply(ctx context.Context, rep plat.Report, o wire.Orders) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	o.Until = rep.Clock + o.Lease
	err := a.worker.Apply(c, o.Orders)
	if errors.Is(err, plat.ErrFenced) {
		a.tally.Inc("lagoon_fenced_total")
		a.log.Debug(logs.Fenced, logs.Fields{"worker": a.proc.Worker.Name, "term": o.Term})
	}
}

// ownerAddr returns the address of the cell's owner, or of some entry that
// will name it.
func (a *Agent) ownerAddr() string {
	a.entryMu.Lock()
	owner := a.owner
	a.entryMu.Unlock()
	if owner != "" {
		return owner
	}
	// The order of a map is random, so each try asks another entry.
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	for e := range a.entries {
		a.owner = e
		return e
	}
	return ""
}

func (a *Agent) setOwner(old, addr string) {
	a.entryMu.Lock()
	defer a.entryMu.Unlock()
	if a.owner == old {
		a.owner = addr
	}
}
