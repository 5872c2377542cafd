package capac

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lagoonrack/examples"
	"lagoonrack/internal/cell"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// bench is a cell with workers that beat, kept by its core in memory.
type bench struct {
	core    *cell.Core
	now     time.Duration
	workers int
	token   uint64
	// tasks holds what each worker reports.
	tasks []map[plat.Ref]plat.State
}

var benchSize = vect.Size{Cores: 64_000, Memory: 262_144}

func newBench(workers int) *bench {
	b := &bench{workers: workers, tasks: make([]map[plat.Ref]plat.State, workers)}
	b.core = cell.New(cell.Limits{CommitInterval: time.Nanosecond, Tasks: 1 << 30, Snap: 1 << 60}, 1, 0, 1, ledger.Ledger{}, 0)
	for i := range b.tasks {
		b.tasks[i] = map[plat.Ref]plat.State{}
	}
	for range 2 {
		for i := range workers {
			b.beat(i)
		}
	}
	return b
}

// step passes an event and carries out what comes of it at once.
func (b *bench) step(e cell.Event) {
	b.now += time.Microsecond
	effects := append([]cell.Effect(nil), b.core.Step(b.now, e)...)
	for _, f := range effects {
		switch f := f.(type) {
		case cell.Commit:
			// Each task has a page of its own here, so snapshots by the number of
			// pages would be taken far too often; none is taken at all.
			b.step(cell.SnapshotStored{Seq: f.Page.Seq})
			b.step(cell.Committed{Seq: f.Page.Seq})
		case cell.Orders:
			b.orders(f)
		}
	}
}

func (b *bench) orders(o cell.Orders) {
	var i int
	_, _ = fmt.Sscanf(o.Worker, "w%d", &i)
	for _, r := range o.Starts {
		b.tasks[i][r.Ref] = plat.State{Ref: r.Ref}
	}
	for _, r := range o.Forget {
		delete(b.tasks[i], r)
	}
}

func (b *bench) report(i int) wire.Heartbeat {
	r := plat.Report{Incarnation: "1", Clock: b.now, Term: 1, Size: benchSize}
	for _, s := range b.tasks[i] {
		r.Tasks = append(r.Tasks, s)
	}
	return wire.Heartbeat{Cell: "c", Worker: fmt.Sprintf("w%d", i), Zone: "z", Rack: "r", Report: r}
}

func (b *bench) beat(i int) {
	b.token++
	b.step(cell.Heartbeat{Token: b.token, Heartbeat: b.report(i)})
}

func (b *bench) submit(name string, tasks int, size vect.Size) {
	b.token++
	b.step(cell.Submit{Token: b.token, Job: wire.Job{
		Name: name, Team: "t", Kind: "k", Tasks: tasks, Size: size, Runtime: time.Minute, Deadline: time.Hour, Idempotent: true,
	}})
}

// fill runs the given number of tasks on each worker.
func (b *bench) fill(each int) {
	if each == 0 {
		return
	}
	share := vect.Size{Cores: benchSize.Cores / int64(each), Memory: benchSize.Memory / int64(each)}
	b.submit("fill", each*b.workers, share)
	for range 3 {
		b.core.Step(b.now, cell.Tick{})
		for i := range b.workers {
			b.beat(i)
		}
	}
}

// Measure returns the slopes that can be measured inside one process.
func Measure() []Slope {
	var out []Slope
	add := func(name string, v float64, unit, over string) {
		out = append(out, Slope{Name: name, Value: v, Unit: unit, Range: over, Command: "lagoonload slopes"})
	}
	for _, n := range []int{10, 100, 1000, 2400} {
		ns, allocs := cycle(n)
		add(fmt.Sprintf("task-%d", n), ns/1000, "us", fmt.Sprintf("start, end and commit of a task, %d workers, %d allocations", n, allocs))
	}
	low, high := beatCost(0), beatCost(30)
	add("beat", low/1000, "us", "a report without tasks in the owner's core")
	add("beat-task", (high-low)/30/1000, "us", "each task in a report, 0 to 30 tasks")
	small, large := beatBytes(0), beatBytes(30)
	add("beat-bytes", float64(small), "bytes", "a report without tasks and its answer")
	add("beat-task-bytes", float64(large-small)/30, "bytes", "each task in a report and its answer, 0 to 30 tasks")
	add("page-bytes", pageBytes(), "bytes", "start and end of a task in pages, 1,000 tasks")
	add("snapshot-bytes", snapshotBytes(), "bytes", "a running task in a snapshot, 10,000 tasks")
	add("memory-task", memory(10, 1000), "bytes", "a running task in the owner's memory, 10,000 tasks on 10 workers")
	add("memory-job", memoryJob(), "bytes", "a waiting job in the owner's memory, 10,000 jobs")
	add("memory-worker", memoryWorker(), "bytes", "a worker without tasks in the owner's memory, 2,000 workers")
	add("settings-bytes", settingsBytes(), "bytes", "the example settings of two sites")
	return out
}

