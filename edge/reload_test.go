package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/simul"
)

// New times and retry limits take effect at once, new addresses at the next start, and
// the log says so.
func TestReload(t *testing.T) {
	is := is.New(t)
	logs := &logBuffer{}
	s := Settings{ID: "d", Peer: simul.Address(), Store: simul.Address(), Caller: "127.0.0.1:1", Revoke: 5000, Apply: 2000, Grace: 8, Ratio: 0.2, Extra: 100, Window: 10}
	d, err := New(Options{Settings: s, Log: funcr.NewJSON(logs.write, funcr.Options{}), Registry: prometheus.NewRegistry()})
	is.NoErr(err)
	next := s
	next.Revoke = 9000
	next.Apply = 3000
	next.Extra = 10
	next.Caller = "127.0.0.1:2"
	d.Reload(next)
	is.Equal(d.settings().revoke(), 9*time.Second)
	is.Equal(d.settings().watchPause(), maxPause)
	is.Equal(d.budget().Extra, 10*budgetFraction)
	is.Equal(logs.count("settings in force"), 1)
	is.True(strings.Contains(logs.lines[0], `"later":"caller"`))
}
