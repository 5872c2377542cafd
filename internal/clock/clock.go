// Package clock measures the time that processes pass to their scheduling and
// routing cores, which read no clock themselves.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since it was made by New.
type Clock struct {
	start       time.Time
	bootAtStart time.Duration
	// packageTime says that the time comes from package time, not from the
	// system's boot time.
	packageTime bool
}

// New returns a clock that starts now.
func New() Clock { return Clock{start: time.Now(), bootAtStart: sinceBoot()} }

// Steady returns a clock that follows package time, which a test can make virtual.
// It may stop while the VM is suspended.
func Steady() Clock { return Clock{start: time.Now(), packageTime: true} }

// Now returns the time since the clock was made. It does not follow the wall clock,
// which may jump. Unless the clock was made by Steady, the time during which the VM
// was suspended is included, so that a lease expires on time even then.
func (c Clock) Now() time.Duration {
	if c.packageTime {
		return time.Since(c.start)
	}
	return sinceBoot() - c.bootAtStart
}

// sinceBoot returns the time since the machine started, or since the process
// started if the system can't report it.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the time at which the process started.
var processStart = time.Now()

// StartUnixMilli returns the wall-clock time at which the clock was made, in milliseconds
// since 1970.
func (c Clock) StartUnixMilli() int64 { return c.start.UnixMilli() }

// Sleep waits for the duration d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
