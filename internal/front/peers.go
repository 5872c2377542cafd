package front

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/elect"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
	"lagoonrack/internal/work"
)

// peer is what this entry knows of another entry.
type peer struct {
	work.Pong
	addr string
	// lastAnswer is when the peer last answered a ping, lastPing when it was last
	// pinged, and addedAt when its address became known. pinging says that a ping is
	// in progress.
	lastAnswer, lastPing, addedAt time.Duration
	pinging                       bool
}

// member is the row with which an entry makes itself known to the others.
type member struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
}

const (
	// liveTable is the table of the entries' rows.
	liveTable = "live"
	// rosterInterval is how often the rows of the entries are read. Entries also
	// learn each other's addresses from pings.
	rosterInterval = 5 * time.Second
	// pingInterval is how often the owner is pinged, to notice its loss, and
	// slowPingInterval how often entries are pinged that do not answer.
	pingInterval     = 300 * time.Millisecond
	slowPingInterval = 1500 * time.Millisecond
	// minTimeout is the time without an answer after which an entry no longer
	// counts as alive, if there are few entries. See aliveTimeout.
	minTimeout = 1200 * time.Millisecond
	// fullRateMax is the number of entries up to which each is pinged every
	// pingInterval. With more, each is pinged less often.
	fullRateMax = 6
	// forgetAfter is the time without an answer after which an entry is removed.
	forgetAfter = 30 * time.Second
)

// peerInterval returns how often an entry that is not the owner is pinged, if there
// are n other entries.
func peerInterval(n int) time.Duration { return pingInterval * time.Duration(max(1, n/fullRateMax)) }

// aliveTimeout returns the time without an answer after which one of n entries no
// longer counts as alive: long enough for two lost pings.
func aliveTimeout(n int) time.Duration { return max(minTimeout, 2*peerInterval(n)+peerTimeout) }

// loopRoster writes this entry's row and then reads those of the others at intervals.
func (f *Front) loopRoster(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.writeMember(ctx); err == nil {
			break
		}
		clock.Sleep(ctx, retryDelay)
	}
	for ctx.Err() == nil {
		if err := f.readRoster(ctx); err != nil {
			f.storeFailed("read entries", err)
			clock.Sleep(ctx, 5*retryDelay)
			continue
		}
		clock.Sleep(ctx, rosterInterval)
	}
}

// writeMember writes this entry's row.
func (f *Front) writeMember(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := work.Encode(member{Name: f.Name, Addr: f.server.Addr(), Zone: f.Zone})
	if err != nil {
		return err
	}
	_, err = f.Rows.Commit(ctx, plat.Txn{Writes: []plat.Write{{Key: liveTable + "/" + f.Name, Value: data}}})
	if err != nil {
		f.storeFailed("write entry", err)
	}
	return err
}

// readRoster reads the rows of all entries and adds them as peers.
func (f *Front) readRoster(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, s, err := f.Rows.List(ctx, liveTable)
	if err != nil {
		return err
	}
	f.recordStoreClock(s)
	for _, r := range rows {
		var m member
		err := work.Decode(r.Value, &m)
		if err == nil {
			err = rpcs.CheckAddr(m.Addr)
		}
		if err != nil {
			f.skipRow(r, err)
			continue
		}
		f.addPeer(m.Addr)
	}
	return nil
}

// skipRow counts a row of an entry that can't be used, and logs it the first time.
func (f *Front) skipRow(r plat.Row, err error) {
	if f.skipped.Add(r) {
		f.Tally.Inc("lagoon_rows_skipped_total", "step", "entries")
		f.Log.Error(logs.EntrySkipped, fault.At("decode entry", r.Key).Wrap(err), nil)
	}
}

// addPeer adds an entry to the peers, unless it is this one or already known.
func (f *Front) addPeer(addr string) {
	if addr == f.server.Addr() || rpcs.CheckAddr(addr) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[addr] == nil {
		f.peers[addr] = &peer{addr: addr, lastPing: -pingInterval, lastAnswer: -forgetAfter, addedAt: f.Clock.Now()}
	}
}

// loopPings pings the other entries, each at its own interval.
func (f *Front) loopPings(ctx context.Context) {
	t := time.NewTicker(pingInterval / 3)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range f.peersToPing() {
			go f.ping(ctx, p)
		}
	}
}

