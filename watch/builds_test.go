package watch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/forms"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

// oldBuild is the commit whose messages are in testdata.
const oldBuild = "12840eb"

// record is not called update: what an old build wrote must not be rewritten by a later one.
var record = flag.String("record", "", "write the golden messages of this build to testdata, in a directory of this name")

// old returns what the old build wrote. With -record, it first writes what this one does.
func old(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	if *record != "" {
		dir := filepath.Join("testdata", *record)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(filepath.Join("testdata", oldBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The records that daemons write to the store.
var (
	sampleDaemon = site.Daemon{ID: "d1.k", Domain: "north", Region: "r", Caller: "10.0.0.1:80", Peer: "10.0.0.1:81", Cores: 1.5}
	sampleTerm   = Term{Number: 4, Daemon: "d1.k", Era: 2, Revision: 38}
	sampleUntil  = time.Date(2026, 3, 17, 19, 43, 36, 0, time.UTC)
)

// sampleListing returns a listing with the records of daemons and a key that is gone.
func sampleListing(t *testing.T) platform.Listing {
	t.Helper()
	listing := platform.Listing{Era: 2, Revision: 41, Items: []platform.Item{{Key: "servers/e1", Revision: 41, Removed: true}}}
	add := func(key string, revision int64, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		listing.Items = append(listing.Items, platform.Item{Key: key, Value: data, Revision: revision, Lease: revision % 2 * 77})
	}
	add(platform.KeeperKey, 38, sampleTerm)
	add(platform.DaemonRecordKey("i1"), 39, sampleDaemon)
	add(platform.RefusedPartKey("ab"), 40, RefusedPart{Until: sampleUntil})
	return listing
}

// newSample returns a watcher that has listed an empty store, at minute one of the boot clock.
func newSample() *Watcher {
	w := New(Options{Boot: func() time.Duration { return time.Minute }, Log: logr.Discard()})
	w.replace(platform.Listing{Era: 2, Revision: 37})
	return w
}

// sampleAnswer returns a relay's answer to a request, as it goes over the connection.
func sampleAnswer(t *testing.T, request string) []byte {
	t.Helper()
	w := newSample()
	listing := sampleListing(t)
	w.applyChanges(listing)
	w.freshAt.Store(int64(time.Minute - 300*time.Millisecond))
	w.outageAt.Store(int64(time.Minute - 9*time.Second))
	out := httptest.NewRecorder()
	w.Relay(out, httptest.NewRequest(http.MethodGet, request, nil))
	response := out.Result()
	response.ContentLength = int64(out.Body.Len())
	var data bytes.Buffer
	if err := response.Write(&data); err != nil {
		t.Fatal(err)
	}
	return data.Bytes()
}

// readAnswer decodes a relay's answer that was asked for at minute one.
func readAnswer(t *testing.T, data []byte) relayed {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRelayed(response, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// checkRecords fails unless a snapshot has what the sample records state.
func checkRecords(t *testing.T, s *Snapshot) {
	t.Helper()
	is := is.New(t)
	is.Equal(s.Daemons, map[string]site.Daemon{"d1.k": sampleDaemon})
	is.Equal(s.Keeper, sampleTerm)
	is.Equal(len(s.Parts), 1)
	is.True(s.Parts["ab"].Equal(sampleUntil))
	is.Equal(s.Revision, int64(41))
}

// A daemon follows a relay of the other build and gets the same records, of the same age, from
// it. If it didn't, it would hold an older configuration for fresh, or not follow at all.
func TestRelaysOfBothBuilds(t *testing.T) {
	for name, request := range map[string]string{"changes": "/watch?era=2&after=37", "all": "/watch?era=0&after=0"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written := sampleAnswer(t, request)
			was := old(t, name, written)
			got := readAnswer(t, was)
			is.Equal(got, readAnswer(t, written))
			is.Equal(got.full, name == "all")
			is.Equal(got.freshAt, time.Minute-300*time.Millisecond)
			is.Equal(got.outage, 9*time.Second)
			w := newSample()
			if got.full {
				w.replace(got.listing)
			} else {
				w.applyChanges(got.listing)
			}
			checkRecords(t, w.Snapshot())
			head, _, _ := bytes.Cut(written, []byte("\r\n\r\n"))
			for _, line := range strings.Split(string(head), "\r\n") {
				name, _, _ := strings.Cut(line, ":")
				if strings.HasPrefix(line, "Watch-") && name != headerHeld {
					is.True(strings.Contains(string(was), line+"\r\n") || !strings.Contains(string(was), name+":")) // as the old build writes it, or new
				}
			}
		})
	}
}

// A daemon asks relays of both builds in the same way.
func TestRequestToRelaysOfBothBuilds(t *testing.T) {
	is := is.New(t)
	w := newSample()
	w.replace(sampleListing(t))
	var sent []byte
	w.options.Do = func(r *http.Request) (*http.Response, error) {
		sent = []byte(r.Method + " " + r.URL.RequestURI() + "\n")
		return nil, io.EOF
	}
	_, err := w.askRelay(t.Context(), "10.0.0.1:81")
	is.True(err != nil)
	is.Equal(string(sent), string(old(t, "request", sent)))
}

// Headers of a later relay, and fields of later items and records, change nothing here.
func TestUnknownFieldsOfRelaysAndRecordsAreHarmless(t *testing.T) {
	is := is.New(t)
	later := strings.Replace(string(sampleAnswer(t, "/watch?era=2&after=37")), "\r\nWatch-Age", "\r\nWatch-Later: 1\r\nWatch-Age", 1)
	is.True(strings.Contains(later, "Watch-Later"))
	got := readAnswer(t, []byte(later))
	for i, item := range got.listing.Items {
		got.listing.Items[i].Value = bytes.Replace(item.Value, []byte("{"), []byte(`{"later":{"a":[1,null]},`), 1)
	}
	data, err := json.Marshal(got.listing.Items)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(bytes.ReplaceAll(data, []byte(`{"key"`), []byte(`{"later":[{}],"key"`)), &got.listing.Items))
	w := newSample()
	w.applyChanges(got.listing)
	checkRecords(t, w.Snapshot())
}

// The fields of the records in the store stay, and new ones are optional.
func TestFieldsOfRecordsStay(t *testing.T) {
	values := []any{site.Daemon{}, Term{}, RefusedPart{}}
	written := []byte(strings.Join(forms.Fields(values...), "\n") + "\n")
	for _, line := range forms.Unreadable(strings.Split(strings.TrimSpace(string(old(t, "fields", written))), "\n"), values...) {
		t.Error(line)
	}
}
