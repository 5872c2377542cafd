package capac

import "math"

// Size is the scale that the system has to support, and the limits that it has to
// keep at that scale. Fields without a unit are counts: JobsDay and ChangesDay per
// day, StartsPeak per second.
type Size struct {
	Workers, Accelerators     float64
	JobsDay, StartsPeak       float64
	Services, Batch           float64
	Teams, Regions, Zones     float64
	ChangesDay                float64
	NodeCPU                   float64 // percent of a core
	NodeMemory                float64 // MB
	NodeBytes                 float64 // bytes per second
	TableWrites, TableReads   float64 // per second, over all regions
	ConfigWithin, UrgentStart float64 // seconds
}

// TargetSize returns the size that operators expect within two years.
func TargetSize() Size {
	return Size{
		Workers: 24_000, Accelerators: 25_000, JobsDay: 210_000, StartsPeak: 5_900,
		Services: 99_000, Batch: 590_000, Teams: 490, Regions: 4, Zones: 11,
		ChangesDay: 37_000, NodeCPU: 2.8, NodeMemory: 32, NodeBytes: 3_000,
		TableWrites: 400, TableReads: 2_000, ConfigWithin: 8, UrgentStart: 8.3,
	}
}

// Design holds the parameters that can be chosen for a given size.
type Design struct {
	// CellWorkers is the number of workers in a cell.
	CellWorkers float64
	// Entries is the number of entries in a region.
	Entries float64
	// PageGap is the minimum time between two pages of a cell's ledger, in seconds.
	PageGap float64
	// Watchers is the number of processes that check a cell's owner frequently, to
	// take over from it.
	Watchers float64
}

// PlannedDesign returns the parameters that docs/CAPACITY.md is computed for.
func PlannedDesign() Design { return Design{CellWorkers: 130, Entries: 6, PageGap: 1, Watchers: 3} }

// Row is one line of the table of figures: what a role needs, and its limit.
type Row struct {
	Role, Figure string
	Value        float64
	Unit         string
	// Limit is 0 if there is none.
	Limit float64
	// Mechanism names what in the design accounts for the figure.
	Mechanism string
}

// Fits reports whether the figure is within its limit.
func (r Row) Fits() bool { return r.Limit == 0 || r.Value <= r.Limit }

// Rows computes all figures for a size and a design from the slopes.
func Rows(z Size, p Design, all []Slope) []Row {
	s := slopes{}
	for _, v := range all {
		s[v.Name] = v
	}
	w := model{size: z, design: p, slopes: s}
	var out []Row
	out = append(out, w.agentRows()...)
	out = append(out, w.ownerRows()...)
	out = append(out, w.entryRows()...)
	out = append(out, w.tableRows()...)
	out = append(out, w.settingsRows()...)
	return append(out, w.urgentRows()...)
}

// model computes figures for a size and a design from the slopes.
type model struct {
	size   Size
	design Design
	slopes slopes
}

// cells returns the number of cells.
func (w model) cells() float64 { return math.Ceil(w.size.Workers / w.design.CellWorkers) }

// cellsPerEntry returns the average number of cells of one entry.
func (w model) cellsPerEntry() float64 { return w.cells() / (w.design.Entries * w.size.Regions) }

// tasksPerWorker returns the average number of batch tasks on a worker, and
// startsPerWorker the number of tasks that a worker starts per second at the peak.
func (w model) tasksPerWorker() float64  { return w.size.Batch / w.size.Workers }
func (w model) startsPerWorker() float64 { return w.size.StartsPeak / w.size.Workers }

// agentRows returns the figures of one agent. The slope agent-tasks-cpu was
// measured with 54 tasks, and agent-idle-bytes with 2 entries.
func (w model) agentRows() []Row {
	g := w.slopes.get
	perTask := (g("agent-tasks-cpu") - g("agent-idle-cpu")) / 54
	bytes := g("agent-idle-bytes") + (w.design.Entries-2)*g("agent-entry-bytes") + w.tasksPerWorker()*g("agent-task-bytes")
	return []Row{
		{"agent", "processor, idle minion", g("agent-idle-cpu") + w.tasksPerWorker()*perTask, "% of a core", w.size.NodeCPU, "one report a second to the owner, one announcement a second to each entry of the region"},
		{"agent", "resident memory", g("agent-memory"), "MB", w.size.NodeMemory, "no state but calls in progress, tombstones for a minute and 4 MB of kept answers"},
		{"agent", "bytes to and from the system", bytes, "bytes/s", w.size.NodeBytes, "as above, with all tasks in each report"},
	}
}

