package store_test

import (
	"net/http"
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