// cycle measures one task from its start to the commit of its end.
func cycle(workers int) (ns float64, allocs int64) {
	b := newBench(workers)
	r := testing.Benchmark(func(tb *testing.B) {
		b.submit(fmt.Sprintf("j%d", b.token), tb.N, vect.Size{Cores: 1000, Memory: 100})
		tb.ReportAllocs()
		tb.ResetTimer()
		for i := 0; i < tb.N; i++ {
			b.end(i % workers)
		}
	})
	return float64(r.NsPerOp()), r.AllocsPerOp()
}

// end lets one task of a worker end, or has it report if it has none.
func (b *bench) end(i int) {
	for r, s := range b.tasks[i] {
		s.Done = true
		b.tasks[i][r] = s
		break
	}
	b.beat(i)
}

func beatCost(tasks int) float64 {
	b := newBench(10)
	b.fill(tasks)
	r := testing.Benchmark(func(tb *testing.B) {
		reports := make([]wire.Heartbeat, b.workers)
		for i := range reports {
			reports[i] = b.report(i)
		}
		tb.ResetTimer()
		for i := 0; i < tb.N; i++ {
			b.now += time.Microsecond
			b.core.Step(b.now, cell.Heartbeat{Token: uint64(i), Heartbeat: reports[i%len(reports)]})
		}
	})
	return float64(r.NsPerOp())
}

// beatBytes returns the bytes of a report and its answer on a connection that
// has carried one before.
func beatBytes(tasks int) int {
	b := newBench(1)
	b.fill(tasks)
	rep := b.report(0)
	o := wire.Orders{Lease: 10 * time.Second}
	o.Term, o.Incarnation = 1, "1"
	for _, s := range rep.Tasks {
		o.Keep = append(o.Keep, s.Ref)
	}
	return second(rep) + second(o) + rpcHeader
}

// rpcHeader is about what net/rpc adds to a call and its answer.
const rpcHeader = 40

// second returns the bytes of a message after the first of its type.
func second(v any) int {
	var buf bytes.Buffer
	e := gob.NewEncoder(&buf)
	if e.Encode(v) != nil {
		return 0
	}
	first := buf.Len()
	if e.Encode(v) != nil {
		return 0
	}
	return buf.Len() - first
}

func pageBytes() float64 {
	const n = 1000
	p := ledger.Page{Seq: 1, Term: 1, Txn: "01JDZZZZZZZZZZZZZZZZZZZZZZ"}
	for i := range n {
		at := int64(1_790_000_000_000)
		p.Records = append(p.Records,
			ledger.Record{Op: ledger.Start, At: at, Name: "inspection-123456", Task: i, Attempt: 1, Worker: "atelier-17", Incarnation: "1790000000000000000"},
			ledger.Record{Op: ledger.End, At: at, Name: "inspection-123456", Task: i, Attempt: 1, Worker: "atelier-17", Incarnation: "1790000000000000000"})
	}
	data, err := p.Encode()
	if err != nil {
		return 0
	}
	return float64(len(data)) / n
}

func snapshotBytes() float64 {
	const n = 10_000
	var l ledger.Ledger
	l.Apply(ledger.Record{Op: ledger.Submit, Name: "inspection-123456", Job: &wire.Job{Name: "inspection-123456", Tasks: n}})
	for i := range n {
		l.Apply(ledger.Record{Op: ledger.Start, At: 1_790_000_000_000, Name: "inspection-123456", Task: i, Attempt: 1, Worker: "atelier-17", Incarnation: "1790000000000000000"})
	}
	data, err := l.Encode()
	if err != nil {
		return 0
	}
	return float64(len(data)) / n
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memory returns the bytes that a running task takes in a core. What the bench
// itself keeps of it is dropped first.
func memory(workers, each int) float64 {
	b := newBench(workers)
	before := heap()
	b.fill(each)
	b.tasks = nil
	after := heap()
	runtime.KeepAlive(b)
	return (after - before) / float64(workers*each)
}

func memoryJob() float64 {
	const n = 10_000
	b := newBench(1)
	before := heap()
	for i := range n {
		b.submit(fmt.Sprintf("inspection-%d", i), 1, vect.Size{Cores: 10 * benchSize.Cores})
	}
	after := heap()
	runtime.KeepAlive(b)
	return (after - before) / n
}

func memoryWorker() float64 {
	const n = 2_000
	before := heap()
	b := newBench(n)
	b.tasks = nil
	after := heap()
	runtime.KeepAlive(b)
	return (after - before) / n
}

func settingsBytes() float64 {
	data, err := json.Marshal(examples.Source())
	if err != nil {
		return 0
	}
	return float64(len(data))
}
