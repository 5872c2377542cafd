package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// pace is that of an advisor that takes 150 ms for a question about 11 workers.
var pace = Pace{Question: 40 * time.Millisecond, Worker: 10 * time.Millisecond}

// workerIDs returns the IDs of n workers.
func workerIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("w", i)
	}
	return out
}

// ask asks about a step and fails the test if nothing is asked.
func ask(t *testing.T, b *Book, now time.Duration, step string, workers ...string) Question {
	t.Helper()
	q, ok := b.Ask(now, step, workers, pace)
	if !ok {
		t.Fatalf("nothing is asked about %s at %v", step, now)
	}
	return q
}

// expectSilence fails the test if something is asked.
func expectSilence(t *testing.T, b *Book, now time.Duration, step string, workers ...string) {
	t.Helper()
	if q, ok := b.Ask(now, step, workers, pace); ok {
		t.Fatalf("asked about %s at %v: %v", step, now, q.Workers)
	}
}

// expectTicket compares the ticket of a worker for step "a"; an empty one means none.
func expectTicket(t *testing.T, b *Book, now time.Duration, worker, want string) {
	t.Helper()
	if got, ok := b.Ticket(now, "a", worker); ok != (want != "") || ok && got != want {
		t.Errorf("ticket for %s at %v: %q, %v, want %q", worker, now, got, ok, want)
	}
}

// server is an advisor that handles one question at a time and does not notice that a sender
// has given up.
type server struct {
	// slower is how many times longer than it says it takes.
	slower int
	freeAt time.Duration
	// answers holds the questions by the time at which each is answered or given up.
	answers []reply
	served  int
}

type reply struct {
	at   time.Duration
	to   Question
	lost bool
}

func (v *server) take(now time.Duration, q Question) {
	work := time.Duration(v.slower) * (pace.Question + time.Duration(len(q.Workers))*pace.Worker)
	v.freeAt = max(now, v.freeAt) + work
	r := reply{v.freeAt, q, false}
	if v.freeAt > now+q.Limit {
		r.at, r.lost = now+q.Limit, true
	}
	v.answers = append(v.answers, r)
}

// deliver passes the outcomes that are due to the book.
func (v *server) deliver(now time.Duration, b *Book) {
	v.answers = slices.DeleteFunc(v.answers, func(r reply) bool {
		if r.at > now {
			return false
		}
		if r.lost {
			b.Fail(now, r.to)
			return true
		}
		tickets := map[string]string{}
		for _, w := range r.to.Workers {
			tickets[w] = "t"
		}
		b.Answer(now, r.to, tickets, 3*time.Second)
		v.served++
		return true
	})
}

// playBurst asks about steps that come at once, in order, and returns how long it takes until
// each has had a ticket, and how many questions were handled.
func playBurst(t *testing.T, v *server, steps int) (time.Duration, int) {
	t.Helper()
	var b Book
	workers := workerIDs(11)
	waiting := make([]string, steps)
	for i := range waiting {
		waiting[i] = fmt.Sprint("job", i, ".0.0")
	}
	const tick = 10 * time.Millisecond
	for now := time.Duration(0); now < 10*time.Minute; now += tick {
		v.deliver(now, &b)
		waiting = slices.DeleteFunc(waiting, func(s string) bool {
			_, ok := b.Ticket(now, s, "w0")
			return ok
		})
		if len(waiting) == 0 {
			return now, v.served
		}
		for _, s := range waiting {
			if q, ok := b.Ask(now, s, workers, pace); ok {
				v.take(now, q)
			}
		}
	}
	t.Fatalf("%d of %d steps never got a ticket", len(waiting), steps)
	return 0, 0
}

// Questions that were repeated while they were open, and given up after a fixed time, kept an
// advisor busy with questions whose senders had gone.
func TestBurstIsWorkedOff(t *testing.T) {
	const steps = 60
	alone := pace.Question + 11*pace.Worker
	t.Run("at the pace of the advisor, with one question a step", func(t *testing.T) {
		took, served := playBurst(t, &server{slower: 1}, steps)
		if limit := steps * alone * 11 / 10; took > limit {
			t.Errorf("took %v, want at most %v", took, limit)
		}
		if served != steps {
			t.Errorf("%d questions for %d steps", served, steps)
		}
	})
	t.Run("also if the advisor takes far longer than it says", func(t *testing.T) {
		took, _ := playBurst(t, &server{slower: 40}, 10)
		if limit := 10 * 40 * alone * 3; took > limit {
			t.Errorf("took %v, want at most %v", took, limit)
		}
	})
}

