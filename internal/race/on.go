//go:build race

package race

// Enabled says that the program was built with the race detector.
const Enabled = true
