package pick

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// A report of a peer that changes the endpoints that this daemon uses is logged
// when it is new, and not each time that it is repeated.
func TestPeerReportsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFixture("a")
		var lines []string
		p.options.Log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		open := gossip.Message{
			From: site.Daemon{ID: "d2"}, Revision: 7, Endpoints: map[string]gossip.EndpointLoad{"a": {Stalled: true}},
			Groups: map[string]gossip.Group{"a": {Name: "g1", Epoch: 3, Model: "m", Open: true}},
		}
		for range 3 {
			p.Update([]gossip.Message{open}, nil)
			time.Sleep(100 * time.Millisecond)
		}
		shut := open
		shut.Endpoints = nil
		shut.Groups = map[string]gossip.Group{"a": {Name: "g1", Epoch: 3, Model: "m"}}
		p.Update([]gossip.Message{shut}, nil)
		is.Equal(lines, []string{
			`"level"=0 "msg"="group told" "endpoint"="a" "group"="g1" "epoch"=3 "model"="m" "open"=true`,
			`"level"=0 "msg"="endpoint said to stand still" "endpoint"="a" "peer"="d2" "revision"=7`,
			`"level"=0 "msg"="group told" "endpoint"="a" "group"="g1" "epoch"=3 "model"="m" "open"=false`,
		})
	})
}
