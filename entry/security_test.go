package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
)

// sendRaw sends bytes unchanged and returns the statuses of all answers.
func (cl *cluster) sendRaw(text string) []int {
	c, err := cl.network.Dial(context.Background(), "caller", "d0:80")
	if err != nil {
		cl.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	text = strings.ReplaceAll(text, "\n", "\r\n")
	if _, err := io.WriteString(c, text); err != nil {
		cl.t.Fatal(err)
	}
	var statuses []int
	r := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
}

// TestSmuggling checks requests that two HTTP parsers may split differently.
func TestSmuggling(t *testing.T) {
	const head = "POST /services/lookup/x HTTP/1.1\nAuthorization: Bearer " + deskKey + "\n"
	tests := []struct {
		name     string
		text     string
		statuses []int
		runs     int
	}{
		{"plain", head + "Host: d0\nX-Request-Id: i\nContent-Length: 1\n\nx", []int{200}, 1},
		{"two hosts", head + "Host: d0\nHost: d1\nX-Request-Id: i\nContent-Length: 1\n\nx", []int{400}, 0},
		{"two lengths", head + "Host: d0\nX-Request-Id: i\nContent-Length: 1\nContent-Length: 2\n\nxy", []int{400}, 0},
		{"bad length", head + "Host: d0\nX-Request-Id: i\nContent-Length: +1\n\nx", []int{400}, 0},
		{"bad encoding", head + "Host: d0\nX-Request-Id: i\nTransfer-Encoding: chunked, identity\n\nx", []int{501}, 0},
		{"space before colon", head + "Host: d0\nX-Request-Id: i\nContent-Length : 1\n\nx", []int{400}, 0},
		{"no host", head + "X-Request-Id: i\nContent-Length: 1\n\nx", []int{400}, 0},
		{
			// The length is ignored, so what follows the chunks is a
			// request of its own, which has no key.
			"length and encoding",
			head + "Host: d0\nX-Request-Id: i\nContent-Length: 6\nTransfer-Encoding: chunked\n\n1\nx\n0\n\nGET /v1/models HTTP/1.1\nHost: d0\n\n",
			[]int{200, 401},
			1,
		},
		{"absolute form", strings.Replace(head, "/services", "http://p9/services", 1) + "Host: d0\nX-Request-Id: i\nContent-Length: 1\n\nx", []int{200}, 1},
		{"two keys", head + "Authorization: Bearer " + yardKey + "\nHost: d0\nX-Request-Id: i\nContent-Length: 1\n\nx", []int{401}, 0},
		{"two ids", head + "Host: d0\nX-Request-Id: i\nX-Request-Id: j\nContent-Length: 1\n\nx", []int{400}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
				is := is.New(cl.t)
				is.Equal(cl.sendRaw(test.text), test.statuses)
				is.Equal(cl.plain.Runs("i"), test.runs)
			})
		})
	}
}

// TestHopByHopHeaders checks which headers a service and a caller receive.
func TestHopByHopHeaders(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		var received http.Header
		cl.network.Kill("p0")
		cl.network.Kill("p1")
		cl.network.Serve("p0:80", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			received = r.Header.Clone()
			rw.Header().Set("Connection", "X-Inner")
			rw.Header().Set("X-Inner", "1")
			rw.Header().Set("X-Outer", "2")
		}))
		got := cl.send(request{path: "/services/lookup/x", body: "x", headers: map[string]string{
			"Connection": "X-Secret", "X-Secret": "1", "Te": "trailers", "Proxy-Authorization": "x",
			"X-Account": "yard", "X-Kept": "3",
		}})
		is.Equal(got.status, 200)
		for _, name := range []string{"X-Secret", "Te", "Proxy-Authorization", "Authorization", "Connection"} {
			is.Equal(received.Get(name), "")
		}
		is.Equal(received.Get("X-Account"), "desk") // the daemon's value, not the caller's
		is.Equal(received.Get("X-Kept"), "3")
		is.Equal(got.header.Get("X-Inner"), "")
		is.Equal(got.header.Get("X-Outer"), "2")
	})
}

// TestModelsOfTheAccount checks that an account is listed just the models that
// it may use.
func TestModelsOfTheAccount(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		names := func(key string) (names []string) {
			var answer entry.Models
			got := cl.send(request{method: http.MethodGet, path: "/v1/models", key: key})
			is.NoErr(json.Unmarshal(got.body, &answer))
			for _, m := range answer.Data {
				names = append(names, m.ID)
			}
			return names
		}
		is.Equal(names(deskKey), []string{"forge", "m"})
		is.Equal(names(yardKey), []string{"forge", "m", "n", "other"})
	})
}

// TestConnectionIsReused checks that the deadline for writing one answer
// doesn't apply to the next one on the same connection.
func TestConnectionIsReused(t *testing.T) {
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		is := is.New(cl.t)
		client := cl.network.Client("caller")
		for range 3 {
			r, err := request{prompt: "p", tokens: 3, stream: true}.httpRequest(context.Background())
			is.NoErr(err)
			response, err := client.Do(r)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.True(strings.HasSuffix(string(body), "[DONE]\n\n"))
			time.Sleep(time.Minute)
			r, err = request{method: http.MethodGet, path: "/v1/models", key: "wrong"}.httpRequest(context.Background())
			is.NoErr(err)
			response, err = client.Do(r)
			is.NoErr(err)
			is.Equal(response.StatusCode, 401)
			is.NoErr(response.Body.Close())
		}
	})
}