// peersToPing returns the entries that are due for a ping and marks them as being
// pinged. The owner is pinged most often; with many entries the others are pinged less
// often.
func (f *Front) peersToPing() []*peer {
	owner, _ := f.leader.Owner()
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*peer
	for _, p := range f.peers {
		interval := peerInterval(len(f.peers))
		if p.addr == owner {
			interval = pingInterval
		} else if now-p.lastAnswer > aliveTimeout(len(f.peers)) {
			interval = slowPingInterval
		}
		if !p.pinging && now-p.lastPing >= interval {
			p.pinging, p.lastPing = true, now
			out = append(out, p)
		}
	}
	return out
}

// ping pings a peer and handles the answer.
func (f *Front) ping(ctx context.Context, p *peer) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var pong work.Pong
	asked := f.Clock.Now()
	err := f.pool.Get(p.addr).Call(c, work.EntryService+".Ping", f.newPing(), &pong)
	f.mu.Lock()
	p.pinging = false
	f.mu.Unlock()
	if err != nil {
		f.Tally.Inc("lagoon_pings_lost_total")
		return
	}
	f.handlePong(p, asked, pong)
}

// newPing returns the ping that this entry sends, with its address and the version of
// its configuration.
func (f *Front) newPing() work.Ping {
	p := work.Ping{Addr: f.server.Addr()}
	if c := f.config.Load(); c != nil {
		p.Version = c.Version
	}
	return p
}

// handlePong records a peer's answer to a ping that was sent at asked, and passes what it
// says of the cell's owner to the leader. It fetches the peer's configuration if that is
// newer.
func (f *Front) handlePong(p *peer, asked time.Duration, pong work.Pong) {
	now := f.Clock.Now()
	owner, _ := f.leader.Owner()
	f.mu.Lock()
	if p.lastAnswer < 0 || now-p.lastAnswer > aliveTimeout(len(f.peers)) {
		f.Log.Info(logs.PeerFound, logs.Fields{"entry": p.addr, "term": pong.Term})
	}
	p.Pong, p.lastAnswer = pong, now
	f.recordPending(pong)
	f.mu.Unlock()
	if p.addr == owner {
		f.leader.OwnerAnswered(elect.Answer{Asked: asked, Owns: pong.Owns > 0, WithoutStore: time.Duration(pong.Cut) * time.Millisecond})
	} else {
		f.leader.OwnerSeenByOther(time.Duration(pong.Age) * time.Millisecond)
	}
	f.learnZones(p, asked, pong)
	f.leader.LearnOwner(pong.Term, pong.Owner)
	if pong.Version > f.newPing().Version {
		go f.fetchConfig(f.ctx, p.addr)
	}
	for _, e := range pong.Entries {
		f.addPeer(e)
	}
}

// recordPending records what an owner says of its jobs and its lag. It must be called
// with the mutex held.
func (f *Front) recordPending(pong work.Pong) {
	if pong.Owns == 0 || pong.Loading {
		return
	}
	f.pendingAt, f.ownerBehind = f.Clock.Now(), time.Duration(pong.Lag)*time.Millisecond
	f.pendingJobs = pong.Pending
	if f.pendingJobs == nil {
		// An empty map is not sent.
		f.pendingJobs = map[string]int{}
	}
}

const (
	// warmupTime is how long after its start an entry may not know the others yet.
	warmupTime = 1500 * time.Millisecond
	// fullWeight is the weight from which a machine claims the cell without extra
	// delay during the warm-up: about 0.4 of a core on a link of 100 Mbit/s.
	// maxExtraRanks is by how many ranks the weakest machine delays its claim.
	fullWeight    = 400
	maxExtraRanks = 3
)

// rank returns the number of live entries that are better suited to own the cell. A
// claim is delayed by it.
func (f *Front) rank() int {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	if now < warmupTime {
		// Better suited entries may not be known yet, so a weak machine gives them
		// time to claim first.
		n = int(maxExtraRanks * max(0, 1-float64(f.Weight)/fullWeight))
	}
	for _, p := range f.peers {
		if now-p.lastAnswer > aliveTimeout(len(f.peers)) || p.Leaving {
			continue
		}
		if p.Weight > f.Weight || p.Weight == f.Weight && p.addr < f.server.Addr() {
			n++
		}
	}
	return n
}

// alivePeers returns the addresses of the other entries that answer and are not in a
// planned stop, those best suited to own the cell first. It removes peers that have
// not answered for forgetAfter.
func (f *Front) alivePeers() []string {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*peer
	for addr, p := range f.peers {
		switch {
		case now-max(p.lastAnswer, p.addedAt) > forgetAfter:
			delete(f.peers, addr)
		case now-p.lastAnswer <= aliveTimeout(len(f.peers)) && !p.Leaving:
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.addr, b.addr))
	})
	var out []string
	for _, p := range all {
		out = append(out, p.addr)
	}
	return out
}
