// Package learn estimates run times and resource sizes of tasks from observed
// ones, because the declared ones are very inaccurate.
package learn

import "math"

// Estimate estimates the median and an upper quantile of a positive quantity whose
// distribution changes slowly. The zero value has no observations.
//
// Each observation moves an estimate up or down by a factor. The steps up and down
// are weighted such that they balance at the quantile (stochastic approximation on
// the logarithm). The cost of an observation and the memory are constant.
type Estimate struct {
	// Count is the number of observations.
	Count int `cbor:"1,keyasint"`
	// Median and High are the estimates of the median and of the quantile
	// highQuantile; 0 before the first observation.
	Median float64 `cbor:"2,keyasint"`
	High   float64 `cbor:"3,keyasint"`
}

const (
	// highQuantile is the quantile that High estimates.
	highQuantile = 0.9
	// initialStep is the size of the relative step, which falls with the square
	// root of the number of observations but not below minStep, so that old
	// observations lose their influence.
	initialStep = 0.5
	minStep     = 0.05
	// minObservations is the number of observations from which estimates are used.
	minObservations = 5
	// initialHighRatio is the ratio of High to Median after the first observation.
	initialHighRatio = 2
)

// Known reports whether there are enough observations to use the estimates.
func (v Estimate) Known() bool { return v.Count >= minObservations }

// With returns the estimates after one more observation x. Values that are not
// positive and finite are ignored.
func (v Estimate) With(x float64) Estimate {
	if x <= 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return v
	}
	v.Count++
	if v.Count == 1 {
		v.Median, v.High = x, initialHighRatio*x
		return v
	}
	step := max(minStep, initialStep/math.Sqrt(float64(v.Count)))
	v.Median = move(v.Median, x, 0.5, step)
	v.High = max(v.Median, move(v.High, x, highQuantile, step))
	return v
}

// move returns the estimate of a quantile after an observation x.
func move(estimate, x, quantile, step float64) float64 {
	if x > estimate {
		return estimate * math.Exp(2*step*quantile)
	}
	return estimate * math.Exp(-2*step*(1-quantile))
}
