package capac

import "math"

// Size is what the system is to carry.
type Size struct {
	Workers, Accelerators     float64
	JobsDay, StartsPeak       float64
	Services, Batch           float64
	Teams, Regions, Zones     float64
	ChangesDay                float64
	NodeCPU                   float64 // percent of a core
	NodeMemory                float64 // MB
	NodeBytes                 float64 // bytes a second
	TableWrites, TableReads   float64 // a second, over all regions
	ConfigWithin, UrgentStart float64 // seconds
}

// Letter is the size that the users expect within two years.
func Letter() Size {
	return Size{
		Workers: 24_000, Accelerators: 25_000, JobsDay: 210_000, StartsPeak: 5_900,
		Services: 99_000, Batch: 590_000, Teams: 490, Regions: 4, Zones: 11,
		ChangesDay: 37_000, NodeCPU: 2.8, NodeMemory: 32, NodeBytes: 3_000,
		TableWrites: 400, TableReads: 2_000, ConfigWithin: 8, UrgentStart: 8.3,
	}
}

// Choices are what the design leaves to choose at a size.
type Choices struct {
	// CellWorkers is the number of workers of a cell.
	CellWorkers float64
	// Entries is the number of entries of a region.
	Entries float64
	// PageGap is the least time between two pages, in seconds.
	PageGap float64
	// Watchers is the number of processes that watch a cell closely.
	Watchers float64
}

// Plan returns the choices that the page is worked out for.
func Plan() Choices { return Choices{CellWorkers: 130, Entries: 6, PageGap: 1, Watchers: 3} }

// Row is one figure of the page.
type Row struct {
	Role, What string
	Value      float64
	Unit       string
	// Limit is 0 where there is none.
	Limit float64
	// Carries names the mechanism that carries the figure.
	Carries string
}

// Fits reports whether the figure is within its limit.
func (r Row) Fits() bool { return r.Limit == 0 || r.Value <= r.Limit }

// Rows works the figures out.
func Rows(z Size, p Choices, all []Slope) []Row {
	s := slopes{}
	for _, v := range all {
		s[v.Name] = v
	}
	w := work{size: z, plan: p, slopes: s}
	var out []Row
	out = append(out, w.agent()...)
	out = append(out, w.owner()...)
	out = append(out, w.entry()...)
	out = append(out, w.table()...)
	out = append(out, w.settings()...)
	return append(out, w.urgent()...)
}

type work struct {
	size   Size
	plan   Choices
	slopes slopes
}

// cells is the number of cells.
func (w work) cells() float64 { return math.Ceil(w.size.Workers / w.plan.CellWorkers) }

// share is the number of cells of one entry.
func (w work) share() float64 { return w.cells() / (w.plan.Entries * w.size.Regions) }

// tasks is the number of batch tasks on a worker, and starts those that a
// worker starts a second at the peak.
func (w work) tasks() float64  { return w.size.Batch / w.size.Workers }
func (w work) starts() float64 { return w.size.StartsPeak / w.size.Workers }

func (w work) agent() []Row {
	g := w.slopes.get
	perTask := (g("agent-tasks-cpu") - g("agent-idle-cpu")) / 54
	bytes := g("agent-idle-bytes") + (w.plan.Entries-2)*g("agent-entry-bytes") + w.tasks()*g("agent-task-bytes")
	return []Row{
		{"agent", "processor, idle minion", g("agent-idle-cpu") + w.tasks()*perTask, "% of a core", w.size.NodeCPU, "one report a second to the owner, one announcement a second to each entry of the region"},
		{"agent", "resident memory", g("agent-memory"), "MB", w.size.NodeMemory, "no state but calls in progress, tombstones for a minute and 4 MB of kept answers"},
		{"agent", "bytes to and from the system", bytes, "bytes/s", w.size.NodeBytes, "as above, with all tasks in each report"},
	}
}

