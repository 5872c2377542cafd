package front

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/evac"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const (
	// feedLongPoll is how long a call of the feed waits for a change. A dead
	// connection is noticed at the end of the call, so that a new configuration is
	// still read within the two seconds that operators allow.
	feedLongPoll = time.Second
	// readTimeout bounds a read of the store. It usually takes 4 ms, and sixty times
	// that while the store is slow.
	readTimeout = 900 * time.Millisecond
	// configTimeout bounds the transfer of a configuration. With 1,600 routes it has
	// half a megabyte, which takes half a second on a link of 10 Mbit/s.
	configTimeout = 2500 * time.Millisecond
	// retryDelay is the wait before a failed call of the store is retried.
	retryDelay = 100 * time.Millisecond
)

// loopConfig keeps the operators' configuration up to date. It reads the whole
// configuration and then follows the feed of changes. Whenever the feed fails it
// starts over with a read.
func (f *Front) loopConfig(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := f.readConfig(ctx)
		if err != nil {
			f.storeFailed("read configuration", err)
			clock.Sleep(ctx, retryDelay)
			continue
		}
		f.followConfig(ctx, from)
	}
}

// storeFailed counts and logs a failed call of the store.
func (f *Front) storeFailed(step string, err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.Tally.Inc("lagoon_store_errors_total", "step", step)
	f.Log.Error(logs.StoreOperationFailed, fault.At(step, "store").Wrap(err), nil)
}

// readConfig reads the configuration, and the evacuated zones if they are followed, and
// returns the store's version from which the feed has to be followed.
func (f *Front) readConfig(ctx context.Context) (uint64, error) {
	if !f.followsZones() {
		return f.readConfigRow(ctx)
	}
	// First, since they are few bytes and starts wait for them. If that fails, loopZones reads
	// them again; the configuration does not wait for it.
	c, cancel := f.withTimeout(ctx, readTimeout)
	defer cancel()
	zones, failed := f.readZones(c)
	if failed != nil {
		f.storeFailed("read evacuated zones", failed)
	}
	from, err := f.readConfigRow(ctx)
	if err == nil && failed == nil {
		from = min(from, zones)
	}
	return from, err
}

// readConfigRow reads the configuration and returns the store's version as of which it
// holds.
func (f *Front) readConfigRow(ctx context.Context) (uint64, error) {
	c, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	row, s, err := f.Rows.Read(c, f.Key)
	if err != nil {
		return 0, err
	}
	f.recordStoreClock(s)
	f.applyConfig(row.Value, "store")
	return s.Version, nil
}

// followConfig follows the feed of changes until a call fails or the store no longer
// has the history.
func (f *Front) followConfig(ctx context.Context, from uint64) {
	for ctx.Err() == nil {
		began := f.Clock.Now()
		rows, s, err := f.Rows.Feed(ctx, f.Table, from, feedLongPoll)
		if err != nil {
			if !errors.Is(err, plat.ErrHistoryGone) {
				f.storeFailed("follow configuration", err)
				clock.Sleep(ctx, retryDelay)
			}
			return
		}
		f.recordStoreClock(s)
		for _, r := range rows {
			if r.Key == f.Key {
				f.applyConfig(r.Value, "feed")
			}
		}
		if f.followsZones() {
			f.updateZones("feed", func(z evac.Zones) evac.Zones { return z.WithFeed(from, s.Version, began, f.zoneRows(rows)) })
		}
		from = max(from, s.Version)
	}
}

// applyConfig puts a configuration in force if it is valid and newer than the current
// one.
func (f *Front) applyConfig(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	cfg, err := f.Parse(raw)
	if err != nil {
		f.Tally.Inc("lagoon_settings_refused_total")
		f.Log.Error(logs.SettingsRejected, err, logs.Fields{"source": source})
		return
	}
	f.applyLock.Lock()
	defer f.applyLock.Unlock()
	current := f.config.Load()
	if current != nil && cfg.Version <= current.Version {
		return
	}
	f.config.Store(&loadedConfig{Config: cfg, raw: raw})
	f.appliedAt.Store(max(1, int64(f.Clock.Now())))
	f.leader.Configure(cfg)
	f.Log.Info(logs.Applied, logs.Fields{"version": cfg.Version, "source": source, "queues": len(cfg.Queues)})
}

// fetchConfig gets the configuration from another entry. It is sent compressed, so on
// a slow link it arrives much sooner than from the store. Only one fetch runs at a
// time, so that several don't share the link.
func (f *Front) fetchConfig(ctx context.Context, addr string) {
	if f.fetching.Swap(true) {
		return
	}
	defer f.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var compressed []byte
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Config", 0, &compressed); err != nil {
		f.Tally.Inc("lagoon_settings_fetch_errors_total")
		f.Log.Info(logs.PeerLost, logs.Fields{"entry": addr, "step": "fetch configuration", "error": err.Error()})
		return
	}
	raw, err := decompress(compressed)
	if err != nil {
		f.Log.Error(logs.SettingsRejected, err, logs.Fields{"source": addr})
		return
	}
	f.applyConfig(raw, addr)
}

// compress compresses a configuration. Its routes are similar to one another, so the
// fastest level is enough.
func compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
}
