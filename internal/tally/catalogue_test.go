package tally_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lagoonrack/internal/tally"
)

func TestTally(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the catalogue of metrics")
}

const (
	root     = "../.."
	pagePath = root + "/docs/metrics.md"
)

// renderPage returns the text of docs/metrics.md.
func renderPage() string {
	var b bytes.Buffer
	b.WriteString("# Metrics\n\nServed at `/metrics` of each process's operator address, in the Prometheus text\nformat. This page is written by `go test ./internal/tally` with `UPDATE=1`.\n\n")
	b.WriteString("| name | kind | labels | by | meaning |\n|---|---|---|---|---|\n")
	for _, m := range tally.All() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Labels, m.By, m.Meaning)
	}
	return b.String()
}

// namesInSources returns the names of metrics in the sources, sorted, each once.
func namesInSources() []string {
	name := regexp.MustCompile(`"(lagoon_[a-z_]+)"`)
	var out []string
	for _, dir := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || d.Name() == "catalogue.go" {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range name.FindAllStringSubmatch(string(data), -1) {
				out = append(out, m[1])
			}
			return err
		})
		Expect(err).NotTo(HaveOccurred())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

var _ = Describe("the catalogue", func() {
	It("lists the metrics named in the sources, sorted", func() {
		var listed []string
		for _, m := range tally.All() {
			listed = append(listed, m.Name)
		}
		Expect(listed).To(Equal(namesInSources()))
	})
	It("matches docs/metrics.md", func() {
		if os.Getenv("UPDATE") != "" {
			Expect(os.WriteFile(pagePath, []byte(renderPage()), 0o600)).To(Succeed())
		}
		data, err := os.ReadFile(pagePath)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal(renderPage()))
	})
})
