package front

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/leader"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/stand/rows"
	"lagoonrack/internal/work"
)

// opStore is a store of the operator's rows whose feed can be silent or without its history.
type opStore struct {
	mu      sync.Mutex
	version uint64
	changes []plat.Row
	// silent calls of the feed end without an answer. gone is the version up to which the history is
	// gone, and scans counts the full reads.
	silent bool
	gone   uint64
	scans  int
}

const zonePrefix = "op/evacuate/"

// set writes or deletes the row of a zone.
func (s *opStore) set(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := plat.Row{Key: zonePrefix + zone, Version: s.version}
	if evacuated {
		r.Value = []byte{}
	}
	s.changes = append(s.changes, r)
}

func (s *opStore) scan(context.Context, string) ([]plat.Row, plat.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scans++
	var out []plat.Row
	for _, r := range s.changes {
		out = slices.DeleteFunc(out, func(x plat.Row) bool { return x.Key == r.Key })
		if r.Value != nil {
			out = append(out, r)
		}
	}
	return out, plat.Stamp{Version: s.version}, nil
}

func (s *opStore) feed(ctx context.Context, _ string, after uint64, wait time.Duration) ([]plat.Row, plat.Stamp, error) {
	clock.Sleep(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.silent:
		return nil, plat.Stamp{}, plat.ErrUnavailable
	case after < s.gone:
		return nil, plat.Stamp{}, plat.ErrHistoryGone
	}
	var out []plat.Row
	for _, r := range s.changes {
		if r.Version > after {
			out = append(out, r)
		}
	}
	return out, plat.Stamp{Version: s.version}, nil
}

// playZones runs what follows the zones at an entry.
func playZones(t *testing.T, play func(g *WithT, f *Front, s *opStore)) {
	synctest.Test(t, func(t *testing.T) {
		s := &opStore{}
		f, stop := startFront(&rows.Store{})
		f.Limits, f.ZonePrefix = sched.Limits{Evacuation: 5 * time.Second}, zonePrefix
		f.Rows.Scan, f.Rows.Feed = s.scan, s.feed
		f.leader = &leader.Leader{}
		f.loops.Go(func() { f.loopConfig(f.ctx) })
		f.loops.Go(func() { f.loopZones(f.ctx) })
		defer stop()
		play(NewWithT(t), f, s)
	})
}

// TestZonesByFeed guards against changes that the feed does not pass on, and against a set that
// counts as out of date while the feed answers.
func TestZonesByFeed(t *testing.T) {
	playZones(t, func(g *WithT, f *Front, s *opStore) {
		maxAge := evac.MaxAge(f.Limits.Evacuation)
		for _, evacuated := range []bool{true, false, true} {
			s.set("z", evacuated)
			time.Sleep(2100 * time.Millisecond)
			g.Expect(f.knownZones().Closed("z")).To(Equal(evacuated))
		}
		s.mu.Lock()
		before := s.scans
		s.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(f.knownZones().Recent(f.Clock.Now(), maxAge)).To(BeTrue())
		}
		g.Expect(s.scans).To(Equal(before), "no reads beside the feed")
	})
}

// TestZonesWithoutFeed guards against a set that is never brought up to date again because the
// feed is silent or has lost its history.
func TestZonesWithoutFeed(t *testing.T) {
	for name, disturb := range map[string]func(s *opStore){
		"silent":       func(s *opStore) { s.silent = true },
		"history gone": func(s *opStore) { s.gone = 1 << 40 },
	} {
		t.Run(name, func(t *testing.T) {
			playZones(t, func(g *WithT, f *Front, s *opStore) {
				time.Sleep(3 * time.Second)
				s.mu.Lock()
				disturb(s)
				s.mu.Unlock()
				for _, evacuated := range []bool{true, false, true} {
					s.set("z", evacuated)
					time.Sleep(evac.MaxAge(f.Limits.Evacuation))
					g.Expect(f.knownZones().Closed("z")).To(Equal(evacuated))
				}
			})
		})
	}
}

// TestZonesByPings guards against an owner without the store that does not learn of an
// evacuation from the others, or takes an older set for a newer one.
func TestZonesByPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := sched.Limits{Evacuation: 5 * time.Second}
		peerOf := func(l sched.Limits) *Front {
			f := newFront(&rows.Store{})
			f.Clock, f.Limits, f.leader = clock.Steady(), l, &leader.Leader{}
			return f
		}
		knows, learns, off := peerOf(limits), peerOf(limits), peerOf(sched.Limits{})
		answer := func(from, to *Front) {
			asked := to.Clock.Now()
			time.Sleep(10 * time.Millisecond)
			var pong work.Pong
			from.addZones(&pong)
			to.learnZones(&peer{addr: "10.0.0.2:1"}, asked, pong)
		}
		answer(knows, learns)
		_, known := learns.knownZones().At()
		g.Expect(known).To(BeFalse())
		knows.updateZones("store", func(z evac.Zones) evac.Zones {
			return z.WithRead(7, knows.Clock.Now(), []plat.Row{{Key: "z", Version: 7, Value: []byte{}}})
		})
		time.Sleep(time.Second)
		answer(knows, learns)
		g.Expect(learns.knownZones().Names()).To(Equal([]string{"z"}))
		at, _ := learns.knownZones().At()
		truth, _ := knows.knownZones().At()
		g.Expect(at).To(BeNumerically("<=", truth))
		g.Expect(at).To(BeNumerically("~", truth, 15*time.Millisecond))
		learns.updateZones("feed", func(z evac.Zones) evac.Zones {
			return z.WithFeed(7, 8, learns.Clock.Now(), []plat.Row{{Key: "z", Version: 8}})
		})
		answer(knows, learns)
		g.Expect(learns.knownZones().Names()).To(BeEmpty(), "version 7 is older")
		answer(knows, off)
		_, known = off.knownZones().At()
		g.Expect(known).To(BeFalse(), "without the setting")
		var pong work.Pong
		off.addZones(&pong)
		g.Expect(pong).To(Equal(work.Pong{}))
	})
}
