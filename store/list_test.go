package store_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// TestUnchangedListIsNotSentAgain checks the statuses of three requests for the
// list of instances. The list is unchanged at the second one, which must get
// 304 Not Modified and still return the instances.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := fakes.NewNetwork()
		defer network.Close()
		kv := fakes.NewStore()
		network.Serve("store:80", kv)
		var statuses []int
		client := store.New("http://store:80", func(r *http.Request) (*http.Response, error) {
			response, err := network.Client("d1").Do(r)
			if err == nil {
				statuses = append(statuses, response.StatusCode)
			}
			return response, err
		})
		request := func(wantLen int) {
			instances, err := client.Instances(t.Context())
			is.NoErr(err)
			is.Equal(len(instances), wantLen)
		}
		kv.SetInstances(store.Instance{ID: "a"})
		request(1)
		request(1)
		kv.SetInstances(store.Instance{ID: "a"}, store.Instance{ID: "b"})
		request(2)
		is.Equal(statuses, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
	})
}

// Guards against LOST: one odd row among those of the instances made the whole list
// unreadable, so that daemons stopped following it.
func TestOddRowAmongInstances(t *testing.T) {
	const sound = `{"id":"a","address":"127.0.0.1:80","chips":8,"standing":"live"}`
	for name, c := range map[string]struct {
		list string
		want int // instances, or -1 if the list is unreadable
	}{
		"none":         {`[ ]`, 0},
		"sound":        {`[` + sound + `, ` + sound + ` ]`, 2},
		"nested":       {`[` + sound + `,` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,` + sound + `]`, 2},
		"number":       {`[{"id":"b","chips":1e400},` + sound + `]`, 1},
		"count":        {`[{"id":"b","chips":9223372036854775807},` + sound + `]`, 1},
		"port":         {`[` + sound + `,{"id":"b","address":"127.0.0.1:65536"}]`, 1},
		"two ports":    {`[` + sound + `,{"id":"b","address":"127.0.0.1:1:2"}]`, 1},
		"type":         {`[7,"x",null,` + sound + `,{"id":["b"]}]`, 1},
		"quoted":       {`[{"id":"],[\\\"","address":"h:1"},` + sound + `]`, 2},
		"empty row":    {`[,` + sound + `]`, 1},
		"without end":  {`[` + sound, -1},
		"not an array": {`nothing`, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := store.New("http://store", func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(c.list))}, nil
			})
			instances, err := client.Instances(t.Context())
			is.Equal(err != nil, c.want < 0)
			is.Equal(len(instances), max(0, c.want))
		})
	}
}
