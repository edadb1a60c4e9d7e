package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/platform"
)

// A daemon that stops answers what another daemon, which is cut off from endpoints, sent
// through it, as it answers its own callers: the other one's caller would lose its request.
func TestRequestOfAnotherDaemonIsCutByAStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newStopRig(t, 6*time.Second, 4*time.Second)
	request, err := http.NewRequest(http.MethodPost, "http://"+r.daemon.options.Settings.Peer+"/once/x", strings.NewReader("x"))
	is.NoErr(err)
	request.Host = "front.example"
	request.Header.Set("X-Request-Id", "relayed")
	request.Header.Set("Authorization", "Bearer good-key")
	request.Header = platform.Relayed(request.Header, platform.Relay{Daemon: "other", Attempts: 1, Version: 1}, 10*time.Second)
	var status int
	var body []byte
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		status = response.StatusCode
		body, _ = io.ReadAll(response.Body)
	}()
	await(t, "the request runs", time.Second, func() bool { return r.hasRun("relayed") })
	r.sendStop()
	<-done
	is.Equal(status, http.StatusOK)
	is.Equal(string(body), "done by p0")
	<-r.ended
	is.True(time.Since(r.stopped) < r.grace-500*time.Millisecond) // it ends once nothing is left to do
}
