package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/elect"
)

const ms = time.Millisecond

// watching returns a watch that has just read a title of another process.
func watching() *elect.Watch {
	w := &elect.Watch{}
	w.Read(0, elect.Title{Term: 3})
	return w
}

// claims expects what a watch says at a time, after reading the same title.
func claims(t *testing.T, w *elect.Watch, now time.Duration, rank int, want string) {
	t.Helper()
	w.Read(now, elect.Title{Term: 3})
	NewWithT(t).Expect(w.Claim(now, rank)).To(Equal(want), "at %v", now)
}

func TestSilentOwner(t *testing.T) {
	w := watching()
	w.Heard(100*ms, true, 0)
	claims(t, w, 1100*ms, 0, "")
	claims(t, w, 1300*ms, 0, "silent")
	claims(t, w, 1300*ms, 1, "")
	claims(t, w, 1500*ms, 1, "silent")
}

func TestOthersHearTheOwner(t *testing.T) {
	w := watching()
	w.Others(1400*ms, 100*ms)
	claims(t, w, 1500*ms, 0, "")
	claims(t, w, 2500*ms, 0, "silent")
}

func TestStoreAwayForAll(t *testing.T) {
	w := watching()
	for now := time.Duration(0); now < 9*time.Second; now += 100 * ms {
		w.Unread()
		if now < 4*time.Second {
			w.Heard(now, true, now)
		}
		NewWithT(t).Expect(w.Claim(now, 0)).To(BeEmpty(), "nobody changes places at %v", now)
	}
}

func TestOwnerTurnedAwayByTheStore(t *testing.T) {
	w := watching()
	w.Heard(1000*ms, true, 500*ms)
	claims(t, w, 1000*ms, 0, "")
	w.Heard(1400*ms, true, 900*ms)
	claims(t, w, 1400*ms, 0, "owner without store")
	claims(t, w, 1400*ms, 1, "")
}

func TestOwnerThatLostItsTerm(t *testing.T) {
	w := watching()
	w.Heard(1000*ms, false, 0)
	claims(t, w, 1100*ms, 0, "")
	claims(t, w, 1200*ms, 0, "not owned")
}

func TestVacantTitle(t *testing.T) {
	g := NewWithT(t)
	w := &elect.Watch{}
	w.Read(0, elect.Title{Term: 4, Vacant: true})
	g.Expect(w.Claim(0, 0)).To(Equal("vacant"))
	g.Expect(w.Claim(0, 1)).To(BeEmpty(), "the next in rank waits")
	w.Invite()
	g.Expect(w.Claim(0, 1)).To(Equal("handed over"), "a chosen successor does not")
}

func TestOwnTitleOfAnEarlierLife(t *testing.T) {
	w := &elect.Watch{}
	w.Read(0, elect.Title{Term: 4, Mine: true})
	NewWithT(t).Expect(w.Claim(0, 5)).To(Equal("own title"))
}

// Incident inc-10cf of the grown Burgwacht site: the store was away for all for
// 4.2 s, and as it came back another entry claimed the cell before the owner had
// tried again.
func TestStoreComesBackForAll(t *testing.T) {
	w := watching()
	w.Heard(900*ms, true, 0)
	w.Unread()
	for now := 1000 * ms; now < 5000*ms; now += 300 * ms {
		w.Heard(now, true, now-900*ms)
	}
	claims(t, w, 5000*ms, 0, "")
	w.Heard(5200*ms, true, 0)
	claims(t, w, 5600*ms, 0, "")
}

func TestStoreComesBackForOthersOnly(t *testing.T) {
	w := watching()
	w.Unread()
	for now := 1000 * ms; now < 5600*ms; now += 300 * ms {
		w.Heard(now, true, now)
	}
	claims(t, w, 5000*ms, 0, "")
	w.Heard(5400*ms, true, 4500*ms)
	claims(t, w, 5600*ms, 0, "owner without store")
}
