package entry

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against BUDGET: each start of a daemon that is killed in series saved up a hundred
// retries anew.
func TestStartsSaveUpNoRetries(t *testing.T) {
	const (
		starts   = 5
		requests = 20 // of each start, all of which fail
		share    = 0.2
	)
	is := is.New(t)
	retries := 0
	for range starts {
		b := newBudget()
		for i := range requests {
			account := strconv.Itoa(i)
			b.deposit(account, share)
			for b.withdraw(account) {
				retries++
			}
		}
	}
	is.True(retries <= starts*(10+4))
	b := newBudget()
	for range 1000 {
		b.deposit("a", share)
	}
	is.Equal(b.daemon, float64(maxDaemonBalance)) // saved up by requests
}
