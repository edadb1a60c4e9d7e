package chart

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestChartsOfTheProgramAreClosed checks the embedded charts, so that no
// transition leads to a missing state and no name differs from the code's.
func TestChartsOfTheProgramAreClosed(t *testing.T) {
	is := is.New(t)
	is.NoErr(Replica().Check())
	is.NoErr(Instance().Check())
}

// TestNextKeepsTheStateWhereAnEventDoesNotApply checks that an event that the
// state doesn't accept changes nothing and is reported as such.
func TestNextKeepsTheStateWhereAnEventDoesNotApply(t *testing.T) {
	is := is.New(t)
	next, ok := Replica().Next(Gone, Mend)
	is.Equal(next, Gone)
	is.True(!ok)
	next, ok = Replica().Next(Loading, Ready)
	is.Equal(next, Serving)
	is.True(ok)
}

// TestLoadRefusesFaultyCharts checks the kind of error for each fault that Load
// finds before it looks at reachability.
func TestLoadRefusesFaultyCharts(t *testing.T) {
	cases := []struct {
		name, file string
		kind       Kind
	}{
		{"no JSON", `{`, Syntax},
		{"unknown field", `{"notes":1}`, Syntax},
		{"no start", `{"start":"a","states":{}}`, Undeclared},
		{"unknown target", `{"start":"a","states":{"a":{"x":"b"}}}`, Undeclared},
		{"unknown name", `{"start":"a","states":{"a":{}}}`, Undeclared},
		{"missing name", `{"name":"replica","start":"loading","states":{"loading":{}}}`, Unused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Load([]byte(c.file))
			var fault *Error
			is.True(errors.As(err, &fault))
			is.Equal(fault.Kind, c.kind)
		})
	}
}

// TestCheckReachFindsIslandsAndTraps checks that a state that can't be reached
// is found, and one that never leads to the final state.
func TestCheckReachFindsIslandsAndTraps(t *testing.T) {
	is := is.New(t)
	island := Chart{Start: "a", States: map[string]map[string]string{"a": {}, "b": {"x": "a"}}}
	trap := Chart{Start: "a", States: map[string]map[string]string{"a": {"x": "b", "y": "c"}, "b": {"x": "b"}, "c": {}}}
	var fault *Error
	is.True(errors.As(island.checkReach(), &fault))
	is.Equal(fault.Kind, Unreachable)
	is.True(errors.As(trap.checkReach(), &fault))
	is.Equal(fault.Kind, Trap)
}
