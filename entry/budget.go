package entry

import "sync"

// The most retries that a budget saves up.
const (
	maxAccountSaved = 10
	maxDaemonSaved  = 100
)

// budget limits retries to a share of requests, for each client account and
// for the whole daemon. Saved up retries let a short fault pass unseen; a long
// one can't multiply the load.
type budget struct {
	mu       sync.Mutex
	daemon   float64
	accounts map[string]float64
}

func newBudget() *budget {
	return &budget{daemon: maxDaemonSaved, accounts: map[string]float64{}}
}

// earn notes an accepted request of an account.
func (b *budget) earn(account string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[account] = min(maxAccountSaved, b.saved(account)+share)
	b.daemon = min(maxDaemonSaved, b.daemon+share)
}

// spend reports whether an account may retry now, and counts the retry.
func (b *budget) spend(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.saved(account)
	if saved < 1 || b.daemon < 1 {
		return false
	}
	b.accounts[account] = saved - 1
	b.daemon--
	return true
}

func (b *budget) saved(account string) float64 {
	saved, ok := b.accounts[account]
	if !ok {
		return maxAccountSaved
	}
	return saved
}
