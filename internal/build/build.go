// Package build names the version of the programs.
package build

import "runtime/debug"

// number is the version that is being worked towards.
const number = "0.1.0"

// Version returns the version with the revision it was built from, where that
// is known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return number + "+" + s.Value[:min(12, len(s.Value))]
		}
	}
	return number
}
