package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"sort"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/conf"
	"lagoonrack/internal/tree"
)

func diffCommand() *cli.Command {
	return command("diff", "print what files would change in the settings in force", "BASE", runDiff,
		overlayFlag(), entryFlag(), outputFlag())
}

// change is one value that differs between two configurations.
type change struct {
	Site string `json:"site"`
	Path string `json:"path"`
	// Old or New is empty if the value is missing in that configuration.
	Old    string `json:"old"`
	New    string `json:"new"`
	Origin string `json:"origin"`
}

func runDiff(ctx context.Context, c *cli.Command) error {
	s, err := readSource(c)
	if err != nil {
		return err
	}
	a, err := fetchInForce(ctx, c)
	if err != nil {
		return err
	}
	out, err := changes(a.Source, s)
	if err != nil {
		return err
	}
	return printResult(c, out, func(w io.Writer) { printChanges(w, out) })
}

func printChanges(w io.Writer, all []change) {
	for _, d := range all {
		switch {
		case d.Old == "":
			fmt.Fprintf(w, "%s %s: + %s\t(%s)\n", d.Site, d.Path, d.New, d.Origin)
		case d.New == "":
			fmt.Fprintf(w, "%s %s: - %s\n", d.Site, d.Path, d.Old)
		default:
			fmt.Fprintf(w, "%s %s: %s -> %s\t(%s)\n", d.Site, d.Path, d.Old, d.New, d.Origin)
		}
	}
	if len(all) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}

// changes returns the values that differ between two configurations, sorted by
// site and path.
func changes(old, now conf.Source) ([]change, error) {
	before, err := leaves(old)
	if err != nil {
		return nil, err
	}
	after, err := leaves(now)
	if err != nil {
		return nil, err
	}
	var out []change
	for k, l := range after {
		if b, ok := before[k]; !ok || b.Value != l.Value {
			out = append(out, change{Site: k.site, Path: k.path, Old: b.Value, New: l.Value, Origin: l.Origin})
		}
	}
	for k, l := range before {
		if _, ok := after[k]; !ok {
			out = append(out, change{Site: k.site, Path: k.path, Old: l.Value})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Site != out[j].Site {
			return out[i].Site < out[j].Site
		}
		return out[i].Path < out[j].Path
	})
	return out, nil
}

// leafKey identifies a value of a configuration.
type leafKey struct{ site, path string }

// leaves returns all values of a configuration.
func leaves(s conf.Source) (map[leafKey]tree.Leaf, error) {
	sets, err := s.Load()
	if err != nil {
		return nil, err
	}
	out := map[leafKey]tree.Leaf{}
	for i, v := range sets {
		t, err := s.Tree(s.Overlays[i])
		if err != nil {
			return nil, err
		}
		for _, l := range t.Leaves() {
			out[leafKey{v.Site, l.Path}] = l
		}
	}
	return out, nil
}
