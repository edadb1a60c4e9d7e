package entry

import "sync"

// The largest balances, in retries.
const (
	maxAccountBalance = 10
	maxDaemonBalance  = 100
)

// startBalance is the balance of a daemon that starts, in retries. What it spent before, if
// it was killed, isn't known: a daemon that is started again and again must not save up anew
// each time.
const startBalance = 10

// budget limits retries to a share of the requests, for each client account and
// for the whole daemon. Each request adds a share of a retry to the balance,
// and a retry takes one off. The balance hides a short fault from callers; a
// long fault can't multiply the load.
type budget struct {
	mu       sync.Mutex
	daemon   float64
	accounts map[string]float64
}

func newBudget() *budget {
	return &budget{daemon: startBalance, accounts: map[string]float64{}}
}

// deposit adds an accepted request's share of a retry to the balances.
func (b *budget) deposit(account string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[account] = min(maxAccountBalance, b.balance(account)+share)
	b.daemon = min(maxDaemonBalance, b.daemon+share)
}

// withdraw reports whether an account may retry now, and counts the retry.
func (b *budget) withdraw(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(account)
	if balance < 1 || b.daemon < 1 {
		return false
	}
	b.accounts[account] = balance - 1
	b.daemon--
	return true
}

// balance returns the retries that an account may make now. A new account
// begins with the largest balance.
func (b *budget) balance(account string) float64 {
	balance, ok := b.accounts[account]
	if !ok {
		return maxAccountBalance
	}
	return balance
}
