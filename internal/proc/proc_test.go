package proc

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `name: entry-1
site: s
zone: z
log: { level: info }
caller: 127.0.0.1:1
operator: 127.0.0.1:2
peer: 127.0.0.1:3
platform: 127.0.0.1:4
drain: 5s
`

// read returns the settings of a file with overrides.
func read(t *testing.T, overrides ...string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(file, Entry, overrides...)
}

// TestOverrides guards against an override that is lost, that removes its neighbours, or that
// unsets a key because the platform had no value to fill in.
func TestOverrides(t *testing.T) {
	s, err := read(t, "drain=3s", "log.level=debug", "notice=")
	if err != nil {
		t.Fatal(err)
	}
	if s.Drain.Std() != 3*time.Second || s.Log.Level != "debug" || s.Name != "entry-1" || s.Notice != 0 {
		t.Errorf("settings are %+v", s)
	}
	if s, err = read(t, "drain="); err != nil || s.Drain.Std() != 5*time.Second {
		t.Errorf("an empty value gives %v and error %v, want the value of the file", s.Drain.Std(), err)
	}
}

// TestWrongOverrides guards against a mistyped override that is ignored.
func TestWrongOverrides(t *testing.T) {
	for _, o := range []string{"drain", "=3s", "fleet.nothing=1", "drain=soon", "log={"} {
		if _, err := read(t, o); err == nil || !strings.Contains(err.Error(), "--set") {
			t.Errorf("override %q gives error %v, want one that names --set", o, err)
		}
	}
}
