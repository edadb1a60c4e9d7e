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

// keyring finds the client account of a bearer key. Its index is rebuilt when
// the configuration changes.
type keyring struct {
	mu       sync.Mutex
	view     *view.View
	accounts map[[sha256.Size]byte]string
}

// account returns the client account to which a request's bearer key belongs.
// The lookup is by the key's hash, never by the key, so that its duration
// doesn't reveal how much of a guessed key is right.
func (k *keyring) account(v *view.View, r *http.Request) (string, bool) {
	key, ok := bearer(r)
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := k.accountsByHash(v)[sum]
	if !ok {
		return "", false
	}
	return name, hasKey(v.Document.Accounts[name], sum)
}

// hasKey reports whether an account has a key with this hash. It compares with
// all keys, in constant time.
func hasKey(account conf.Account, sum [sha256.Size]byte) bool {
	want := hex.EncodeToString(sum[:])
	found := 0
	for _, key := range account.Keys {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(key)), []byte(want))
	}
	return found == 1
}

// accountsByHash returns the names of the accounts by key hash.
func (k *keyring) accountsByHash(v *view.View) map[[sha256.Size]byte]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view != v {
		k.view = v
		k.accounts = hashKeys(v.Document.Accounts)
	}
	return k.accounts
}

// hashKeys indexes accounts by the SHA-256 hashes of their keys. Hashes that
// can't be decoded are left out.
func hashKeys(accounts map[string]conf.Account) map[[sha256.Size]byte]string {
	byHash := map[[sha256.Size]byte]string{}
	for name, account := range accounts {
		for _, key := range account.Keys {
			var sum [sha256.Size]byte
			data, err := hex.DecodeString(key)
			if err == nil && len(data) == len(sum) {
				copy(sum[:], data)
				byHash[sum] = name
			}
		}
	}
	return byHash
}

// bearer returns the key of the Authorization header, which must be single.
func bearer(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "bearer") && key != ""
}
