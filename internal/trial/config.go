// Package trial compares routing policies on the same arrivals in virtual
// time: late binding, which runs the cores of packages route and admit with a
// simulated network and simulated minions; simple baseline policies; and the
// limit, an ideal central queue without delays that always knows which slot is
// free.
package trial

import (
	"fmt"
	"math"
	"os"
	"time"

	"lagoonrack/internal/tree"
	"lagoonrack/internal/unit"
)

// Config describes an experiment, as read from an experiment file.
type Config struct {
	Name     string        `yaml:"name" doc:"Name of the experiment and of its report."`
	About    string        `yaml:"about" doc:"What the experiment asks."`
	Entries  []int         `yaml:"entries" doc:"Numbers of entries to try."`
	Minions  int           `yaml:"minions" doc:"Number of minions."`
	Slots    int           `yaml:"slots" doc:"Slots of a minion."`
	Spare    int           `yaml:"spare" doc:"Calls that an agent may hold beyond its slots."`
	Push     int           `yaml:"push" doc:"Calls beyond its free slots that an entry sends an agent unasked."`
	Near     unit.Duration `yaml:"near" doc:"One-way delay in an availability zone."`
	Far      unit.Duration `yaml:"far" doc:"One-way delay between availability zones."`
	Zones    int           `yaml:"zones" doc:"Number of availability zones."`
	Median   unit.Duration `yaml:"median" doc:"Median run time of short requests."`
	Sigma    float64       `yaml:"sigma" doc:"Spread of run times."`
	Long     float64       `yaml:"long" doc:"Share of stragglers."`
	Factor   float64       `yaml:"factor" doc:"Run time of a straggler in medians."`
	Loads    []float64     `yaml:"loads" doc:"Offered loads, as shares of all slots."`
	Crest    float64       `yaml:"crest" doc:"Load at the crest; 0 for a steady load."`
	Rise     unit.Duration `yaml:"rise" doc:"Time in which the load rises to the crest."`
	Hold     unit.Duration `yaml:"hold" doc:"Time that the crest lasts."`
	Warm     unit.Duration `yaml:"warm" doc:"Time before the measurement."`
	For      unit.Duration `yaml:"for" doc:"Time of the measurement, without a crest's."`
	Timeout  unit.Duration `yaml:"timeout" doc:"Callers' budget."`
	Tries    int           `yaml:"tries" doc:"How often a caller tries."`
	Hedge    bool          `yaml:"hedge" doc:"Whether requests are idempotent and hedged."`
	Rate     float64       `yaml:"rate" doc:"Budget of retries and hedges, as a share of requests."`
	Seeds    []uint64      `yaml:"seeds" doc:"Seeds to run."`
	Policies []string      `yaml:"policies" doc:"Policies to compare: late, robin, random, least or two."`
	Fault    Fault         `yaml:"fault" doc:"What goes wrong with the first minion."`
}

// Fault describes a temporary fault of the first minion.
type Fault struct {
	Kind   string        `yaml:"kind" doc:"slow, refuse, pause, or nothing."`
	At     unit.Duration `yaml:"at" doc:"When it begins."`
	For    unit.Duration `yaml:"for" doc:"How long it lasts."`
	Factor float64       `yaml:"factor" doc:"How many times slower."`
}

// Read reads an experiment file.
func Read(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, err
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of an experiment file. The file name is
// used in error messages.
func Parse(file string, data []byte) (Config, error) {
	var c Config
	t, err := tree.Parse(file, data)
	if err != nil {
		return c, err
	}
	if err := t.Decode(&c); err != nil {
		return c, err
	}
	return c, c.check(t)
}

// check reports all invalid values of the experiment.
func (c Config) check(t *tree.Tree) error {
	check := tree.Check{Tree: t}
	check.Want(c.Name != "", "name", "a name is needed")
	check.Want(len(c.Entries) > 0, "entries", "at least one number is needed")
	check.Want(c.Minions > 0 && c.Slots > 0, "minions", "minions and slots must be above 0")
	check.Want(c.Zones > 0, "zones", "%d is less than 1", c.Zones)
	check.Want(c.Median > 0, "median", "%s is not above 0", c.Median)
	check.Want(len(c.Loads) > 0, "loads", "at least one load is needed")
	check.Want(len(c.Seeds) > 0, "seeds", "at least one seed is needed")
	check.Want(c.For > 0, "for", "%s is not above 0", c.For)
	check.Want(c.Timeout > 0, "timeout", "%s is not above 0", c.Timeout)
	for i, p := range c.Policies {
		_, ok := policies[p]
		check.Want(ok, fmt.Sprintf("policies[%d]", i), "there is no policy %q", p)
	}
	switch c.Fault.Kind {
	case "", "slow", "refuse", "pause":
	default:
		check.Want(false, "fault.kind", "there is no fault %q", c.Fault.Kind)
	}
	return check.Err()
}

// mean returns the mean run time of all requests, stragglers included.
func (c Config) mean() time.Duration {
	m := float64(c.Median) * math.Exp(c.Sigma*c.Sigma/2)
	return time.Duration(m * (1 - c.Long + c.Long*c.Factor))
}

// capacity returns the number of requests per second that all slots together
// can serve.
func (c Config) capacity() float64 {
	return float64(c.Minions*c.Slots) / c.mean().Seconds()
}

// length returns the duration of the whole run.
func (c Config) length() time.Duration {
	return c.Warm.Std() + c.For.Std() + c.Rise.Std() + c.Hold.Std()
}

// load returns the offered load at a time: base, or during a crest a linear rise
// from base to the crest and then the crest.
func (c Config) load(base float64, at time.Duration) float64 {
	if c.Crest == 0 {
		return base
	}
	up := c.Warm.Std()
	top := up + c.Rise.Std()
	switch {
	case at < up || at >= top+c.Hold.Std():
		return base
	case at < top:
		return base + (c.Crest-base)*float64(at-up)/float64(top-up)
	}
	return c.Crest
}
