// Package chart loads and interprets state charts from YAML files.
//
// A chart lists its states. Each state lists the events that it handles, each
// with the next state, and the events that it ignores. Load checks that the
// initial state and the target of every transition exist, that every state can
// be reached, and that every state handles or ignores every event of the chart.
//
// A chart can be interpreted in two ways. Machine returns a state machine of the
// package qmuntal/stateless, for use where transitions are rare. Next looks the
// transition up in a table that Load builds, for use on the request path. A test
// checks that both agree for every state and event of every chart.
package chart

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/qmuntal/stateless"
	"go.yaml.in/yaml/v3"
)

// Chart is a checked state chart. It is immutable after Load.
type Chart struct {
	name    string
	initial string
	states  []string
	events  []string
	// next and ignored are indexed by state and event.
	next    map[[2]string]string
	ignored map[[2]string]bool
}

type chartFile struct {
	Name    string               `yaml:"name"`
	Initial string               `yaml:"initial"`
	States  map[string]stateFile `yaml:"states"`
}

type stateFile struct {
	On     map[string]string `yaml:"on"`
	Ignore []string          `yaml:"ignore"`
}

// Load reads and checks a chart.
func Load(data []byte) (*Chart, error) {
	var f chartFile
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(&f); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	c := &Chart{
		name:    f.Name,
		initial: f.Initial,
		next:    map[[2]string]string{},
		ignored: map[[2]string]bool{},
	}
	c.addStates(f)
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("chart %s: %w", f.Name, err)
	}
	return c, nil
}

// Must is like Load but panics on an error. It is for charts that are embedded
// in the program.
func Must(data []byte) *Chart {
	c, err := Load(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) addStates(f chartFile) {
	events := map[string]bool{}
	for s, sf := range f.States {
		c.states = append(c.states, s)
		for e, to := range sf.On {
			events[e] = true
			c.next[[2]string{s, e}] = to
		}
		for _, e := range sf.Ignore {
			events[e] = true
			c.ignored[[2]string{s, e}] = true
		}
	}
	for e := range events {
		c.events = append(c.events, e)
	}
	slices.Sort(c.states)
	slices.Sort(c.events)
}

func (c *Chart) check() error {
	if !slices.Contains(c.states, c.initial) {
		return fmt.Errorf("initial state %q is not defined", c.initial)
	}
	for k, to := range c.next {
		if !slices.Contains(c.states, to) {
			return fmt.Errorf("state %s: event %s leads to undefined state %q", k[0], k[1], to)
		}
		if c.ignored[k] {
			return fmt.Errorf("state %s: event %s is both handled and ignored", k[0], k[1])
		}
	}
	if err := c.checkEveryEventHandled(); err != nil {
		return err
	}
	return c.checkEveryStateReachable()
}

func (c *Chart) checkEveryEventHandled() error {
	for _, s := range c.states {
		for _, e := range c.events {
			k := [2]string{s, e}
			if _, ok := c.next[k]; !ok && !c.ignored[k] {
				return fmt.Errorf("state %s: event %s is neither handled nor ignored", s, e)
			}
		}
	}
	return nil
}

// checkEveryStateReachable searches breadth-first from the initial state.
func (c *Chart) checkEveryStateReachable() error {
	seen := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, e := range c.events {
			to, ok := c.next[[2]string{s, e}]
			if ok && !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	for _, s := range c.states {
		if !seen[s] {
			return fmt.Errorf("state %s can't be reached", s)
		}
	}
	return nil
}

// Initial returns the state that the chart starts in.
func (c *Chart) Initial() string { return c.initial }

// States returns the names of all states, sorted.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Events returns the names of all events, sorted.
func (c *Chart) Events() []string { return slices.Clone(c.events) }

// Next returns the state after an event, and whether the state handles the
// event. If not, because the event is ignored or unknown, the state stays the
// same.
func (c *Chart) Next(state, event string) (string, bool) {
	to, ok := c.next[[2]string{state, event}]
	if !ok {
		return state, false
	}
	return to, true
}

// Machine returns a qmuntal/stateless state machine in the given state.
func (c *Chart) Machine(state string) *stateless.StateMachine {
	m := stateless.NewStateMachine(state)
	for _, s := range c.states {
		cfg := m.Configure(s)
		for _, e := range c.events {
			c.configureEvent(cfg, s, e)
		}
	}
	return m
}

func (c *Chart) configureEvent(cfg *stateless.StateConfiguration, state, event string) {
	to, ok := c.next[[2]string{state, event}]
	switch {
	case !ok:
		cfg.Ignore(event)
	case to == state:
		cfg.PermitReentry(event)
	default:
		cfg.Permit(event, to)
	}
}

// Diagram returns the chart as a Mermaid state diagram.
func (c *Chart) Diagram() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.initial)
	for _, s := range c.states {
		for _, e := range c.events {
			if to, ok := c.next[[2]string{s, e}]; ok {
				fmt.Fprintf(&b, "    %s --> %s: %s\n", s, to, e)
			}
		}
	}
	return b.String()
}
