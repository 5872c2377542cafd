// Package clock gives the shells the time that they pass to the cores.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since it was made by New.
type Clock struct {
	start time.Time
	boot  time.Duration
	// steady says that the time is that of package time.
	steady bool
}

// New returns a clock that starts now.
func New() Clock { return Clock{start: time.Now(), boot: boot()} }

// Steady returns a clock that follows package time, which a test can make virtual.
// It may stand still while the VM is suspended.
func Steady() Clock { return Clock{start: time.Now(), steady: true} }

// Now returns the time since the start. It goes on while the VM is suspended,
// so that a lease does not seem younger for it, and does not follow the time of
// day, which may jump.
func (c Clock) Now() time.Duration {
	if c.steady {
		return time.Since(c.start)
	}
	return boot() - c.boot
}

// boot returns the time since the machine started, or that of the steady clock
// where the system does not tell.
func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(process)
	}
	return time.Duration(ts.Nano())
}

// process is when the process started.
var process = time.Now()

// Epoch returns the wall-clock time of the start, in milliseconds since 1970.
func (c Clock) Epoch() int64 { return c.start.UnixMilli() }

// Sleep waits for a span, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
