// Package capac works out what the system needs at the size that its users
// expect, from slopes that were measured, and keeps docs/CAPACITY.md in step
// with them.
package capac

import (
	_ "embed"
	"fmt"

	"lagoonrack/internal/tree"
)

// Slope is one measured figure.
type Slope struct {
	Name  string  `yaml:"name"`
	Value float64 `yaml:"value"`
	Unit  string  `yaml:"unit"`
	// Range is what was varied, or what the figure is for.
	Range string `yaml:"range"`
	// Command measures the figure anew.
	Command string `yaml:"command"`
}

//go:embed slopes.yaml
var slopesFile []byte

// slopes are the measured figures by name.
type slopes map[string]Slope

func (s slopes) get(name string) float64 {
	v, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("there is no slope %q", name))
	}
	return v.Value
}

type slopeFile struct {
	Slopes []Slope `yaml:"slopes"`
}

// Slopes returns the measured figures that the page is worked out from.
func Slopes() ([]Slope, error) {
	t, err := tree.Parse("internal/capac/slopes.yaml", slopesFile)
	if err != nil {
		return nil, err
	}
	var f slopeFile
	if err := t.Decode(&f); err != nil {
		return nil, err
	}
	return f.Slopes, nil
}
