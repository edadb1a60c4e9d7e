package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/tally"
	"clementinehead.example/chead/view"
	"clementinehead.example/chead/wire"
)

const largestBody = 8 << 20 // bytes

// newServiceEntry starts an entry in front of a plain service at an address.
func newServiceEntry(t *testing.T, address string) *httptest.Server {
	t.Helper()
	d := document()
	d.Services = map[string]conf.Service{"lookup": {Addresses: []string{address}, Accounts: []string{"desk"}}}
	d.Limits.Body = largestBody
	v := newView(t, d, [2]lastOrder{})
	server := httptest.NewServer(entry.New(entry.Options{
		Self:    "d0",
		View:    func() *view.View { return v },
		Daemons: func() []*wire.Daemon { return []*wire.Daemon{{Id: "d0", PeerAddress: "d0"}} },
		Engine:  engine.New(entry.NewTransport(true).RoundTrip),
		Plain:   entry.NewTransport(true).RoundTrip,
		Count:   func(tally.Sample) {},
		Log:     logr.Discard(),
		Rand:    rand.New(rand.NewPCG(1, 1)),
	}))
	t.Cleanup(server.Close)
	return server
}

var errStatus = errors.New("not served")

// callService calls the plain service through an entry. A status of failure is errStatus.
func callService(ctx context.Context, server *httptest.Server, size int) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/services/lookup/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+deskKey)
	response, err := server.Client().Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w: %d", errStatus, response.StatusCode)
	}
	return string(body), err
}

// What is no answer of a plain service reaches no caller as one (issue 54).
func TestUnsoundAnswersOfServices(t *testing.T) {
	for name, bad := range map[string][]fakes.Message{
		"statuses": fakes.BadStatuses(), "fields": fakes.BadFields(), "framings": fakes.BadFramings(), "trailers": fakes.BadTrailers(),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var server *httptest.Server
			read := func(ctx context.Context, address string) error {
				if server == nil {
					server = newServiceEntry(t, address)
				}
				body, err := callService(ctx, server, 2)
				if err == nil && body != "x" {
					err = fmt.Errorf("body %q", body)
				}
				return err
			}
			wrong, err := fakes.Misread(t.Context(), read, "", "x", bad)
			is.NoErr(err)
			is.Equal(wrong, nil)
		})
	}
}

// No early answer of a plain service without a marked end is passed on as whole if the
// connection ends before the request was read.
func TestEarlyAnswersOfServices(t *testing.T) {
	const part = "the part"
	for i := range 3 * 16 {
		size := []int{64 << 10, 512 << 10, largestBody}[i%3]
		version, status := "1."+fmt.Sprint(i/3%2), 200+300*(i/6%2)
		pause, reset := time.Duration(i/12%2)*20*time.Millisecond, i/24 == 0
		t.Run(fmt.Sprintf("%d bytes, HTTP/%s, %d, pause %v, reset %v", size, version, status, pause, reset), func(t *testing.T) {
			t.Parallel()
			for range 4 { // which of read and write is told varies
				address, stop, err := fakes.Script(func(c *net.TCPConn, _ *http.Request) {
					fmt.Fprintf(c, "HTTP/%s %d X\r\n\r\n%s", version, status, part)
					time.Sleep(pause)
					if reset {
						_ = c.SetLinger(0)
					}
				})
				is.New(t).NoErr(err)
				body, err := callService(t.Context(), newServiceEntry(t, address), size)
				stop()
				if err == nil || errors.Is(err, errStatus) && strings.Contains(body, part) {
					t.Fatalf("body %q, error %v", body, err)
				}
			}
		})
	}
}
