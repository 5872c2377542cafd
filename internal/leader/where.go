package leader

import (
	"errors"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/where"
	"lagoonrack/internal/work"
)

// ErrAsked says that others ask the owner about placements as often as it answers.
var ErrAsked = errors.New("the owner answers others who ask where jobs would go; ask again in a second")

const (
	// whereShare is the share of the core's time that questions about placements may take.
	// While such a question is answered, the core starts nothing.
	whereShare = 0.05
	// whereMaxPause bounds the pause after a question, so that one slow answer, of a process
	// that got no processor time, does not keep operators waiting.
	whereMaxPause = time.Second
	// whereTries bounds the pauses for which a question waits, so that a caller gets an answer
	// within the time that an entry waits for it.
	whereTries = 3
)

// questionLimit limits the time that the core spends on questions of operators. The term's
// mutex guards it.
type questionLimit struct{ pauseUntil time.Duration }

// Where explains where the tasks of a job would go now. No state is changed. It waits if another
// such question was answered just before.
func (l *Leader) Where(q work.PlacementQuery) (where.Answer, error) {
	t := l.currentTerm()
	if t == nil {
		return where.Answer{}, ErrNotOwner
	}
	for range whereTries {
		a, pause := l.tryWhere(t, q)
		if pause <= 0 {
			return a, nil
		}
		clock.Sleep(t.ctx, pause)
	}
	return where.Answer{}, ErrAsked
}

// tryWhere answers a question, or returns how long to wait before.
func (l *Leader) tryWhere(t *term, q work.PlacementQuery) (where.Answer, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := l.Clock.Now()
	if pause := t.questions.pauseUntil - began; pause > 0 {
		return where.Answer{}, pause
	}
	a := t.core.Where(began, q.Job, q.Most)
	a.Owner = l.Name
	ended := l.Clock.Now()
	t.questions.pauseUntil = ended + min(whereMaxPause, time.Duration(float64(ended-began)/whereShare))
	return a, 0
}
