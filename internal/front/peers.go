package front

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// peer is what is known of another entry.
type peer struct {
	work.Pong
	addr string
	// heard is when it last answered, tried when it was last pinged, and found
	// when its row was first read.
	heard, tried, found time.Duration
	busy                bool
}

// member is an entry's row.
type member struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
}

const (
	liveTable = "live"
	// rosterEvery is the pace at which the rows of entries are read. Entries
	// also learn of one another by pings.
	rosterEvery = 5 * time.Second
	// pingEvery is the pace of pings to the owner, by which its loss is noticed,
	// and slowEvery that to entries that give no answer.
	pingEvery = 300 * time.Millisecond
	slowEvery = 1500 * time.Millisecond
	// aliveFor is the silence after which an entry is no candidate, where there
	// are few.
	aliveFor = 1200 * time.Millisecond
	// abreast is the number of entries up to which all are pinged every
	// pingEvery; of more, each is pinged the less often.
	abreast = 6
	// deadAfter is the silence after which an entry is forgotten.
	deadAfter = 30 * time.Second
)

// gap is the pace of pings to an entry that is not the owner, if there are n.
func gap(n int) time.Duration { return pingEvery * time.Duration(max(1, n/abreast)) }

// fresh is the silence after which one of n entries is no candidate: two pings
// without an answer.
func fresh(n int) time.Duration { return max(aliveFor, 2*gap(n)+peerTimeout) }

// loopRoster writes this entry's row and reads those of the others.
func (f *Front) loopRoster(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.enter(ctx); err == nil {
			break
		}
		clock.Sleep(ctx, retryPause)
	}
	for ctx.Err() == nil {
		if err := f.readRoster(ctx); err != nil {
			f.storeFailed("read entries", err)
			clock.Sleep(ctx, 5*retryPause)
			continue
		}
		clock.Sleep(ctx, rosterEvery)
	}
}

func (f *Front) enter(ctx context.Context) error {
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

func (f *Front) readRoster(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, s, err := f.Rows.List(ctx, liveTable)
	if err != nil {
		return err
	}
	f.stamped(s)
	for _, r := range rows {
		var m member
		if err := work.Decode(r.Value, &m); err != nil {
			f.storeFailed("decode entry", err)
			continue
		}
		f.met(m.Addr)
	}
	return nil
}

// met adds an entry.
func (f *Front) met(addr string) {
	if addr == "" || addr == f.server.Addr() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[addr] == nil {
		f.peers[addr] = &peer{addr: addr, tried: -pingEvery, heard: -deadAfter, found: f.Clock.Now()}
	}
}

// loopPings pings the other entries.
func (f *Front) loopPings(ctx context.Context) {
	t := time.NewTicker(pingEvery / 3)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range f.due() {
			go f.ping(ctx, p)
		}
	}
}

// due returns the entries to ping now. The owner is pinged most often; with
// many entries the others are pinged less.
func (f *Front) due() []*peer {
	owner, _ := f.leader.Owner()
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*peer
	for _, p := range f.peers {
		every := gap(len(f.peers))
		if p.addr == owner {
			every = pingEvery
		} else if now-p.heard > fresh(len(f.peers)) {
			every = slowEvery
		}
		if !p.busy && now-p.tried >= every {
			p.busy, p.tried = true, now
			out = append(out, p)
		}
	}
	return out
}

func (f *Front) ping(ctx context.Context, p *peer) {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var pong work.Pong
	err := f.pool.Get(p.addr).Call(c, work.EntryService+".Ping", f.describe(), &pong)
	f.mu.Lock()
	p.busy = false
	f.mu.Unlock()
	if err != nil {
		f.Tally.Inc("lagoon_pings_lost_total")
		return
	}
	f.ponged(p, pong)
}

// describe is what this entry says of itself.
func (f *Front) describe() work.Ping {
	p := work.Ping{Addr: f.server.Addr()}
	if c := f.config.Load(); c != nil {
		p.Version = c.Version
	}
	return p
}

