package daemon_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/admin"
)

// putSection stores a section of the document.
func (c *cluster) putSection(name, value string) {
	put := admin.Put{ID: name, Base: 1, Who: "test", Sections: map[string]json.RawMessage{name: json.RawMessage(value)}}
	c.waitUntil(name+" is accepted", func() bool { return c.admin(http.MethodPut, "config", put, nil) })
	time.Sleep(5 * time.Second) // until it is in force everywhere
}

// TestSilentServiceIsNotCutOff calls a service that sends nothing for 45 s, for which
// its timeout of 2 min leaves time.
func TestSilentServiceIsNotCutOff(t *testing.T) {
	withCluster(t, func(c *cluster) {
		is := is.New(c.t)
		c.putSection("services", `{"ledger":{"addresses":["plain:80"],"accounts":["guild"],"once":true,"timeout":"2m"}}`)
		c.plain.Delay(45 * time.Second)
		got := c.send(c.network.Client("caller"), "http://d1:80/services/ledger/x", "x", "slow", false)
		is.NoErr(got.err)
		is.Equal(got.reason.Code, "")
		is.Equal(got.status, 200)
	})
}

// TestShutdownAwaitsLongRequests stops a daemon while it has a call that takes 11 min,
// for which its limits leave time.
func TestShutdownAwaitsLongRequests(t *testing.T) {
	withCluster(t, func(c *cluster) {
		is := is.New(c.t)
		c.putSection("services", `{"ledger":{"addresses":["plain:80"],"accounts":["guild"],"once":true,"timeout":"20m"}}`)
		c.putSection("limits", `{"entries":"1s","request":"20m"}`)
		c.plain.Delay(11 * time.Minute)
		stopped := make(chan time.Time, 1) // when the process would have ended
		time.AfterFunc(time.Second, func() {
			c.daemons["d1"]()
			stopped <- time.Now()
		})
		got := c.send(c.network.Client("caller"), "http://d1:80/services/ledger/x", "x", "slow", false)
		is.NoErr(got.err)
		is.Equal(got.reason.Code, "")
		is.Equal(got.status, 200)
		answered := time.Now()
		is.True((<-stopped).After(answered))
	})
}

// putEdit sends an edit to d1 and returns the error of a connection that was made and
// ended without an answer.
func (c *cluster) putEdit(id string) error {
	body := fmt.Sprintf(`{"id":%q,"base":1,"who":"test","sections":{"limits":{"entries":"1s"}}}`, id)
	r, err := http.NewRequest(http.MethodPut, "http://d1:82/admin/v1/config", strings.NewReader(body))
	if err != nil {
		return err
	}
	operator := c.network.Client("operator")
	operator.Transport.(*http.Transport).DisableKeepAlives = true
	operator.Timeout = 20 * time.Second
	response, err := operator.Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestShutdownAnswersEdits stops a daemon to which edits are sent. They take 4 s, since
// the store is down. Each must be answered, be it by a refusal.
func TestShutdownAnswersEdits(t *testing.T) {
	withCluster(t, func(c *cluster) {
		is := is.New(c.t)
		c.store.Down(true)
		stopped := make(chan struct{})
		go func() {
			c.daemons["d1"]()
			close(stopped)
		}()
		var edits sync.WaitGroup
		for i := range 60 {
			edits.Go(func() {
				time.Sleep(time.Duration(i) * 470 * time.Millisecond)
				if err := c.putEdit(fmt.Sprint("edit-", i)); err != nil {
					c.t.Errorf("edit %d: %v", i, err)
				}
			})
		}
		edits.Wait()
		<-stopped
		c.store.Down(false)
		is.True(c.putEdit("last") == nil)
	})
}
