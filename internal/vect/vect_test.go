package vect

import "testing"

// TestTimesIsBoundByTheScarcestDimension guards against counts that ignore a dimension, and against
// a division by a size of zero.
func TestTimesIsBoundByTheScarcestDimension(t *testing.T) {
	free := Size{Cores: 4000, Memory: 100, Accel: 1}
	for _, x := range []struct {
		size Size
		most int64
		want int64
	}{
		{Size{Cores: 1000}, 9, 4},
		{Size{Cores: 1000, Memory: 60}, 9, 1},
		{Size{Cores: 1000, Accel: 2}, 9, 0},
		{Size{Cores: 1000}, 3, 3},
		{Size{}, 7, 7},
	} {
		if got := x.size.Times(free, x.most); got != x.want {
			t.Errorf("%v fits %d times, want %d", x.size, got, x.want)
		}
	}
	if got := (Size{Cores: 1}).Times(Size{Cores: -5}, 9); got != 0 {
		t.Errorf("fits %d times into less than nothing", got)
	}
}
