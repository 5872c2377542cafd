package traces_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lagoonrack/internal/sched"
	"lagoonrack/internal/traces"
)

// Logs of four jobs: one rejected while the store was unavailable, one delayed
// by a worker that restarted, one that failed because a task failed twice, and one held
// back beside idle workers.
const (
	rejectedLog = `
  11.342 entry-2 {"event":111,"msg":"store away","process":"entry-2","error":"status 429"}
  11.344 entry-1 {"event":207,"msg":"job refused","process":"entry-1","job":"0241e45b2391f2d2","queue":"r1","reason":"store","after":1000}
  12.400 entry-2 {"event":207,"msg":"job refused","process":"entry-2","job":"0241e45b2391f2d2","queue":"r1","reason":"store","after":1000}
  13.000 entry-2 {"event":106,"msg":"store answers again","process":"entry-2","ms":1658}`
	delayedLog = `
   5.100 entry-1 {"event":206,"msg":"job accepted","process":"entry-1","job":"00000000000000b1","queue":"r1","ms":6}
   5.110 entry-2 {"event":304,"kind":"job","msg":"task decision","process":"entry-2","job":"00000000000000b1"}
   5.111 entry-2 {"event":304,"kind":"place","msg":"task decision","process":"entry-2","task":"00000000000000b1.0.0.0","run":1,"worker":"i-1","ms":1}
   6.563 agent-1 {"event":403,"msg":"worker silent","process":"agent-1","worker":"i-1"}
   6.600 agent-9 {"event":403,"msg":"worker silent","process":"agent-9","worker":"i-9"}
   8.896 entry-2 {"event":304,"kind":"vanish","msg":"task decision","process":"entry-2","task":"00000000000000b1.0.0.0","run":1,"worker":"i-1","reason":"reborn"}
  10.000 entry-2 {"event":304,"kind":"place","msg":"task decision","process":"entry-2","task":"00000000000000b1.0.0.0","run":2,"worker":"i-2","ms":1104}
  10.900 entry-2 {"event":304,"kind":"end","msg":"task decision","process":"entry-2","task":"00000000000000b1.0.0.0","run":2,"worker":"i-2","reason":"done","ms":880}
  10.900 entry-2 {"event":304,"kind":"complete","msg":"task decision","process":"entry-2","job":"00000000000000b1","ms":5800}`
	failedLog = `
   1.000 entry-1 {"event":206,"msg":"job accepted","process":"entry-1","job":"00000000000000c1","queue":"r1","ms":6}
   1.500 entry-2 {"event":304,"kind":"end","msg":"task decision","process":"entry-2","task":"00000000000000c1.0.0.3","run":1,"worker":"i-1","reason":"failed","ms":400}
   2.100 entry-2 {"event":304,"kind":"end","msg":"task decision","process":"entry-2","task":"00000000000000c1.0.0.3","run":2,"worker":"i-2","reason":"failed","ms":500}
   2.101 entry-2 {"event":304,"kind":"fail","msg":"task decision","process":"entry-2","job":"00000000000000c1","ms":1101}`
	heldLog = `
   1.000 entry-1 {"event":206,"msg":"job accepted","process":"entry-1","job":"00000000000000d1","queue":"r1","ms":6}
   2.100 entry-2 {"event":304,"kind":"held","msg":"task decision","process":"entry-2","task":"00000000000000d1.0.0.0","reason":"suspect","ms":1100}
  12.100 entry-2 {"event":304,"kind":"held","msg":"task decision","process":"entry-2","task":"00000000000000d1.0.0.0","reason":"advice","ms":11100}
  22.100 entry-2 {"event":304,"kind":"held","msg":"task decision","process":"entry-2","task":"00000000000000d1.0.0.0","reason":"advice","ms":21100}`
)

func traceOf(t *testing.T, job string) traces.Trace {
	t.Helper()
	all, err := traces.Read(strings.NewReader(rejectedLog + delayedLog + failedLog + heldLog + "\nnot a line of ours\n"))
	if err != nil {
		t.Fatal(err)
	}
	tr, ok := traces.Of(all, job)
	if !ok {
		t.Fatalf("no trace of %s", job)
	}
	return tr
}

func TestTraceCause(t *testing.T) {
	for job, want := range map[string]string{
		"0241e45b2391f2d2": `refused 2 times, last because of "store": it never ran`,
		"00000000000000b1": "completed after 5.8s; task 00000000000000b1.0.0.0 waited 1.104s for a place; 1 run: vanish reborn, on i-1",
		"00000000000000c1": "given up: task 00000000000000c1.0.0.3 failed 2 times, on i-1, i-2",
		"00000000000000d1": "not ended in these logs; " +
			"task 00000000000000d1.0.0.0 was held back for at least 21.1s (advice: the advisor had not allowed a worker yet); " +
			"task 00000000000000d1.0.0.0 was held back for at least 1.1s (suspect: only workers on which runs had failed could take it)",
	} {
		t.Run(job, func(t *testing.T) {
			NewWithT(t).Expect(traceOf(t, job).Cause).To(Equal(want))
		})
	}
}

// TestEachHeldReasonIsExplained guards against a reason that an owner logs and `lagoonctl why`
// does not explain.
func TestEachHeldReasonIsExplained(t *testing.T) {
	for _, reason := range sched.HeldReasons() {
		log := `1.000 entry-1 {"event":304,"kind":"held","msg":"task decision","process":"e","task":"d.0.0.0","reason":"` + reason + `","ms":1100}`
		all, err := traces.Read(strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
		tr, _ := traces.Of(all, "d")
		NewWithT(t).Expect(tr.Cause).To(MatchRegexp(`held back for at least 1\.1s \(` + reason + `: [a-z -]+\)`))
	}
}

func TestTraceContextLimitedToJobPeriodAndWorkers(t *testing.T) {
	g := NewWithT(t)
	tr := traceOf(t, "00000000000000b1")
	var b strings.Builder
	tr.Print(&b)
	g.Expect(b.String()).To(ContainSubstring("worker silent  worker=i-1"))
	g.Expect(b.String()).NotTo(ContainSubstring("i-9"))
	last := -1.0
	for _, l := range tr.Lines {
		g.Expect(l.At).To(BeNumerically(">=", last))
		last = l.At
	}
}

func TestTraceOfUnknownJob(t *testing.T) {
	_, ok := traces.Of(nil, "x")
	NewWithT(t).Expect(ok).To(BeFalse())
}
