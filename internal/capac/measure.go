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

// testCell runs the core of a cell in memory, with workers that send heartbeats.
// Commits and snapshots succeed at once.
type testCell struct {
	core    *cell.Core
	now     time.Duration
	workers int
	token   uint64
	// tasks holds the tasks that each worker reports.
	tasks []map[plat.Ref]plat.State
}

// workerSize is the size of each worker: 64 cores and 256 GiB of memory.
var workerSize = vect.Size{Cores: 64_000, Memory: 262_144}

// newTestCell creates a cell whose workers have all sent two heartbeats.
func newTestCell(workers int) *testCell {
	b := &testCell{workers: workers, tasks: make([]map[plat.Ref]plat.State, workers)}
	b.core = cell.New(cell.Limits{CommitInterval: time.Nanosecond, Tasks: 1 << 30, Snap: 1 << 60}, 1, 0, 1, ledger.Ledger{}, 0)
	for i := range b.tasks {
		b.tasks[i] = map[plat.Ref]plat.State{}
	}
	for range 2 {
		for i := range workers {
			b.sendHeartbeat(i)
		}
	}
	return b
}

// step passes an event to the core and executes the effects immediately.
func (b *testCell) step(e cell.Event) {
	b.now += time.Microsecond
	effects := append([]cell.Effect(nil), b.core.Step(b.now, e)...)
	for _, f := range effects {
		switch f := f.(type) {
		case cell.Commit:
			// Each task gets a page of its own here, so snapshots after a number of
			// pages would be far more frequent than in production. Limits.Snap is
			// set so high that none is taken. SnapshotStored is sent nevertheless,
			// because the core commits only a limited number of pages without it.
			b.step(cell.SnapshotStored{Seq: f.Page.Seq})
			b.step(cell.Committed{Seq: f.Page.Seq})
		case cell.Orders:
			b.applyOrders(f)
		}
	}
}

// applyOrders starts and forgets the tasks of a worker as ordered.
func (b *testCell) applyOrders(o cell.Orders) {
	var i int
	_, _ = fmt.Sscanf(o.Worker, "w%d", &i)
	for _, r := range o.Starts {
		b.tasks[i][r.Ref] = plat.State{Ref: r.Ref}
	}
	for _, r := range o.Forget {
		delete(b.tasks[i], r)
	}
}

// report returns the present heartbeat of the i-th worker.
func (b *testCell) report(i int) wire.Heartbeat {
	r := plat.Report{Incarnation: "1", Clock: b.now, Term: 1, Size: workerSize}
	for _, s := range b.tasks[i] {
		r.Tasks = append(r.Tasks, s)
	}
	return wire.Heartbeat{Cell: "c", Worker: fmt.Sprintf("w%d", i), Zone: "z", Rack: "r", Report: r}
}

// sendHeartbeat passes the present heartbeat of the i-th worker to the core.
func (b *testCell) sendHeartbeat(i int) {
	b.token++
	b.step(cell.Heartbeat{Token: b.token, Heartbeat: b.report(i)})
}

// submit submits a job of identical tasks.
func (b *testCell) submit(name string, tasks int, size vect.Size) {
	b.token++
	b.step(cell.Submit{Token: b.token, Job: wire.Job{
		Name: name, Team: "t", Kind: "k", Tasks: tasks, Size: size, Runtime: time.Minute, Deadline: time.Hour, Idempotent: true,
	}})
}

