package site

import (
	"fmt"
	"testing"

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
