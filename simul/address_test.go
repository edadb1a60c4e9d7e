package simul

import (
	"testing"

	"github.com/matryer/is"
)

// Two processes whose IDs lead to the same block of ports must not get the same ones: a
// daemon of one could not listen after its restart, and callers reached the other's.
func TestTwoProcessesGetTheSamePorts(t *testing.T) {
	is := is.New(t)
	first := claim(7)
	defer func() { _ = first.guard.Close() }()
	second := claim(7 + blocks)
	defer func() { _ = second.guard.Close() }()
	is.True(first.last < second.first || second.last < first.first)
}

// A process that asks for more addresses than its block has gets those again that are
// free.
func TestAddressesAreReused(t *testing.T) {
	is := is.New(t)
	for range 3 * portsPerBlock {
		is.True(Address() != "")
	}
	own.Lock()
	defer own.Unlock()
	is.Equal(len(own.blocks), 1)
}
