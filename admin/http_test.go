package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// secret is the SHA-256 of "open sesame".
const secret = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"

func handler(secret string) *admin.Admin {
	return admin.New(options(secret))
}

func options(secret string) admin.Options {
	kv := fakes.NewStore()
	do := func(r *http.Request) (*http.Response, error) {
		if r.Body == nil {
			r.Body = http.NoBody
		}
		w := httptest.NewRecorder()
		kv.ServeHTTP(w, r)
		return w.Result(), nil
	}
	return admin.Options{
		Store:         store.New("http://kv", do),
		Get:           func(string) (store.Entry, bool) { return store.Entry{}, false },
		Apply:         func(store.Entry) bool { return true },
		AwaitRevision: func(context.Context, string, uint64) []string { return nil },
		Record:        func(audit.Entry) {},
		Read:          func(context.Context, time.Time, time.Time) ([]audit.Entry, error) { return nil, nil },
		Status:        func() any { return map[string]string{"daemon": "d0"} },
		Secret:        &secret,
		Log:           logr.Discard(),
	}
}

// TestNotReady checks that a daemon that does not know the document refuses to
// return one. An operator could base an edit on an empty document.
func TestNotReady(t *testing.T) {
	is := is.New(t)
	options := options("")
	options.Secret = nil
	options.Ready = func() bool { return false }
	w := httptest.NewRecorder()
	admin.New(options).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/admin/v1/config", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") != "")
}

// An empty key is none: neither a secret that is empty, nor the hash of an empty key, lets
// requests without a key in. Only without a secret is no key needed.
func TestEmptyOperatorsKey(t *testing.T) {
	sum := sha256.Sum256(nil)
	hashOfNothing, empty, given := hex.EncodeToString(sum[:]), "", secret
	for _, c := range []struct {
		name   string
		secret *string
		key    string // Authorization
		want   bool
	}{
		{"no secret", nil, "", true},
		{"no secret, a key", nil, "Bearer x", true},
		{"empty secret", &empty, "", false},
		{"empty secret, empty key", &empty, "Bearer ", false},
		{"empty secret, a key", &empty, "Bearer x", false},
		{"hash of an empty key", &hashOfNothing, "", false},
		{"hash of an empty key, empty key", &hashOfNothing, "Bearer ", false},
		{"hash of an empty key, a key", &hashOfNothing, "Bearer x", false},
		{"secret, no key", &given, "", false},
		{"secret and its key", &given, "Bearer open sesame", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := options("")
			o.Secret = c.secret
			r := httptest.NewRequest(http.MethodGet, "/admin/v1/status", nil)
			r.Header.Set("Authorization", c.key)
			is.New(t).Equal(admin.New(o).Authorized(r), c.want)
		})
	}
}

func TestHTTPAnswers(t *testing.T) {
	const put = `{"id": "a", "base": 0, "who": "w", "sections": {"capacity": {"loads": 2}}}`
	tests := []struct {
		name, method, path, key, body string
		status                        int
		contains                      string
	}{
		{"no key", "GET", "status", "", "", 401, `"code":"unauthorized"`},
		{"wrong key", "GET", "status", "Bearer open", "", 401, `"ran":"no"`},
		{"key without scheme", "GET", "status", "Basic open sesame", "", 401, "unauthorized"},
		{"status", "GET", "status", "Bearer open sesame", "", 200, `"daemon":"d0"`},
		{"empty document", "GET", "config", "Bearer open sesame", "", 200, `"serial":0`},
		{"unknown section", "GET", "config?section=modles", "Bearer open sesame", "", 404, "modles"},
		{"right document", "POST", "config/check", "Bearer open sesame", "{}", 200, `"faults":[]`},
		{"wrong document", "POST", "config/check", "Bearer open sesame", `{"modles": 1}`, 200, `"section":"modles"`},
		{"put", "PUT", "config", "Bearer open sesame", put, 200, `"serial":1`},
		{"put without key", "PUT", "config", "", put, 401, "unauthorized"},
		{"put not JSON", "PUT", "config", "Bearer open sesame", "{", 400, `"code":"malformed"`},
		{"put with an unknown field", "PUT", "config", "Bearer open sesame", `{"bse": 1}`, 400, "bse"},
		{"put of nothing", "PUT", "config", "Bearer open sesame", `{"id": "a", "who": "w"}`, 400, "either a document or sections"},
		{"put without an id", "PUT", "config", "Bearer open sesame", `{"who": "w", "sections": {}}`, 422, `"code":"invalid"`},
		{"put of a wrong section", "PUT", "config", "Bearer open sesame", `{"id": "a", "who": "w", "document": {"groups": {"g": {"size": "4"}}}}`, 422, `"path":"g.size"`},
		{"put of a wrong whole", "PUT", "config", "Bearer open sesame", `{"id": "a", "who": "w", "document": {"groups": {"g": {"size": 4, "model": "m"}}}}`, 422, `"kind":"Dangling"`},
		{"put too large", "PUT", "config", "Bearer open sesame", `{"id": "` + strings.Repeat("a", 3<<20) + `"}`, 400, "too large"},
		{"unknown edit", "GET", "edits/zzz", "Bearer open sesame", "", 404, `"code":"missing"`},
		{"bad time", "GET", "audit?from=yesterday", "Bearer open sesame", "", 400, "from"},
		{"audit", "GET", "audit", "Bearer open sesame", "", 200, `"entries":`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := httptest.NewRequest(test.method, "/admin/v1/"+test.path, strings.NewReader(test.body))
			if test.key != "" {
				request.Header.Set("Authorization", test.key)
			}
			w := httptest.NewRecorder()
			handler(secret).ServeHTTP(w, request)
			is.Equal(w.Code, test.status)
			is.True(json.Valid(w.Body.Bytes()))
			is.True(strings.Contains(w.Body.String(), test.contains))
		})
	}
}
