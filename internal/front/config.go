package front

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const (
	// feedWait is how long a feed waits for a change. A connection that has gone
	// silent is noticed at its end, within the two seconds that the users give.
	feedWait = time.Second
	// readTimeout bounds a read of the store, which takes 4 ms as a rule and
	// sixty times that on a slow day.
	readTimeout = 900 * time.Millisecond
	// configTimeout bounds the reading of a configuration. One of 1,600 routes has
	// half a megabyte, which a link of 10 Mbit/s carries in half a second.
	configTimeout = 2500 * time.Millisecond
	// retryPause is the wait after a failed call of the store.
	retryPause = 100 * time.Millisecond
)

// loopConfig follows the operators' configuration. It starts from a full read
// and starts again from one whenever the feed can't go on.
func (f *Front) loopConfig(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := f.readConfig(ctx)
		if err != nil {
			f.storeFailed("read configuration", err)
			clock.Sleep(ctx, retryPause)
			continue
		}
		f.followConfig(ctx, from)
	}
}

func (f *Front) storeFailed(step string, err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.Tally.Inc("lagoon_store_errors_total", "step", step)
	f.Log.Error(logs.StoreDown, fault.At(step, "store").Wrap(err), nil)
}

// readConfig reads the row and returns the version to follow it from.
func (f *Front) readConfig(ctx context.Context) (uint64, error) {
	c, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	row, s, err := f.Rows.Read(c, f.Key)
	if err != nil {
		return 0, err
	}
	f.stamped(s)
	f.take(row.Value, "store")
	return s.Version, nil
}

// followConfig follows the feed until it can't go on.
func (f *Front) followConfig(ctx context.Context, from uint64) {
	for ctx.Err() == nil {
		rows, s, err := f.Rows.Feed(ctx, f.Table, from, feedWait)
		if err != nil {
			if !errors.Is(err, plat.ErrHistoryGone) {
				f.storeFailed("follow configuration", err)
				clock.Sleep(ctx, retryPause)
			}
			return
		}
		f.stamped(s)
		for _, r := range rows {
			if r.Key == f.Key {
				f.take(r.Value, "feed")
			}
		}
		from = max(from, s.Version)
	}
}

// take brings a configuration into force if it is newer than the present one.
func (f *Front) take(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	cfg, err := f.Parse(raw)
	if err != nil {
		f.Tally.Inc("lagoon_settings_refused_total")
		f.Log.Error(logs.Refused, err, logs.Fields{"source": source})
		return
	}
	f.apply.Lock()
	defer f.apply.Unlock()
	now := f.config.Load()
	if now != nil && cfg.Version <= now.Version {
		return
	}
	f.config.Store(&version{Config: cfg, raw: raw})
	f.applied.Store(max(1, int64(f.Clock.Now())))
	f.leader.Configure(cfg)
	f.Log.Info(logs.Applied, logs.Fields{"version": cfg.Version, "source": source, "queues": len(cfg.Queues)})
}

// fetch takes the configuration of another entry, which sends it compressed: a
// thin link carries that much sooner than the store's answer. One fetch is under
// way at a time, so that several don't share the link.
func (f *Front) fetch(ctx context.Context, addr string) {
	if f.fetching.Swap(true) {
		return
	}
	defer f.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var packed []byte
	if err := f.pool.Get(addr).Call(ctx, work.EntryService+".Config", 0, &packed); err != nil {
		f.Tally.Inc("lagoon_settings_fetch_errors_total")
		f.Log.Info(logs.PeerLost, logs.Fields{"entry": addr, "step": "fetch configuration", "error": err.Error()})
		return
	}
	raw, err := unpack(packed)
	if err != nil {
		f.Log.Error(logs.Refused, err, logs.Fields{"source": addr})
		return
	}
	f.take(raw, addr)
}

// pack compresses a configuration, whose routes are much alike.
func pack(raw []byte) ([]byte, error) {
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

func unpack(packed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
}