func TestBook(t *testing.T) {
	t.Run("few questions are open at a time, and none twice", func(t *testing.T) {
		var b Book
		a := ask(t, &b, 0, "a", "w0")
		expectSilence(t, &b, time.Hour, "a", "w0")
		ask(t, &b, 0, "b", "w0")
		expectSilence(t, &b, time.Hour, "c", "w0")
		b.Answer(time.Hour, a, nil, 0)
		ask(t, &b, time.Hour, "c", "w0")
	})
	t.Run("the limit grows with the questions before and the workers named", func(t *testing.T) {
		var b Book
		one := ask(t, &b, 0, "a", workerIDs(1)...).Limit
		if two := ask(t, &b, 0, "b", workerIDs(30)...).Limit; two-one != limitFactor*(pace.Question+30*pace.Worker) {
			t.Errorf("limits %v and %v", one, two)
		}
	})
	t.Run("workers that are known aren't asked about", func(t *testing.T) {
		var b Book
		b.Answer(0, ask(t, &b, 0, "a", "w0", "w1"), map[string]string{"w1": "t"}, 3*time.Second)
		expectTicket(t, &b, 0, "w0", "")
		expectTicket(t, &b, 0, "w1", "t")
		expectSilence(t, &b, time.Second, "a", "w0", "w1")
		q := ask(t, &b, time.Second, "a", "w0", "w1", "w2")
		if !slices.Equal(q.Workers, []string{"w2"}) {
			t.Errorf("asked about %v", q.Workers)
		}
		b.Answer(2*time.Second, q, map[string]string{"w2": "u"}, 3*time.Second)
		expectTicket(t, &b, 2*time.Second, "w1", "t")
		if q := ask(t, &b, 3*time.Second, "a", "w0", "w1", "w2"); !slices.Equal(q.Workers, []string{"w1"}) {
			t.Errorf("asked about %v once a ticket has expired", q.Workers)
		}
	})
	// The members of a gang got tickets for one worker after the other, of which never two
	// were valid at a time.
	t.Run("tickets that end before the next question are renewed with others", func(t *testing.T) {
		var b Book
		const valid = askInterval / 2
		b.Answer(0, ask(t, &b, 0, "a", "w0"), map[string]string{"w0": "t"}, 4*askInterval)
		b.Answer(0, ask(t, &b, 0, "b", "w0"), map[string]string{"w0": "t"}, valid+askInterval)
		if q := ask(t, &b, askInterval, "a", "w0", "w1"); !slices.Equal(q.Workers, []string{"w1"}) {
			t.Errorf("asked about %v", q.Workers)
		}
		if q := ask(t, &b, askInterval, "b", "w0", "w1"); !slices.Equal(q.Workers, []string{"w1", "w0"}) {
			t.Errorf("asked about %v", q.Workers)
		}
	})
	// A ticket that is valid for no longer than the margin was never used.
	t.Run("a ticket of a short validity can be used", func(t *testing.T) {
		var b Book
		b.Answer(time.Second, ask(t, &b, 0, "a", "w0"), map[string]string{"w0": "t"}, 200*time.Millisecond)
		expectTicket(t, &b, time.Second+90*time.Millisecond, "w0", "t")
		expectTicket(t, &b, time.Second+100*time.Millisecond, "w0", "")
	})
	t.Run("failures are followed by pauses, up to a bound", func(t *testing.T) {
		var b Book
		now := time.Duration(0)
		for i := range 20 {
			b.Fail(now, ask(t, &b, now, fmt.Sprint("s", i), "w0"))
			expectSilence(t, &b, now+firstPause-1, "other", "w0")
			now += maxPause
		}
		expectSilence(t, &b, now-1, "other", "w0")
		b.Answer(now, ask(t, &b, now, "s0", "w0"), nil, 0)
		ask(t, &b, now, "s1", "w0")
	})
	t.Run("a question without an answer is asked again, with a longer limit", func(t *testing.T) {
		var b Book
		q := ask(t, &b, 0, "a", "w0")
		b.Fail(q.Limit, q)
		again := ask(t, &b, q.Limit+firstPause, "a", "w0")
		if again.Limit < 2*minLimit {
			t.Errorf("limit %v after %v", again.Limit, q.Limit)
		}
	})
	// Some lost answers made the limit so long that the next lost one stopped its step for
	// seconds.
	t.Run("an answer shows that those to earlier questions are lost", func(t *testing.T) {
		var b Book
		lost := ask(t, &b, 0, "a", "w0")
		now := time.Duration(0)
		for i := range 20 {
			now += askInterval / 4
			b.Answer(now, ask(t, &b, now, fmt.Sprint("s", i), "w0"), nil, 0)
		}
		again := ask(t, &b, now, "a", "w0")
		b.Fail(lost.Limit, lost)
		expectSilence(t, &b, now, "a", "w0")
		if again.Limit >= 2*minLimit {
			t.Errorf("limit %v", again.Limit)
		}
		b.Answer(now, lost, map[string]string{"w0": "t"}, 3*time.Second)
		expectTicket(t, &b, now, "w0", "t")
	})
	t.Run("a worker that starts again under its ID is asked about again", func(t *testing.T) {
		var b Book
		b.Answer(0, ask(t, &b, 0, "a", "w0", "w1"), map[string]string{"w1": "t"}, 3*time.Second)
		b.DropWorker("w0")
		b.DropWorker("w1")
		expectTicket(t, &b, 0, "w1", "")
		q := ask(t, &b, time.Second, "a", "w0", "w1")
		if len(q.Workers) != 2 {
			t.Errorf("asked about %v", q.Workers)
		}
		b.DropWorker("w0")
		b.DropWorker("w1")
		b.Answer(time.Second, q, map[string]string{"w1": "t"}, 3*time.Second)
		expectTicket(t, &b, time.Second, "w1", "")
		if q := ask(t, &b, 2*time.Second, "a", "w0", "w1"); len(q.Workers) != 2 {
			t.Errorf("asked about %v", q.Workers)
		}
	})
	t.Run("an answer about a job that is gone is dropped", func(t *testing.T) {
		var b Book
		q := ask(t, &b, 0, "job.0.0", "w0")
		b.DropJob("job")
		b.Answer(time.Second, q, map[string]string{"w0": "t"}, 3*time.Second)
		if len(b.steps) != 0 || len(b.open) != 0 {
			t.Errorf("%d steps and %d open questions are left", len(b.steps), len(b.open))
		}
	})
}
