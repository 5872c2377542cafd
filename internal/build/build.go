// Package build provides the version of the programs.
package build

import "runtime/debug"

// baseVersion is the version under development.
const baseVersion = "0.1.0"

// Version returns the version, followed by the revision that the program was built
// from if the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return baseVersion
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return baseVersion + "+" + s.Value[:min(12, len(s.Value))]
		}
	}
	return baseVersion
}
