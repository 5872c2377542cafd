package front

import (
	"maps"
	"time"

	"lagoonrack/internal/leader"
	"lagoonrack/internal/work"
)

// Peer has the methods of an entry that other processes call by net/rpc.
type Peer struct{ front *Front }

// Ping answers a ping with what this entry knows of the owner, the other entries and
// the configuration.
func (p *Peer) Ping(in work.Ping, out *work.Pong) (err error) {
	defer p.front.guard().Recover("Ping", &err)
	f := p.front
	f.addPeer(in.Addr)
	s := f.leader.Status()
	*out = newPong(s)
	out.Version = f.newPing().Version
	out.Weight, out.Leaving = f.Weight, f.stopping.Load()
	out.Entries = f.alivePeers()
	f.addZones(out)
	if s.OwnedTerm > 0 {
		n, err := f.leader.Pending()
		out.Pending, out.Loading = n, err != nil
	}
	return nil
}

// newPong returns a pong with the ownership of the cell as this entry knows it.
func newPong(s leader.Status) work.Pong {
	return work.Pong{Owns: s.OwnedTerm, Owner: s.Owner, Term: s.Term, Age: s.SinceContact.Milliseconds(), Cut: s.StoreOutage.Milliseconds(), Lag: s.Lag.Milliseconds()}
}

// Take asks this entry, as the chosen successor, to take the cell over.
func (p *Peer) Take(_ work.Ping, _ *work.Pong) (err error) {
	defer p.front.guard().Recover("Take", &err)
	p.front.leader.TakeOver()
	return nil
}

// Config returns the configuration in force, as the operators wrote it, in compressed
// form. It is empty if there is none.
func (p *Peer) Config(_ int, out *[]byte) (err error) {
	defer p.front.guard().Recover("Config", &err)
	v := p.front.config.Load()
	if v == nil {
		return nil
	}
	compressed, err := v.compress()
	*out = compressed
	return err
}

// Admit decides, as the owner, whether a job should be accepted.
func (p *Peer) Admit(j work.Job, out *work.Admission) (err error) {
	defer p.front.guard().Recover("Admit", &err)
	a, err := p.front.leader.Admit(j)
	*out = a
	return err
}

// Submit notifies the owner of a stored job.
func (p *Peer) Submit(j work.Job, _ *work.Pong) (err error) {
	defer p.front.guard().Recover("Submit", &err)
	return p.front.leader.Submit(j)
}

// Cancel notifies the owner of a stored cancellation.
func (p *Peer) Cancel(id string, _ *work.Pong) (err error) {
	defer p.front.guard().Recover("Cancel", &err)
	return p.front.leader.Cancel(id)
}

// State returns the state of a job, which is empty if the owner does not know it. Entries of
// earlier versions call it.
func (p *Peer) State(id string, out *string) (err error) {
	defer p.front.guard().Recover("State", &err)
	j, err := p.front.leader.Find(id)
	*out = j.State
	return err
}

// Find returns what the owner knows of a job.
func (p *Peer) Find(id string, out *work.Found) (err error) {
	defer p.front.guard().Recover("Find", &err)
	*out, err = p.front.leader.Find(id)
	return err
}

// Report handles an agent's report. An entry that does not own the cell answers with
// the address of the owner.
func (p *Peer) Report(r work.Report, out *work.Reply) (err error) {
	defer p.front.guard().Recover("Report", &err)
	f := p.front
	rep, err := f.leader.Report(r)
	if err != nil {
		rep = work.Reply{}
		rep.Owner, _ = f.leader.Owner()
	}
	if err != nil || f.entriesDue(r.Agent) {
		rep.Entries = append(f.alivePeers(), f.server.Addr())
	}
	*out = rep
	return nil
}

// entriesInterval is how often an agent that reports gets the list of entries. It uses
// an entry for several times as long after it was last listed.
const entriesInterval = 4 * time.Second

// entriesDue reports whether an agent is to get the list of entries with the next reply,
// and then counts it as sent.
func (f *Front) entriesDue(agent string) bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.entriesSent[agent]; ok && now-last < entriesInterval {
		return false
	}
	if now-f.entriesPurged > forgetAfter {
		maps.DeleteFunc(f.entriesSent, func(_ string, at time.Duration) bool { return now-at > forgetAfter })
		f.entriesPurged = now
	}
	if f.entriesSent == nil {
		f.entriesSent = map[string]time.Duration{}
	}
	f.entriesSent[agent] = now
	return true
}
