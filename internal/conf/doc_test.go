package conf_test

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/conf"
	"lagoonrack/internal/jobs"
	"lagoonrack/internal/plans"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/tree"
)

// referencePath is the documentation page that is generated from the types of
// the settings.
const referencePath = "../../docs/settings.md"

func renderPage() string {
	var b bytes.Buffer
	b.WriteString("# Settings\n\nWritten from the code's types by `go test ./internal/conf` with `UPDATE=1`.\n")
	for _, part := range []struct {
		title string
		v     any
	}{
		{"Base file and overlays (`lagoonctl apply`)", conf.Settings{}},
		{"Settings file of a process (`--settings`)", proc.Settings{}},
		{"Job file (`lagoonctl submit`)", jobs.File{}},
		{"File of a job with steps (`lagoonctl submit`)", plans.File{}},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| key | meaning |\n|---|---|\n", part.title)
		writeKeys(&b, "", reflect.TypeOf(part.v))
	}
	return b.String()
}

// writeKeys writes a row for each key of a settings type, and of the types nested
// in it.
func writeKeys(b *bytes.Buffer, path string, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := path + tree.Key(f)
		fmt.Fprintf(b, "| `%s` | %s |\n", name, f.Tag.Get("doc"))
		switch {
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			writeKeys(b, name+"[].", f.Type.Elem())
		case f.Type.Kind() == reflect.Struct:
			writeKeys(b, name+".", f.Type)
		}
	}
}

func TestReference(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv("UPDATE") != "" {
		g.Expect(os.WriteFile(referencePath, []byte(renderPage()), 0o600)).To(Succeed())
	}
	data, err := os.ReadFile(referencePath)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(renderPage()))
	g.Expect(renderPage()).NotTo(ContainSubstring("|  |"), "every key has a description")
}
