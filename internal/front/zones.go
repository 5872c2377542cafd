package front

import (
	"context"
	"strings"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// This file follows the rows of evacuated zones, which are in the same table as the operators'
// configuration. An entry without Limits.Evacuation reads none of them.

const (
	// zonesCheckInterval is how often an entry checks whether what it knows of the zones is
	// confirmed often enough, and the wait before a failed read is made again.
	zonesCheckInterval = 200 * time.Millisecond
	// zonesReadAhead is how long before its knowledge becomes too old for starts an entry reads
	// the rows anew: time for two reads of a store that answers a hundred times more slowly than
	// usual. The feed confirms the knowledge each second, so none is needed while that answers.
	zonesReadAhead = 1200 * time.Millisecond
)

// followsZones reports whether the entry follows the rows of evacuated zones.
func (f *Front) followsZones() bool { return f.Limits.Evacuation > 0 }

// Evacuated returns the evacuated zones as far as this entry knows, and false if it does not
// follow them.
func (f *Front) Evacuated() (evac.Zones, bool) { return f.knownZones(), f.followsZones() }

// Owner returns the address of the cell's owner as far as this entry knows, or "".
func (f *Front) Owner() string {
	owner, _ := f.leader.Owner()
	return owner
}

// knownZones returns the evacuated zones as far as this entry knows.
func (f *Front) knownZones() evac.Zones {
	if z := f.zones.Load(); z != nil {
		return *z
	}
	return evac.Zones{}
}

// updateZones replaces what this entry knows of the zones by the result of change, logs the
// difference and passes it to the scheduler.
func (f *Front) updateZones(source string, change func(evac.Zones) evac.Zones) {
	f.zonesLock.Lock()
	defer f.zonesLock.Unlock()
	before := f.knownZones()
	z := change(before)
	f.zones.Store(&z)
	if z.Same(before) {
		return
	}
	for _, name := range z.Added(before) {
		f.Log.Info(logs.ZoneEvacuated, logs.Fields{"zone": name, "version": z.Version(), "source": source})
	}
	for _, name := range before.Added(z) {
		f.Log.Info(logs.ZoneRestored, logs.Fields{"zone": name, "version": z.Version(), "source": source})
	}
	f.leader.ZonesChanged()
}

// readZones reads the rows of all evacuated zones and returns the store's version as of which
// they hold.
func (f *Front) readZones(ctx context.Context) (uint64, error) {
	began := f.Clock.Now()
	rows, s, err := f.Rows.Scan(ctx, f.ZonePrefix)
	if err != nil {
		return 0, err
	}
	f.recordStoreClock(s)
	f.updateZones("store", func(z evac.Zones) evac.Zones { return z.WithRead(s.Version, began, f.zoneRows(rows)) })
	return s.Version, nil
}

// zoneRows returns those of the rows that evacuate a zone, with the zones' names as their keys.
func (f *Front) zoneRows(rows []plat.Row) []plat.Row {
	var out []plat.Row
	for _, r := range rows {
		if zone, ok := strings.CutPrefix(r.Key, f.ZonePrefix); ok && zone != "" {
			r.Key = zone
			out = append(out, r)
		}
	}
	return out
}

// loopZones reads the rows of evacuated zones whenever nothing else confirms what this entry
// knows of them: while its feed is silent or fails, and no other entry answers.
func (f *Front) loopZones(ctx context.Context) {
	maxAge := max(0, evac.MaxAge(f.Limits.Evacuation)-zonesReadAhead)
	for ctx.Err() == nil {
		clock.Sleep(ctx, zonesCheckInterval)
		if f.knownZones().Recent(f.Clock.Now(), maxAge) {
			continue
		}
		c, cancel := f.withTimeout(ctx, readTimeout)
		if _, err := f.readZones(c); err != nil {
			f.storeFailed("read evacuated zones", err)
		}
		cancel()
	}
}

// addZones adds what this entry knows of the zones to the answer to a ping.
func (f *Front) addZones(out *work.Pong) {
	z := f.knownZones()
	at, known := z.At()
	if !f.followsZones() || !known {
		return
	}
	out.Evacuated, out.ZonesVersion = z.Names(), z.Version()
	// Rounded up, so that the peer never takes the set for newer than it is.
	out.ZonesAge = (f.Clock.Now() - at).Milliseconds() + 1
}

// learnZones takes over what a peer knows of the zones. It answered a ping that was sent at
// asked.
func (f *Front) learnZones(p *peer, asked time.Duration, pong work.Pong) {
	if !f.followsZones() || pong.ZonesAge <= 0 {
		return
	}
	at := asked - time.Duration(pong.ZonesAge)*time.Millisecond
	f.updateZones(p.addr, func(z evac.Zones) evac.Zones { return z.WithPeer(pong.ZonesVersion, at, pong.Evacuated) })
}

// zonesCount returns the number of evacuated zones.
func (f *Front) zonesCount() float64 { return float64(len(f.knownZones().Names())) }
