//go:build !race

// Package race tells tests whether the race detector is on, which makes them
// many times slower.
package race

// Enabled says that the program was built with the race detector.
const Enabled = false
