// Package vect holds amounts of the resources that workers offer and tasks
// take. An amount has one number for each dimension, and one amount fits into
// another only if it does so in every dimension.
package vect

import "fmt"

// Size is an amount of resources. The zero value is nothing at all.
type Size struct {
	// Cores is processor time in thousandths of a core; it is never negative
	// in an accepted job or worker.
	Cores int64 `json:"cores" yaml:"cores"`
	// Memory is in MiB.
	Memory int64 `json:"memory" yaml:"memory"`
	// Accel is a number of whole accelerators.
	Accel int64 `json:"accel" yaml:"accel"`
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Cores + o.Cores, s.Memory + o.Memory, s.Accel + o.Accel}
}

// Sub returns what is left of s after o is taken away.
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

// IsZero reports whether s holds nothing.
func (s Size) IsZero() bool { return s == Size{} }

// Max returns the larger amount in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.Cores, o.Cores), max(s.Memory, o.Memory), max(s.Accel, o.Accel)}
}

// MaxShare returns the largest share of total that s takes in any dimension,
// between 0 for nothing and 1 for all of a dimension.
func (s Size) MaxShare(total Size) float64 {
	return max(share(s.Cores, total.Cores), share(s.Memory, total.Memory), share(s.Accel, total.Accel))
}

func share(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

func (s Size) String() string {
	return fmt.Sprintf("%.3g cores, %d MiB, %d accelerators", float64(s.Cores)/1000, s.Memory, s.Accel)
}
