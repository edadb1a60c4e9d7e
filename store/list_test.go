package store_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// TestUnchangedListIsNotSentAgain counts what the platform answers to three
// questions for its list.
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
		ask := func(want int) {
			instances, err := client.Instances(t.Context())
			is.NoErr(err)
			is.Equal(len(instances), want)
		}
		kv.SetInstances(store.Instance{ID: "a"})
		ask(1)
		ask(1)
		kv.SetInstances(store.Instance{ID: "a"}, store.Instance{ID: "b"})
		ask(2)
		is.Equal(statuses, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
	})
}