func (f *Front) ponged(p *peer, pong work.Pong) {
	now := f.Clock.Now()
	owner, _ := f.leader.Owner()
	f.mu.Lock()
	if p.heard < 0 || now-p.heard > fresh(len(f.peers)) {
		f.Log.Info(logs.PeerFound, logs.Fields{"entry": p.addr, "term": pong.Term})
	}
	p.Pong, p.heard = pong, now
	if pong.Owns > 0 {
		f.pending = pong.Pending
	}
	f.mu.Unlock()
	if p.addr == owner {
		f.leader.OwnerAnswered(pong.Owns > 0, time.Duration(pong.Cut)*time.Millisecond)
	} else {
		f.leader.OwnerSeenByOther(time.Duration(pong.Age) * time.Millisecond)
	}
	f.leader.LearnOwner(pong.Term, pong.Owner)
	if pong.Version > f.describe().Version {
		go f.fetch(f.ctx, p.addr)
	}
	for _, e := range pong.Entries {
		f.met(e)
	}
}

const (
	// strangerFor is how long after its start an entry hardly knows the others.
	strangerFor = 1500 * time.Millisecond
	// strongWeight is the weight of a machine that claims at once, about that of
	// 0.4 of a core on a link of 100 Mbit/s, and weakRanks how many ranks the
	// weakest waits.
	strongWeight = 400
	weakRanks    = 3
)

// rank counts the entries that are alive and better suited to own the cell.
func (f *Front) rank() int {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	if now < strangerFor {
		// Others are hardly known yet; a weak machine leaves them time to claim.
		n = int(weakRanks * max(0, 1-float64(f.Weight)/strongWeight))
	}
	for _, p := range f.peers {
		if now-p.heard > fresh(len(f.peers)) || p.Leaving {
			continue
		}
		if p.Weight > f.Weight || p.Weight == f.Weight && p.addr < f.server.Addr() {
			n++
		}
	}
	return n
}

// alive lists the entries that answer, the best suited owner first.
func (f *Front) alive() []string {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*peer
	for addr, p := range f.peers {
		switch {
		case now-max(p.heard, p.found) > deadAfter:
			delete(f.peers, addr)
		case now-p.heard <= fresh(len(f.peers)) && !p.Leaving:
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

// Peer is what other processes call at an entry.
type Peer struct{ front *Front }

// Ping tells what this entry knows.
func (p *Peer) Ping(in work.Ping, out *work.Pong) error {
	f := p.front
	f.met(in.Addr)
	s := f.leader.Status()
	*out = pong(s)
	out.Version = f.describe().Version
	out.Weight, out.Leaving = f.Weight, f.leaving.Load()
	out.Entries = f.alive()
	if s.OwnedTerm > 0 {
		if n, err := f.leader.Pending(); err == nil {
			out.Pending = n
		}
	}
	return nil
}

func pong(s leader.Status) work.Pong {
	return work.Pong{Owns: s.OwnedTerm, Owner: s.Owner, Term: s.Term, Age: s.SinceContact.Milliseconds(), Cut: s.StoreOutage.Milliseconds()}
}

// Take asks this entry to take the cell over.
func (p *Peer) Take(_ work.Ping, _ *work.Pong) error {
	p.front.leader.TakeOver()
	return nil
}

// Config returns the configuration in force as the operators wrote it.
func (p *Peer) Config(_ int, out *[]byte) error {
	v := p.front.config.Load()
	if v == nil {
		return nil
	}
	packed, err := v.pack()
	*out = packed
	return err
}

// Admit asks the owner whether a job should be accepted.
func (p *Peer) Admit(j work.Job, out *work.Admission) error {
	a, err := p.front.leader.Admit(j)
	*out = a
	return err
}

// Submit tells the owner of a stored job.
func (p *Peer) Submit(j work.Job, _ *work.Pong) error { return p.front.leader.Submit(j) }

// Cancel tells the owner of a stored withdrawal.
func (p *Peer) Cancel(id string, _ *work.Pong) error { return p.front.leader.Cancel(id) }

// State tells the state of a job, empty if the owner does not know it.
func (p *Peer) State(id string, out *string) error {
	s, err := p.front.leader.State(id)
	*out = s
	return err
}

// Report takes an agent's report. A process that is not the owner names it.
func (p *Peer) Report(r work.Report, out *work.Reply) error {
	f := p.front
	rep, err := f.leader.Report(r)
	if err != nil {
		rep = work.Reply{}
		rep.Owner, _ = f.leader.Owner()
	}
	rep.Entries = append(f.alive(), f.server.Addr())
	*out = rep
	return nil
}
