// Package learn estimates run times and sizes from what was observed, because
// declared ones are far off.
package learn

import "math"

// Value follows the median and an upper quantile of a positive quantity that
// drifts. Its zero value knows nothing.
//
// The estimates move by a step that is a share of the present estimate, up or
// down by the quantile's odds (stochastic approximation on the logarithm), so
// the cost of an observation and the memory are constant.
type Value struct {
	// Count is the number of observations.
	Count int `cbor:"1,keyasint"`
	// Median and High are the estimates; 0 before the first observation.
	Median float64 `cbor:"2,keyasint"`
	High   float64 `cbor:"3,keyasint"`
}

const (
	// highQuantile is the quantile that High follows.
	highQuantile = 0.9
	// firstStep and lastStep bound the relative step; it falls with the number
	// of observations and then stays, so that old observations decay.
	firstStep = 0.5
	lastStep  = 0.05
	// enough is the number of observations from which estimates are used.
	enough = 5
	// wide is how much the first observation's upper estimate is above it.
	wide = 2
)

// Known reports whether there are enough observations to go by.
func (v Value) Known() bool { return v.Count >= enough }

// With returns the estimates after one more observation.
func (v Value) With(x float64) Value {
	if x <= 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return v
	}
	v.Count++
	if v.Count == 1 {
		v.Median, v.High = x, wide*x
		return v
	}
	step := max(lastStep, firstStep/math.Sqrt(float64(v.Count)))
	v.Median = move(v.Median, x, 0.5, step)
	v.High = max(v.Median, move(v.High, x, highQuantile, step))
	return v
}

func move(estimate, x, quantile, step float64) float64 {
	if x > estimate {
		return estimate * math.Exp(2*step*quantile)
	}
	return estimate * math.Exp(-2*step*(1-quantile))
}
