// Package vect defines resource vectors: the amounts of CPU time, memory and
// accelerators that workers offer and tasks use. One amount fits into another only
// if it does so in every dimension.
package vect

import "fmt"

// Size is an amount of resources. The zero value means no resources.
type Size struct {
	// Cores is CPU time in thousandths of a core. It is never negative in an
	// accepted job or worker.
	Cores int64 `json:"cores" yaml:"cores"`
	// Memory is memory in MiB.
	Memory int64 `json:"memory" yaml:"memory"`
	// Accel is the number of accelerators.
	Accel int64 `json:"accel" yaml:"accel"`
}

// Add returns the sum of s and o.
func (s Size) Add(o Size) Size {
	return Size{s.Cores + o.Cores, s.Memory + o.Memory, s.Accel + o.Accel}
}

// Sub returns s minus o; the result can be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.Cores - o.Cores, s.Memory - o.Memory, s.Accel - o.Accel}
}

// Fits reports whether s is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	return s.Cores <= o.Cores && s.Memory <= o.Memory && s.Accel <= o.Accel
}

// Negative reports whether s is below zero in some dimension.
func (s Size) Negative() bool {
	return s.Cores < 0 || s.Memory < 0 || s.Accel < 0
}

// IsZero reports whether s is zero in every dimension.
func (s Size) IsZero() bool { return s == Size{} }

// Max returns the larger of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.Cores, o.Cores), max(s.Memory, o.Memory), max(s.Accel, o.Accel)}
}

// MaxShare returns the largest share of total that s uses in any dimension: 0 for
// none, 1 for all of a dimension. A dimension in which total is 0 does not count.
func (s Size) MaxShare(total Size) float64 {
	return max(share(s.Cores, total.Cores), share(s.Memory, total.Memory), share(s.Accel, total.Accel))
}

// share returns part divided by total, or 0 if total is 0.
func share(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// String returns the size with its units, for messages.
func (s Size) String() string {
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(s.Cores)/1000, s.Memory, s.Accel)
}

// Times returns how many times s fits into o, at most the given number.
func (s Size) Times(o Size, most int64) int64 {
	for _, d := range [...][2]int64{{s.Cores, o.Cores}, {s.Memory, o.Memory}, {s.Accel, o.Accel}} {
		if d[0] > 0 {
			most = min(most, max(0, d[1])/d[0])
		}
	}
	return most
}
