package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With several engine services, all daemons and all calls in one daemon must get the
// same one, although Services is a map, which is iterated in random order.
func TestEngineServiceIsTheFirstByName(t *testing.T) {
	is := is.New(t)
	c := &Config{Services: map[string]Service{"plain": {Name: "plain"}}}
	_, found := c.EngineService()
	is.True(!found)
	for i := range 9 {
		name := fmt.Sprintf("s%d", 9-i)
		c.Services[name] = Service{Name: name, Engine: &Engine{}}
	}
	for range 50 {
		s, found := c.EngineService()
		is.True(found)
		is.Equal(s.Name, "s1")
	}
}

// A step is for all running requests, so that an answer takes a part of it; a prompt is read
// alone.
func TestWork(t *testing.T) {
	is := is.New(t)
	e := &Engine{Slots: 10, Step: 10 * time.Millisecond, PerSeq: time.Millisecond, ReadRate: 1000}
	is.Equal(e.Work(Model{Pace: 1}, 500, 100), 500*time.Millisecond+200*time.Millisecond)
	is.Equal(e.Work(Model{Pace: 0.5}, 500, 100), 350*time.Millisecond)
	is.Equal((&Engine{}).Work(Model{Pace: 1}, 500, 100), time.Duration(0)) // nothing is stated
}

func TestRanks(t *testing.T) {
	is := is.New(t)
	to := func(service string, priority, weight int) Route {
		return Route{Priority: priority, Shares: []Share{{Service: service, Weight: weight}}}
	}
	is.True((&Config{Routes: []Route{to("a", 0, 1), to("a", 1, 1)}}).Ranks("a"))
	is.True(!(&Config{Routes: []Route{to("a", 1, 1), to("b", 0, 1), to("a", 0, 0)}}).Ranks("a"))
	is.True(!(&Config{}).Ranks("a"))
}
