package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/mimic"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// page collects log lines.
type page struct {
	mu    sync.Mutex
	lines []string
}

func (p *page) write(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, line)
}

// count returns how many lines have a message.
func (p *page) count(message string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, line := range p.lines {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			n++
		}
	}
	return n
}

// The store is away for a while: the log says once that the daemon's record is
// no longer renewed, and once that it is again.
func TestRecordSaysWhenItIsNotRenewed(t *testing.T) {
	is := is.New(t)
	store := mimic.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	p := &page{}
	r := &record{
		self: site.Daemon{ID: "d"}, store: platform.NewStore(server.Listener.Addr().String(), client.Do),
		log: funcr.NewJSON(p.write, funcr.Options{}),
	}
	store.SetDown(true)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.run(ctx)
	}()
	await(t, "loss", 3*time.Second, func() bool { return p.count("record not renewed") == 1 })
	store.SetDown(false)
	await(t, "return", 3*time.Second, func() bool { return p.count("record renewed again") == 1 })
	stop()
	<-done
	is.Equal(p.count("record not renewed"), 1) // once for each loss, not for each try
	is.Equal(p.count("record renewed again"), 1)
}

// The budget is shared by all daemons that may serve: those that the store
// lists, heard or not, and those that are heard, listed or not.
func TestSharesCountWhoMayServe(t *testing.T) {
	is := is.New(t)
	listed := map[string]site.Daemon{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		listed[id] = site.Daemon{ID: id}
	}
	heard := []gossip.Message{{From: site.Daemon{ID: "b"}}, {From: site.Daemon{ID: "new"}}}
	is.Equal(among("a", listed, heard), 8)
	is.Equal(among("a", listed, nil), 7) // cut off from all others
	is.Equal(among("a", nil, heard), fewestShares)
}
