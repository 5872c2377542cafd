package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/wire"
)

// An attempt that gets no answer must not reach the minion a second time: a request with an
// Idempotency-Key, or one that its caller declares not to be idempotent, runs at most once
// whatever its method is.
func TestAttemptWithoutAnswerIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/change" {
					return
				}
				if runs.Add(1) == 1 {
					// The minion has done the work and breaks off without an answer.
					if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
						_ = c.Close()
					}
				}
			}))
			defer s.Close()
			a, err := New(proc.Settings{Minion: proc.Minion{Address: strings.TrimPrefix(s.URL, "http://")}}, plat.Worker{}, logs.Log{})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = a.callMinion(wire.Call{ID: "first", Attempt: 1, Method: http.MethodGet, Path: "/"}, time.Second)
			g.Expect(err).NotTo(HaveOccurred(), "a connection is open")
			_, err = a.callMinion(wire.Call{ID: "second", Attempt: 1, Method: method, Path: "/change"}, time.Second)
			g.Expect(err).To(HaveOccurred(), "the outcome is unknown")
			g.Expect(runs.Load()).To(Equal(int32(1)))
		})
	}
}
