package chart

import (
	"bytes"
	_ "embed" // the charts' files
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

//go:embed replica.json
var replicaFile []byte

//go:embed instance.json
var instanceFile []byte

// Chart is a state chart: for each state the events that it takes, and the
// state to which each of them leads. A state that takes no event is an end.
type Chart struct {
	Name   string                       `json:"name"`
	Start  string                       `json:"start"`
	States map[string]map[string]string `json:"states"`
}

// Replica returns the chart of a replica.
var Replica = sync.OnceValue(func() *Chart { return mustLoad(replicaFile) })

// Instance returns the chart of an instance.
var Instance = sync.OnceValue(func() *Chart { return mustLoad(instanceFile) })

// mustLoad panics where a file that was built in is wrong.
func mustLoad(file []byte) *Chart {
	chart, err := Load(file)
	if err != nil {
		panic(err)
	}
	return chart
}

// Load reads a chart and checks it.
func Load(file []byte) (*Chart, error) {
	var chart Chart
	decoder := json.NewDecoder(bytes.NewReader(file))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&chart); err != nil {
		return nil, &Error{Op: "load", Kind: Syntax, Name: chart.Name, Err: err}
	}
	if err := chart.Check(); err != nil {
		return nil, err
	}
	return &chart, nil
}

// Next returns the state to which an event leads. It is false, and the state
// stays, where the state does not take the event.
func (c *Chart) Next(state, event string) (string, bool) {
	next, ok := c.States[state][event]
	if !ok {
		return state, false
	}
	return next, true
}

// Check reports the first fault of a chart: a transition to a state that
// doesn't exist, a state that can't be reached, or a name that the chart and
// the code don't share.
func (c *Chart) Check() error {
	if _, ok := c.States[c.Start]; !ok {
		return c.fault(Undeclared, c.Start)
	}
	if err := c.checkTargets(); err != nil {
		return err
	}
	if err := c.checkNames(); err != nil {
		return err
	}
	return c.checkReach()
}

func (c *Chart) checkTargets() error {
	for _, state := range slices.Sorted(maps.Keys(c.States)) {
		for _, target := range c.States[state] {
			if _, ok := c.States[target]; !ok {
				return c.fault(Undeclared, target)
			}
		}
	}
	return nil
}

func (c *Chart) checkNames() error {
	used := map[string]bool{}
	for state, events := range c.States {
		used[state] = true
		for event := range events {
			used[event] = true
		}
	}
	for _, name := range names[c.Name] {
		if !used[name] {
			return c.fault(Unused, name)
		}
		delete(used, name)
	}
	for _, name := range slices.Sorted(maps.Keys(used)) {
		return c.fault(Undeclared, name)
	}
	return nil
}

// checkReach walks the chart from its start. Where the chart has an end, each
// state has to lead to it.
func (c *Chart) checkReach() error {
	ends := false
	for _, events := range c.States {
		ends = ends || len(events) == 0
	}
	reached := c.reach(c.Start)
	for _, state := range slices.Sorted(maps.Keys(c.States)) {
		if !reached[state] {
			return c.fault(Unreachable, state)
		}
		if ends && !c.leadsToEnd(state) {
			return c.fault(Trap, state)
		}
	}
	return nil
}

func (c *Chart) leadsToEnd(state string) bool {
	for reached := range c.reach(state) {
		if len(c.States[reached]) == 0 {
			return true
		}
	}
	return false
}

// reach returns the states that can follow a state, itself included.
func (c *Chart) reach(from string) map[string]bool {
	reached := map[string]bool{from: true}
	open := []string{from}
	for len(open) > 0 {
		state := open[0]
		open = open[1:]
		for _, target := range c.States[state] {
			if !reached[target] {
				reached[target] = true
				open = append(open, target)
			}
		}
	}
	return reached
}

func (c *Chart) fault(kind Kind, name string) error {
	return &Error{Op: "check " + c.Name, Kind: kind, Name: name}
}
