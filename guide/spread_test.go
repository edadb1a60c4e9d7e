package guide

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/site"
)

// fleet returns n daemons in five failure domains, in the order of their addresses.
func fleet(n int) []site.Daemon {
	daemons := make([]site.Daemon, n)
	for i := range daemons {
		domain := 5 * i / n
		daemons[i] = site.Daemon{ID: fmt.Sprintf("d%03d", i), Domain: fmt.Sprint(domain), Region: "r", Caller: fmt.Sprintf("10.%d.0.%d:80", domain, i)}
	}
	return daemons
}

// resolve returns the addresses that the i-th of some daemons names to a caller.
func resolve(t *testing.T, daemons []site.Daemon, i int, caller, region string) []string {
	t.Helper()
	yes := func() bool { return true }
	g := New(Options{
		Self: daemons[i], Ready: yes, Offered: yes, Registry: prometheus.NewRegistry(),
		Peers: func() []site.Daemon { return slices.Concat(daemons[:i], daemons[i+1:]) },
	})
	r := httptest.NewRequest(http.MethodGet, "/api/resolve?name=h&region="+region+"&zone=0", nil)
	r.RemoteAddr = caller + ":40000"
	w := httptest.NewRecorder()
	g.Resolve(w, r)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatal(err)
	}
	return answer.Addresses
}

// All callers of a fleet larger than an answer got the same daemons, those of one failure
// domain, which had no processor time left.
func TestCallersUseAllDaemonsOfALargeFleet(t *testing.T) {
	for _, n := range []int{64, 65, 81, 295, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			daemons := fleet(n)
			const callers = 400
			load := map[string]float64{} // by address, in callers
			for c := range callers {
				addresses := resolve(t, daemons, c%n, fmt.Sprintf("100.64.%d.%d", c/200, c%200), "r")
				is.True(len(addresses) <= maxAddresses)
				for _, a := range addresses {
					load[a] += 1 / float64(len(addresses))
				}
			}
			mean := float64(callers) / float64(n)
			for _, d := range daemons {
				if load[d.Caller] < mean/2 || load[d.Caller] > 2*mean {
					t.Fatalf("%s gets %.2f callers, the mean is %.2f", d.Caller, load[d.Caller], mean)
				}
			}
		})
	}
}

// Callers close open connections to daemons that a new answer leaves out.
func TestAnswersToACallerStayTheSame(t *testing.T) {
	is := is.New(t)
	daemons := fleet(295)
	first := resolve(t, daemons, 0, "100.64.0.7", "r")
	is.Equal(resolve(t, daemons, 200, "100.64.0.7", "r"), first)
	gone := slices.IndexFunc(daemons, func(d site.Daemon) bool { return d.Caller == first[3] })
	next := resolve(t, slices.Delete(slices.Clone(daemons), gone, gone+1), 100, "100.64.0.7", "r")
	kept := 0
	for _, a := range next {
		if slices.Contains(first, a) {
			kept++
		}
	}
	is.Equal(kept, len(first)-1)
}

// A caller gets no daemon of another region as long as its own has more than an answer names.
func TestLargeFleetNamesTheCallersRegionFirst(t *testing.T) {
	is := is.New(t)
	daemons := fleet(295)
	for i := range daemons {
		if i%3 == 0 {
			daemons[i].Region = "far"
		}
	}
	for _, region := range []string{"r", "far"} {
		addresses := resolve(t, daemons, 0, "100.64.0.7", region)
		is.Equal(len(addresses), maxAddresses)
		for _, d := range daemons {
			if slices.Contains(addresses, d.Caller) {
				is.Equal(d.Region, region)
			}
		}
	}
}
