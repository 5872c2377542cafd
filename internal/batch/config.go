// Package batch simulates batch jobs in virtual time, with the core of a cell
// and stand-in workers. It compares three policies on the same jobs: the cell's
// own, a plain one (first come, first served, first fit), and an oracle that
// knows the true run times.
package batch

import (
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"time"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wire"
)

// Config describes an experiment on jobs, as read from an experiment file.
type Config struct {
	Name    string        `yaml:"name" doc:"Name of the experiment."`
	About   string        `yaml:"about" doc:"What the experiment asks."`
	Workers int           `yaml:"workers" doc:"Number of workers."`
	Cores   float64       `yaml:"cores" doc:"Cores of a worker."`
	Memory  int64         `yaml:"memory" doc:"Memory of a worker in MiB."`
	For     unit.Duration `yaml:"for" doc:"Time in which jobs arrive; 0s for a backlog that is there at once."`
	Loads   []float64     `yaml:"loads" doc:"Offered work as shares of all cores over that time."`
	Backlog unit.Duration `yaml:"backlog" doc:"With for: 0s, the time that all cores need for the backlog."`
	Long    float64       `yaml:"long" doc:"Share of tasks that are stragglers."`
	Factor  float64       `yaml:"factor" doc:"Run time of a straggler in medians."`
	Least   float64       `yaml:"least" doc:"Smallest ratio of declared to true run time."`
	Most    float64       `yaml:"most" doc:"Largest ratio of declared to true run time."`
	Fails   unit.Duration `yaml:"fails" doc:"When the first worker begins to fail everything; 0s for never."`
	Kinds   []Kind        `yaml:"kinds" doc:"Kinds of job."`
	Seeds   []uint64      `yaml:"seeds" doc:"Seeds to run."`
}

// Kind describes one kind of job: its share of the work and the distribution of
// its sizes and run times.
type Kind struct {
	Name     string        `yaml:"name" doc:"Name of the kind."`
	Share    float64       `yaml:"share" doc:"Share of the offered work."`
	Tasks    int           `yaml:"tasks" doc:"Most tasks of a job."`
	Cores    float64       `yaml:"cores" doc:"Cores of a task."`
	Memory   int64         `yaml:"memory" doc:"Memory of a task in MiB."`
	Median   unit.Duration `yaml:"median" doc:"Median run time of a task."`
	Sigma    float64       `yaml:"sigma" doc:"Spread of run times."`
	Deadline unit.Duration `yaml:"deadline" doc:"Time from acceptance to the deadline."`
	Short    bool          `yaml:"short" doc:"Whether the wait of the kind's tasks is measured."`
}

// Read reads and checks an experiment file.
func Read(file string) (Config, error) {
	var c Config
	data, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	t, err := tree.Parse(file, data)
	if err != nil {
		return c, err
	}
	if err := t.Decode(&c); err != nil {
		return c, err
	}
	check := tree.Check{Tree: t}
	check.Want(c.Workers > 0, "workers", "at least one worker is needed")
	check.Want(c.For > 0 || c.Backlog > 0, "for", "for or backlog must be above 0")
	check.Want(len(c.Loads) > 0, "loads", "at least one load is needed")
	check.Want(len(c.Seeds) > 0, "seeds", "at least one seed is needed")
	check.Want(len(c.Kinds) > 0, "kinds", "at least one kind is needed")
	check.Want(c.Least > 0 && c.Most >= c.Least, "least", "least must be above 0 and at most most")
	return c, check.Err()
}

// size returns the size of a worker.
func (c Config) size() vect.Size {
	return vect.Size{Cores: int64(c.Cores * 1000), Memory: c.Memory}
}

// arrival is one scheduled job.
type arrival struct {
	at  time.Duration
	job wire.Job
	// short marks jobs whose wait is measured.
	short bool
	// runTimes holds the true run time of each task.
	runTimes []time.Duration
}

// coreSeconds returns the work of the job in core seconds.
func (a arrival) coreSeconds(k Kind) float64 {
	sum := 0.0
	for _, d := range a.runTimes {
		sum += d.Seconds() * k.Cores
	}
	return sum
}

// arrivals generates the jobs of a run from a seed, in order of arrival. Jobs of
// each kind are added until they make up the kind's share of the offered work.
func (c Config) arrivals(load float64, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 31))
	duration := c.For.Std()
	if duration == 0 {
		duration = c.Backlog.Std()
	}
	work := load * float64(c.Workers) * c.Cores * duration.Seconds()
	var out []arrival
	for _, k := range c.Kinds {
		for left := k.Share * work; left > 0; {
			a := c.arrival(rng, k, len(out))
			left -= a.coreSeconds(k)
			out = append(out, a)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// arrival draws the n-th job, of kind k.
func (c Config) arrival(rng *rand.Rand, k Kind, n int) arrival {
	runTime := float64(k.Median) * math.Exp(k.Sigma*rng.NormFloat64())
	// The ratio of declared to true run time is uniform on a logarithmic scale.
	ratio := c.Least * math.Pow(c.Most/c.Least, rng.Float64())
	a := arrival{short: k.Short}
	if c.For > 0 {
		a.at = time.Duration(rng.Int64N(int64(c.For)))
	}
	a.job = wire.Job{
		Name:       k.Name + "-" + strconv.Itoa(n),
		Team:       "ndiaye",
		Kind:       k.Name,
		Tasks:      1 + rng.IntN(k.Tasks),
		Size:       vect.Size{Cores: int64(k.Cores * 1000), Memory: k.Memory},
		Runtime:    time.Duration(runTime * ratio),
		Actual:     time.Duration(runTime),
		Deadline:   k.Deadline.Std(),
		Idempotent: true,
		Checkpoint: !k.Short,
	}
	for range a.job.Tasks {
		d := a.job.Actual
		if rng.Float64() < c.Long {
			d = time.Duration(float64(k.Median) * c.Factor)
		}
		a.runTimes = append(a.runTimes, d)
	}
	return a
}
