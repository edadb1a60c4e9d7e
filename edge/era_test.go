package edge

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/watch"
)

// keeperTerm returns the keeper's record in the store.
func (c *cluster) keeperTerm(t *testing.T) watch.Term {
	t.Helper()
	item, err := platform.NewStore(c.storeServer.Listener.Addr().String(), http.DefaultClient.Do).Get(t.Context(), platform.KeeperKey)
	if err != nil {
		return watch.Term{}
	}
	var term watch.Term
	if err := json.Unmarshal(item.Value, &term); err != nil {
		t.Fatal(err)
	}
	return term
}

// The store comes back from a copy that is older than the daemons' records, the term
// of the keeper and the removal of a key. The key stays revoked at every daemon, the
// groups go on serving, and a keeper with a higher term takes office.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 4, 1)
	await(t, "a stream is served", 10*time.Second, func() bool {
		status, _ := c.call(c.daemons[0].Caller, "/talk/", c.nextID(), "good-key")
		return status == http.StatusOK
	})
	older := c.store.Copy()
	c.startDaemon(t, 1)
	c.configure(2, "other-key")
	c.awaitRefused(t, "good-key")
	before := c.keeperTerm(t)
	c.store.Restore(older)
	c.startDaemon(t, 2) // it hears of the newer configuration from the others
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for _, d := range c.daemons {
			status, _ := c.call(d.Caller, "/file/", c.nextID(), "good-key")
			is.True(status != http.StatusOK)
		}
	}
	await(t, "a keeper of the new era", 5*time.Second, func() bool {
		term := c.keeperTerm(t)
		return term.Era == before.Era+1 && term.Number > before.Number
	})
	c.configure(2, "other-key")
	await(t, "served everywhere", 5*time.Second, func() bool {
		for _, d := range c.daemons {
			if status, _ := c.call(d.Caller, "/talk/", c.nextID(), "other-key"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	await(t, "all daemons are listed again", 5*time.Second, func() bool { return len(c.addresses(2)) == 3 })
}
