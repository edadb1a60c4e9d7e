package gossip

import (
	"testing"

	"github.com/matryer/is"
)

// A relay's sum adds up what its daemons sent, without what the reader sent itself. What
// all sent in the window is known to each alike.
func TestSumOfRetries(t *testing.T) {
	is := is.New(t)
	own := Message{Retries: map[string]Retries{"s": {Asked: 10, Again: 3, Known: 20}}}
	other := Message{Retries: map[string]Retries{"s": {Asked: 5, Again: 4, Known: 25}, "t": {Asked: 1}}}
	sum := emptySum(Message{})
	sum.add(own)
	sum.add(other)
	is.Equal(sum.Retries["s"], Retries{Asked: 15, Again: 7, Known: 25})
	rest := sum.without(own)
	is.Equal(rest.Retries, map[string]Retries{"s": {Asked: 5, Again: 4, Known: 25}, "t": {Asked: 1}})
	is.Equal(sum.without(Message{Retries: map[string]Retries{"s": {Asked: 99}}}).Retries["s"].Asked, 0) // it has changed since
}