// startTasks starts the given number of tasks on each worker. Together they use
// the whole worker.
func (b *testCell) startTasks(each int) {
	if each == 0 {
		return
	}
	share := vect.Size{Cores: workerSize.Cores / int64(each), Memory: workerSize.Memory / int64(each)}
	b.submit("fill", each*b.workers, share)
	for range 3 {
		b.core.Step(b.now, cell.Tick{})
		for i := range b.workers {
			b.sendHeartbeat(i)
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
		ns, allocs := taskCost(n)
		add(fmt.Sprintf("task-%d", n), ns/1000, "us", fmt.Sprintf("start, end and commit of a task, %d workers, %d allocations", n, allocs))
	}
	low, high := heartbeatCost(0), heartbeatCost(30)
	add("beat", low/1000, "us", "a report without tasks in the owner's core")
	add("beat-task", (high-low)/30/1000, "us", "each task in a report, 0 to 30 tasks")
	small, large := heartbeatBytes(0), heartbeatBytes(30)
	add("beat-bytes", float64(small), "bytes", "a report without tasks and its answer")
	add("beat-task-bytes", float64(large-small)/30, "bytes", "each task in a report and its answer, 0 to 30 tasks")
	add("page-bytes", pageBytes(), "bytes", "start and end of a task in pages, 1,000 tasks")
	add("snapshot-bytes", snapshotBytes(), "bytes", "a running task in a snapshot, 10,000 tasks")
	add("memory-task", memoryPerTask(10, 1000), "bytes", "a running task in the owner's memory, 10,000 tasks on 10 workers")
	add("memory-job", memoryPerJob(), "bytes", "a waiting job in the owner's memory, 10,000 jobs")
	add("memory-worker", memoryPerWorker(), "bytes", "a worker without tasks in the owner's memory, 2,000 workers")
	add("settings-bytes", settingsBytes(), "bytes", "the example settings of two sites")
	return out
}

// taskCost measures the time and the allocations for one task, from its start to
// the commit of its end.
func taskCost(workers int) (ns float64, allocs int64) {
	b := newTestCell(workers)
	r := testing.Benchmark(func(tb *testing.B) {
		b.submit(fmt.Sprintf("j%d", b.token), tb.N, vect.Size{Cores: 1000, Memory: 100})
		tb.ReportAllocs()
		tb.ResetTimer()
		for i := 0; i < tb.N; i++ {
			b.endTask(i % workers)
		}
	})
	return float64(r.NsPerOp()), r.AllocsPerOp()
}

// endTask ends one task of a worker and sends the worker's heartbeat. Without a
// task it only sends the heartbeat.
func (b *testCell) endTask(i int) {
	for r, s := range b.tasks[i] {
		s.Done = true
		b.tasks[i][r] = s
		break
	}
	b.sendHeartbeat(i)
}

// heartbeatCost measures the nanoseconds that the core takes for a heartbeat with
// the given number of tasks.
func heartbeatCost(tasks int) float64 {
	b := newTestCell(10)
	b.startTasks(tasks)
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

// heartbeatBytes returns the size of a heartbeat and its answer on a connection
// that has already carried one, so that gob's type descriptions are not counted.
func heartbeatBytes(tasks int) int {
	b := newTestCell(1)
	b.startTasks(tasks)
	rep := b.report(0)
	o := wire.Orders{Lease: 10 * time.Second}
	o.Term, o.Incarnation = 1, "1"
	for _, s := range rep.Tasks {
		o.Keep = append(o.Keep, s.Ref)
	}
	return repeatedSize(rep) + repeatedSize(o) + rpcHeader
}

// rpcHeader is the approximate number of bytes that net/rpc adds to a call and
// its answer.
const rpcHeader = 40

// repeatedSize returns the encoded size of a message that is not the first of its
// type on a connection, or 0 if it cannot be encoded.
func repeatedSize(v any) int {
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

// pageBytes returns the bytes that the start and the end of one task take in a
// page.
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

// snapshotBytes returns the bytes that a running task takes in a snapshot.
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

// heapBytes returns the bytes in use on the heap after garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memoryPerTask returns the bytes that a running task takes in a core. The test
// cell's own record of the tasks is released before the measurement.
func memoryPerTask(workers, each int) float64 {
	b := newTestCell(workers)
	before := heapBytes()
	b.startTasks(each)
	b.tasks = nil
	after := heapBytes()
	runtime.KeepAlive(b)
	return (after - before) / float64(workers*each)
}

// memoryPerJob returns the bytes that a waiting job of one task takes in a core.
// The jobs wait because they need more cores than the worker has.
func memoryPerJob() float64 {
	const n = 10_000
	b := newTestCell(1)
	before := heapBytes()
	for i := range n {
		b.submit(fmt.Sprintf("inspection-%d", i), 1, vect.Size{Cores: 10 * workerSize.Cores})
	}
	after := heapBytes()
	runtime.KeepAlive(b)
	return (after - before) / n
}

// memoryPerWorker returns the bytes that a worker without tasks takes in a core.
func memoryPerWorker() float64 {
	const n = 2_000
	before := heapBytes()
	b := newTestCell(n)
	b.tasks = nil
	after := heapBytes()
	runtime.KeepAlive(b)
	return (after - before) / n
}

// settingsBytes returns the size of the example settings as JSON.
func settingsBytes() float64 {
	data, err := json.Marshal(examples.Source())
	if err != nil {
		return 0
	}
	return float64(len(data))
}
