package edge

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against CONFIG and ROUTE: when the last key of the client accounts was taken away,
// every daemon served requests with that key, with any other and without one.
func TestLastKeyIsTakenAway(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 0, 2)
	served := func(key string) func() bool {
		return func() bool { return c.statuses(key, http.StatusOK) }
	}
	await(t, "the key serves", 10*time.Second, served("good-key"))
	accounts := func(version int, list string) {
		config := strings.Replace(clusterConfig, `,"tenants":[{"name":"guild","api_keys":[%s]}]`, list, 1)
		c.store.Put("op/config", []byte(strings.Replace(config, "%d", strconv.Itoa(version), 1)))
	}
	for i, left := range []string{
		`,"tenants":[{"name":"guild","api_keys":[]}]`,
		`,"tenants":[{"name":"guild","api_keys":[]},{"name":"smiths","api_keys":[]}]`,
		`,"tenants":[]`,
	} {
		accounts(2+2*i, left)
		c.awaitRefused(t, "good-key")
		for _, key := range []string{"good-key", "other-key", ""} {
			is.True(c.statuses(key, http.StatusUnauthorized))
		}
		accounts(3+2*i, `,"tenants":[{"name":"guild","api_keys":["good-key"]}]`)
		await(t, "the key that is given anew serves", 5*time.Second, served("good-key"))
	}
	accounts(8, "")
	await(t, "no key is needed without accounts", 5*time.Second, served(""))
}

// statuses reports whether all daemons answer requests with a key by a status.
func (c *cluster) statuses(key string, want int) bool {
	for _, d := range c.daemons {
		if status, _ := c.call(d.Caller, "/file/", c.nextID(), key); status != want {
			return false
		}
	}
	return true
}
