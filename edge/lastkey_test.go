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
	accounts := c.putAccounts
	for i, left := range []string{
		`,"tenants":[{"name":"guild","api_keys":[]}]`,
		`,"tenants":[{"name":"guild","api_keys":[]},{"name":"smiths","api_keys":[]}]`,
		`,"tenants":[]`,
		``, // the list is left out
	} {
		accounts(2+2*i, left)
		c.awaitRefused(t, "good-key")
		for _, key := range []string{"good-key", "other-key", ""} {
			is.True(c.statuses(key, http.StatusUnauthorized))
		}
		accounts(3+2*i, `,"tenants":[{"name":"guild","api_keys":["good-key"]}]`)
		await(t, "the key that is given anew serves", 5*time.Second, served("good-key"))
	}
}

// Guards against CONFIG and ROUTE: a daemon that starts after a version which leaves the list
// of client accounts out, as all others are gone, took it for one that never had a list.
func TestListOfAccountsIsLeftOutBeforeAStart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	is := is.New(t)
	c := newCluster(t, 0, 1)
	await(t, "the key serves", 10*time.Second, func() bool { return c.statuses("good-key", http.StatusOK) })
	c.putAccounts(2, "")
	c.awaitRefused(t, "good-key")
	c.cancels[0]()
	c.startDaemon(t, 1)
	c.daemons = c.daemons[1:]
	c.awaitRefused(t, "good-key")
	for _, key := range []string{"good-key", "other-key", ""} {
		is.True(c.statuses(key, http.StatusUnauthorized))
	}
	c.putAccounts(3, `,"tenants":[{"name":"guild","api_keys":["other-key"]}]`)
	await(t, "a key that is given anew serves", 5*time.Second, func() bool { return c.statuses("other-key", http.StatusOK) })
}

// A deployment that never had client accounts serves requests with any key and without one,
// at daemons that start later too, and after a drill of the store.
func TestThereNeverWereAccounts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	c := &cluster{withoutAccounts: true}
	startCluster(t, c, 0, 2)
	served := func() bool {
		return c.statuses("", http.StatusOK) && c.statuses("other-key", http.StatusOK)
	}
	await(t, "no key is needed", 10*time.Second, served)
	c.putAccounts(2, "")
	c.startDaemon(t, 2)
	await(t, "no key is needed by a later version", 5*time.Second, served)
	older := c.store.Copy()
	c.cancels[0]()
	c.startDaemon(t, 3)
	c.store.Restore(older)
	c.daemons = c.daemons[1:]
	await(t, "no key is needed after a drill", catchUpBound, served)
	c.store.Restore(older)
	c.replace(t, 3)
	await(t, "no key is needed after a drill in which all are replaced", recoverBound, served)
}

// putAccounts writes a version of the configuration with a list of client accounts: the field,
// with the comma before it, or nothing.
func (c *cluster) putAccounts(version int, list string) {
	config := strings.Replace(clusterConfig, clusterAccounts, list, 1)
	c.store.Put("op/config", []byte(strings.Replace(config, "%d", strconv.Itoa(version), 1)))
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