func (w work) owner() []Row {
	g := w.slopes.get
	n := w.plan.CellWorkers
	cpu := n * (g("beat-process") + w.tasks()*g("beat-task") + w.starts()*g("task-1000")) / 1e6 * 100
	memory := n*(g("beat-connection")+g("memory-worker")+w.tasks()*g("memory-task"))/1e6 + w.size.JobsDay/24/w.cells()*g("memory-job")/1e6
	return []Row{
		{"cell owner", "cells", w.cells(), "cells", 0, "one owner each; cells hold whole racks of one zone"},
		{"cell owner", "processor of one cell", cpu, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "placement by sample, group commit, reports kept waiting for an answer"},
		{"cell owner", "memory of one cell", memory, "MB", w.size.NodeMemory - g("entry-idle-memory"), "only tasks in progress are kept one by one"},
		{"cell owner", "cells of one entry", w.share(), "cells", 1, "today only entries own cells"},
		{"cell owner", "processor of an entry's cells", w.share() * cpu, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "today only entries own cells"},
		{"cell owner", "memory of an entry's cells", w.share() * memory, "MB", w.size.NodeMemory - g("entry-idle-memory"), "today only entries own cells"},
		{"cell owner", "starts of one cell at the peak", n * w.starts(), "starts/s", 0, "pages carry all starts since the last"},
		{"cell owner", "bytes of pages of one cell", n * w.starts() * g("page-bytes"), "bytes/s", 0, "one page in each gap"},
		{"cell owner", "snapshot of one cell", n * w.tasks() * g("snapshot-bytes") / 1e6, "MB", 0, "every 128 pages, to the object store"},
	}
}

func (w work) entry() []Row {
	g := w.slopes.get
	agents := w.size.Workers / w.size.Regions
	return []Row{
		{"entry", "processor for announcements", agents * g("offer-process") / 1e6 * 100, "% of a core", w.size.NodeCPU - g("entry-idle-cpu"), "each agent announces its minion to each entry of its region"},
		{"entry", "memory for announcements", agents * g("offer-connection") / 1e6, "MB", w.size.NodeMemory - g("entry-idle-memory"), "a connection from each agent of the region"},
		{"entry", "requests a second on one core", 1e6 / g("entry-request"), "requests/s", 0, "late binding; not control, so outside a node's share"},
	}
}

func (w work) table() []Row {
	entries := w.plan.Entries * w.size.Regions
	pages := math.Min(1/w.plan.PageGap, 2*w.plan.CellWorkers*w.starts())
	writes := w.cells() * (pages + 1)
	watch := w.cells() * w.plan.Watchers * 2
	idle := entries * w.cells() / w.size.Regions * 2 / 10
	return []Row{
		{"table", "writes of cells", writes, "writes/s", 0, "a page in each gap and a sign of life a second for each cell, whatever the rate of starts"},
		{"table", "writes of entries and settings", entries + w.size.ChangesDay/86400, "writes/s", 0, "a row a second for each entry"},
		{"table", "writes in all, without keyed requests", writes + entries + w.size.ChangesDay/86400, "writes/s", w.size.TableWrites, "what is left is for idempotency keys, one write each"},
		{"table", "reads of watchers", watch + idle, "reads/s", 0, "close watch by a few, a look every 10 s by the other entries of the region"},
		{"table", "reads of owners", writes, "reads/s", 0, "each write reads its row first"},
		{"table", "reads of entries", entries * (w.plan.Entries + 1), "reads/s", 0, "each entry scans the rows of its region and reads the settings' row once a second"},
		{"table", "reads in all", watch + idle + writes + entries*(w.plan.Entries+1), "reads/s", w.size.TableReads, ""},
	}
}

func (w work) settings() []Row {
	g := w.slopes.get
	// A team takes about as many bytes as a third of the example's five items.
	source := w.size.Teams * g("settings-bytes") / 15
	rate := w.size.ChangesDay / 86400
	return []Row{
		{"settings", "changes", rate, "changes/s", 0, "one conditional write each; a process takes the newest only"},
		{"settings", "size of all settings", source / 1e3, "KB", 0, "about 90 bytes a team"},
		{"settings", "bytes to each process", rate * source, "bytes/s", w.size.NodeBytes, "whole settings, fetched when a report's answer names a newer version"},
		{"settings", "time until in force", 1 + 1 + 1, "s", w.size.ConfigWithin, "push between entries or a poll within 1 s; the next report of an agent within 1 s; the fetch, 1 s at most"},
	}
}

func (w work) urgent() []Row {
	return []Row{
		{"urgent work", "time until started on a full cell", w.plan.PageGap + 1 + 1 + w.plan.PageGap, "s", w.size.UrgentStart, "acceptance in a page, the stop with the next answer, its report, the start in a page"},
	}
}
