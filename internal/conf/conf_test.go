package conf_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/examples"
	"lagoonrack/internal/conf"
)

const overlay = "site: s\nzones: [z]\ncells: [{name: c}]\n"

func load(base, over string) ([]conf.Settings, error) {
	return conf.Source{
		Base:     conf.File{Name: "base.yaml", Text: base},
		Overlays: []conf.File{{Name: "s.yaml", Text: over}},
	}.Load()
}

func expectError(t *testing.T, base, over, want string) {
	t.Helper()
	_, err := load(base, over)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
}

func TestExamples(t *testing.T) {
	sets, err := examples.Source().Load()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sets).To(HaveLen(2))
	g.Expect(sets[0].Services).To(HaveLen(1), "the overlay drops the service of the other site")
	g.Expect(sets[0].Nodes[0].Size().Cores).To(Equal(int64(60_000)))
}

func TestMerge(t *testing.T) {
	sets, err := load("teams:\n  - {name: a, share: 1, cores: 0}\nlease: {run: 20s}\n",
		overlay+"teams:\n  - {name: a, share: 3}\n  - {name: b, share: 1}\nlease: {run: null}\n")
	g := NewWithT(t)
	g.Expect(err).To(MatchError(ContainSubstring("lease.run")), "null removes the value of the base, and no other value is adjusted")
	_ = sets
	sets, err = load("teams:\n  - {name: a, share: 1}\n", overlay+"teams:\n  - {name: a, share: 3}\n  - {name: b, share: 1}\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sets[0].Teams).To(HaveLen(2))
	g.Expect(sets[0].Teams[0].Share).To(Equal(3))
}

func TestErrorsNamePosition(t *testing.T) {
	for name, tc := range map[string]struct{ base, over, want string }{
		"unknown key":   {"lease: {rum: 1s}", overlay, "base.yaml:1:9: lease.rum: unknown key"},
		"unit":          {"lease: {run: 10}", overlay, `base.yaml:1:14: lease.run: "10" is not a span of time`},
		"twice":         {"lease: {run: 9s, run: 8s}", overlay, "base.yaml:1:18: lease.run: the key is given twice"},
		"cross-check":   {"lease: {run: 1s}", overlay, "base.yaml:1:14: lease.run: 1s is less than three beats"},
		"overlay":       {"", overlay + "jobs: {attempts: 0}", "s.yaml:4:18: jobs.attempts: 0 is not between"},
		"unknown team":  {"services: [{name: v, team: x, timeout: 1s, objective: 1s, body: 1KiB, queue: 1, slots: 1, eject: 1}]", overlay, `services[v].team: there is no team "x"`},
		"syntax":        {"lease: {", overlay, "base.yaml: line"},
		"quota":         {"teams: [{name: t, share: 1, cores: 9}]", overlay, "more than the site's workers have"},
		"anchor":        {"lease: &a {run: 10s}", overlay, "anchors and aliases are not supported"},
		"name in a URL": {"", strings.Replace(overlay, "site: s", "site: S/1", 1), `"S/1" is not a name`},
	} {
		t.Run(name, func(t *testing.T) { expectError(t, tc.base, tc.over, tc.want) })
	}
}

// FuzzLoad looks for a text that makes Load panic, or that Load accepts although
// the printed form of its tree loads as different settings or not at all.
func FuzzLoad(f *testing.F) {
	src := examples.Source()
	f.Add(src.Base.Text, src.Overlays[0].Text)
	f.Add("lease: {run: 10s}", overlay)
	f.Fuzz(func(t *testing.T, base, over string) {
		s := conf.Source{Base: conf.File{Name: "b", Text: base}, Overlays: []conf.File{{Name: "o", Text: over}}}
		sets, err := s.Load()
		if err != nil {
			return
		}
		tr, err := s.Tree(s.Overlays[0])
		if err != nil {
			t.Fatal(err)
		}
		text, err := tr.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := load(text, "")
		if err != nil {
			t.Fatalf("the printed tree is not accepted: %v\n%s", err, text)
		}
		NewWithT(t).Expect(again[0]).To(Equal(sets[0]))
	})
}
