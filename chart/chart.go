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

// Chart is a state chart. States maps each state to the events that it accepts,
// and each of these events to the next state. A state that accepts no event is
// a final state.
type Chart struct {
	Name   string                       `json:"name"`
	Start  string                       `json:"start"`
	States map[string]map[string]string `json:"states"`
}

// Replica returns the chart of a replica.
var Replica = sync.OnceValue(func() *Chart { return mustLoad(replicaFile) })

// Instance returns the chart of an instance.
var Instance = sync.OnceValue(func() *Chart { return mustLoad(instanceFile) })

// mustLoad loads an embedded chart and panics if it is invalid.
func mustLoad(file []byte) *Chart {
	chart, err := Load(file)
	if err != nil {
		panic(err)
	}
	return chart
}

// Load decodes a chart from JSON and checks it. The kind of its error is
// Syntax if the JSON can't be decoded; the other kinds come from Check.
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

// Next returns the state to which an event leads. If the state doesn't accept
// the event, Next returns the state unchanged and false.
func (c *Chart) Next(state, event string) (string, bool) {
	next, ok := c.States[state][event]
	if !ok {
		return state, false
	}
	return next, true
}

// Check returns an Error for the first fault that it finds: a start state or
// the target of a transition that doesn't exist, a name that is in the chart but
// not in the code or the reverse, a state that can't be reached from the start,
// or a state from which no final state can be reached.
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

// checkTargets checks that the target of each transition is a state.
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

// checkNames checks that the chart's states and events are just those that
// names lists for it.
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

// checkReach checks that each state can be reached from the start. If the chart
// has a final state, one has to be reachable from each state.
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

// leadsToEnd reports whether a final state can be reached from a state.
func (c *Chart) leadsToEnd(state string) bool {
	for reached := range c.reach(state) {
		if len(c.States[reached]) == 0 {
			return true
		}
	}
	return false
}

// reach returns the states that can be reached from a state, itself included.
func (c *Chart) reach(from string) map[string]bool {
	reached := map[string]bool{from: true}
	queue := []string{from}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, target := range c.States[state] {
			if !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	return reached
}

func (c *Chart) fault(kind Kind, name string) error {
	return &Error{Op: "check " + c.Name, Kind: kind, Name: name}
}
