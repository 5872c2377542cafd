// Package unit reads and writes quantities with units in settings: durations and
// numbers of bytes.
package unit

import (
	"fmt"
	"time"

	"github.com/docker/go-units"
	"go.yaml.in/yaml/v3"
)

// Duration is a duration that is written with a unit in YAML, such as "250ms" or
// "8.3s". A number without a unit is an error.
type Duration time.Duration

// UnmarshalYAML reads a duration.
func (s *Duration) UnmarshalYAML(n *yaml.Node) error {
	d, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		return fmt.Errorf("%q is not a span of time such as 250ms or 2s", n.Value)
	}
	*s = Duration(d)
	return nil
}

// MarshalYAML writes a duration.
func (s Duration) MarshalYAML() (any, error) { return s.String(), nil }

// String returns the duration in the form of time.Duration.
func (s Duration) String() string { return time.Duration(s).String() }

// Std returns the duration as a time.Duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// Bytes is a number of bytes that is written with a unit in YAML, such as "1MiB". A
// number without a unit is an error.
type Bytes int64

// UnmarshalYAML reads a number of bytes.
func (b *Bytes) UnmarshalYAML(n *yaml.Node) error {
	v, err := units.RAMInBytes(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || n.Tag != "!!str" {
		return fmt.Errorf("%q is not a number of bytes such as 64KiB or 4GiB", n.Value)
	}
	*b = Bytes(v)
	return nil
}

// MarshalYAML writes a number of bytes.
func (b Bytes) MarshalYAML() (any, error) { return b.String(), nil }

// String returns the number in the largest binary unit that gives a whole number.
func (b Bytes) String() string {
	for _, u := range []struct {
		size Bytes
		name string
	}{{units.GiB, "GiB"}, {units.MiB, "MiB"}, {units.KiB, "KiB"}} {
		if b >= u.size && b%u.size == 0 {
			return fmt.Sprintf("%d%s", b/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}
