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

// raw sends bytes as they are and returns the statuses of all answers.
func (w *world) raw(text string) []int {
	c, err := w.network.Dial(context.Background(), "caller", "d0:80")
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	text = strings.ReplaceAll(text, "\n", "\r\n")
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
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

func TestSmuggling(t *testing.T) {
	const head = "POST /services/lookup/x HTTP/1.1\nAuthorization: Bearer " + desk + "\n"
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
		{"two keys", head + "Authorization: Bearer " + yard + "\nHost: d0\nX-Request-Id: i\nContent-Length: 1\n\nx", []int{401}, 0},
		{"two ids", head + "Host: d0\nX-Request-Id: i\nX-Request-Id: j\nContent-Length: 1\n\nx", []int{400}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
				is := is.New(w.t)
				is.Equal(w.raw(test.text), test.statuses)
				is.Equal(w.plain.Runs("i"), test.runs)
			})
		})
	}
}

// TestHeadersOfOneHop checks what a service gets to see.
func TestHeadersOfOneHop(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		var seen http.Header
		w.network.Kill("p0")
		w.network.Kill("p1")
		w.network.Serve("p0:80", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			rw.Header().Set("Connection", "X-Inner")
			rw.Header().Set("X-Inner", "1")
			rw.Header().Set("X-Outer", "2")
		}))
		got := w.send(ask{path: "/services/lookup/x", body: "x", headers: map[string]string{
			"Connection": "X-Secret", "X-Secret": "1", "Te": "trailers", "Proxy-Authorization": "x",
			"X-Account": "yard", "X-Kept": "3",
		}})
		is.Equal(got.status, 200)
		for _, name := range []string{"X-Secret", "Te", "Proxy-Authorization", "Authorization", "Connection"} {
			is.Equal(seen.Get(name), "")
		}
		is.Equal(seen.Get("X-Account"), "desk") // the true one
		is.Equal(seen.Get("X-Kept"), "3")
		is.Equal(got.header.Get("X-Inner"), "")
		is.Equal(got.header.Get("X-Outer"), "2")
	})
}

func TestModelsOfTheAccount(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		names := func(key string) (names []string) {
			var answer entry.Models
			got := w.send(ask{method: http.MethodGet, path: "/v1/models", key: key})
			is.NoErr(json.Unmarshal(got.body, &answer))
			for _, m := range answer.Data {
				names = append(names, m.ID)
			}
			return names
		}
		is.Equal(names(desk), []string{"forge", "m"})
		is.Equal(names(yard), []string{"forge", "m", "n", "other"})
	})
}

// TestConnectionIsReused checks that the limit on writing one answer doesn't
// hold for the next one on the same connection.
func TestConnectionIsReused(t *testing.T) {
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		is := is.New(w.t)
		client := w.network.Client("caller")
		for range 3 {
			r, err := ask{prompt: "p", tokens: 3, stream: true}.request(context.Background())
			is.NoErr(err)
			response, err := client.Do(r)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.True(strings.HasSuffix(string(body), "[DONE]\n\n"))
			time.Sleep(time.Minute)
			r, err = ask{method: http.MethodGet, path: "/v1/models", key: "wrong"}.request(context.Background())
			is.NoErr(err)
			response, err = client.Do(r)
			is.NoErr(err)
			is.Equal(response.StatusCode, 401)
			is.NoErr(response.Body.Close())
		}
	})
}
