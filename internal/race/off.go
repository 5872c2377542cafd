//go:build !race

// Package race reports whether the race detector is enabled, for tests that it
// makes many times slower.
package race

// Enabled reports whether the program was built with the race detector.
const Enabled = false
