package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
)

// keyring finds the client account of a bearer key. It is made anew with each
// revision of the configuration.
type keyring struct {
	mu       sync.Mutex
	document *view.View
	accounts map[[sha256.Size]byte]string
}

// account returns the client account that a request's bearer key belongs to.
// The key's hash is looked up, never the key, so the time that it takes says
// nothing of how much of a key is right.
func (k *keyring) account(v *view.View, r *http.Request) (string, bool) {
	key, ok := bearer(r)
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := k.at(v)[sum]
	if !ok {
		return "", false
	}
	return name, holds(v.Document.Accounts[name], sum)
}

// holds compares a key's hash with all of an account's in constant time.
func holds(account conf.Account, sum [sha256.Size]byte) bool {
	want := hex.EncodeToString(sum[:])
	found := 0
	for _, key := range account.Keys {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(key)), []byte(want))
	}
	return found == 1
}

// at returns the accounts by key hash under a view.
func (k *keyring) at(v *view.View) map[[sha256.Size]byte]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.document != v {
		k.document = v
		k.accounts = hashes(v.Document.Accounts)
	}
	return k.accounts
}

func hashes(accounts map[string]conf.Account) map[[sha256.Size]byte]string {
	found := map[[sha256.Size]byte]string{}
	for name, account := range accounts {
		for _, key := range account.Keys {
			var sum [sha256.Size]byte
			data, err := hex.DecodeString(key)
			if err == nil && len(data) == len(sum) {
				copy(sum[:], data)
				found[sum] = name
			}
		}
	}
	return found
}

// bearer returns the key of the one Authorization header.
func bearer(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "bearer") && key != ""
}
