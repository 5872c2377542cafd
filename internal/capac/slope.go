// Package capac estimates the resources that the system needs at the size that
// operators expect, from measured slopes (costs per unit, such as per task or per
// heartbeat), and generates the tables of docs/CAPACITY.md.
package capac

import (
	_ "embed"
	"fmt"

	"lagoonrack/internal/tree"
)

// Slope is one measured cost per unit.
type Slope struct {
	Name  string  `yaml:"name"`
	Value float64 `yaml:"value"`
	Unit  string  `yaml:"unit"`
	// Range describes what was varied in the measurement, or what was measured.
	Range string `yaml:"range"`
	// Command is the command that repeats the measurement.
	Command string `yaml:"command"`
}

//go:embed slopes.yaml
var slopesFile []byte

// slopes maps names to slopes.
type slopes map[string]Slope

// get returns the value of a slope and panics if there is no slope of that name.
func (s slopes) get(name string) float64 {
	v, ok := s[name]
	if !ok {
		panic(fmt.Sprintf("there is no slope %q", name))
	}
	return v.Value
}

// slopeFile is the content of slopes.yaml.
type slopeFile struct {
	Slopes []Slope `yaml:"slopes"`
}

// Slopes returns the slopes in slopes.yaml.
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
