//go:build race

package race

// Enabled reports whether the program was built with the race detector.
const Enabled = true