// ownerRows returns the figures of the owners of cells.
func (w model) ownerRows() []Row {
	g := w.slopes.get
	n := w.design.CellWorkers
	cpu := n * (g("beat-process") + w.tasksPerWorker()*g("beat-task") + w.startsPerWorker()*g("task-1000")) / 1e6 * 100
	memory := n*(g("beat-connection")+g("memory-worker")+w.tasksPerWorker()*g("memory-task"))/1e6 + w.size.JobsDay/24/w.cells()*g("memory-job")/1e6
	return []Row{
		{"cell owner", "cells", w.cells(), "cells", 0, "one owner each; cells hold whole racks of one zone"},
		{"cell owner", "processor of one cell", cpu, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "placement by sample, group commit, reports kept waiting for an answer"},
		{"cell owner", "memory of one cell", memory, "MB", w.size.NodeMemory - g("entry-idle-memory"), "only tasks in progress are kept one by one"},
		{"cell owner", "cells of one entry", w.cellsPerEntry(), "cells", 1, "today only entries own cells"},
		{"cell owner", "processor of an entry's cells", w.cellsPerEntry() * cpu, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "today only entries own cells"},
		{"cell owner", "memory of an entry's cells", w.cellsPerEntry() * memory, "MB", w.size.NodeMemory - g("entry-idle-memory"), "today only entries own cells"},
		{"cell owner", "starts of one cell at the peak", n * w.startsPerWorker(), "starts/s", 0, "pages carry all starts since the last"},
		{"cell owner", "bytes of pages of one cell", n * w.startsPerWorker() * g("page-bytes"), "bytes/s", 0, "one page in each gap"},
		{"cell owner", "snapshot of one cell", n * w.tasksPerWorker() * g("snapshot-bytes") / 1e6, "MB", 0, "every 128 pages, to the object store"},
	}
}

// entryRows returns the figures of one entry as a proxy for requests.
func (w model) entryRows() []Row {
	g := w.slopes.get
	agents := w.size.Workers / w.size.Regions
	return []Row{
		{"entry", "processor for announcements", agents * g("offer-process") / 1e6 * 100, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "each agent announces its minion to each entry of its region"},
		{"entry", "memory for announcements", agents * g("offer-connection") / 1e6, "MB", w.size.NodeMemory - g("entry-idle-memory"), "a connection from each agent of the region"},
		{"entry", "requests a second on one core", 1e6 / g("entry-request"), "requests/s", 0, "late binding; not control, so outside a node's share"},
	}
}

// tableRows returns the reads and writes of the table per second.
func (w model) tableRows() []Row {
	entries := w.design.Entries * w.size.Regions
	// Pages a second of a cell: one in each gap, or one for each start and each end
	// of a task if those are rarer.
	pages := math.Min(1/w.design.PageGap, 2*w.design.CellWorkers*w.startsPerWorker())
	writes := w.cells() * (pages + 1)
	watch := w.cells() * w.design.Watchers * 2
	idle := entries * w.cells() / w.size.Regions * 2 / 10
	return []Row{
		{"table", "writes of cells", writes, "writes/s", 0, "a page in each gap and a sign of life a second for each cell, whatever the rate of starts"},
		{"table", "writes of entries and settings", entries + w.size.ChangesDay/86400, "writes/s", 0, "a row a second for each entry"},
		{"table", "writes in all, without keyed requests", writes + entries + w.size.ChangesDay/86400, "writes/s", w.size.TableWrites, "what is left is for idempotency keys, one write each"},
		{"table", "reads of watchers", watch + idle, "reads/s", 0, "close watch by a few, a look every 10 s by the other entries of the region"},
		{"table", "reads of owners", writes, "reads/s", 0, "each write reads its row first"},
		{"table", "reads of entries", entries * (w.design.Entries + 1), "reads/s", 0, "each entry scans the rows of its region and reads the settings' row once a second"},
		{"table", "reads in all", watch + idle + writes + entries*(w.design.Entries+1), "reads/s", w.size.TableReads, ""},
	}
}

// settingsRows returns the figures of changes to the settings.
func (w model) settingsRows() []Row {
	g := w.slopes.get
	// A team takes about 1/15 of the bytes of the example settings: a third of
	// one of their five items.
	source := w.size.Teams * g("settings-bytes") / 15
	rate := w.size.ChangesDay / 86400
	return []Row{
		{"settings", "changes", rate, "changes/s", 0, "one conditional write each; a process takes the newest only"},
		{"settings", "size of all settings", source / 1e3, "KB", 0, "about 90 bytes a team"},
		{"settings", "bytes to each process", rate * source, "bytes/s", w.size.NodeBytes, "whole settings, fetched when a report's answer names a newer version"},
		{"settings", "time until in force", 1 + 1 + 1, "s", w.size.ConfigWithin, "push between entries or a poll within 1 s; the next report of an agent within 1 s; the fetch, 1 s at most"},
	}
}

// urgentRows returns the time until an urgent task starts on a full cell.
func (w model) urgentRows() []Row {
	return []Row{
		{"urgent work", "time until started on a full cell", w.design.PageGap + 1 + 1 + w.design.PageGap, "s", w.size.UrgentStart, "acceptance in a page, the stop with the next answer, its report, the start in a page"},
	}
}
