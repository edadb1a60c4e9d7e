package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/store"
)

const (
	maxBody        = 2 << 20         // bytes
	maxValue       = 1 << 20         // bytes; the largest value that the store accepts
	confirmTimeout = 4 * time.Second // for all daemons to confirm an edit
	retryAfter     = 5 * time.Second // Retry-After while the store is unavailable
)

// Options are what an Admin depends on.
type Options struct {
	Store         *store.Client
	Get           func(key string) (store.Entry, bool)                                    // relay.Get
	Apply         func(store.Entry) bool                                                  // relay.Apply
	AwaitRevision func(ctx context.Context, key string, revision uint64) []string         // relay.AwaitRevision
	Record        func(audit.Entry)                                                       // audit.Log.Add
	Read          func(ctx context.Context, from, until time.Time) ([]audit.Entry, error) // audit.Log.Read
	Ready         func() bool                                                             // whether this daemon knows the document; nil for always
	Status        func() any                                                              // body of /admin/v1/status
	Secret        *string                                                                 // SHA-256 of the operators' bearer key, hexadecimal; nil if none is needed
	Log           logr.Logger
	Registry      prometheus.Registerer
}

// Admin is the http.Handler for /admin/v1/.
type Admin struct {
	options Options
	mux     *http.ServeMux
	edits   *prometheus.CounterVec // by outcome
}

// New returns an Admin.
func New(options Options) *Admin {
	a := &Admin{
		options: options,
		mux:     http.NewServeMux(),
		edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chead_admin_edits_total", Help: "Edits by operators, by outcome.",
		}, []string{"outcome"}),
	}
	if options.Registry != nil {
		options.Registry.MustRegister(a.edits)
	}
	a.mux.HandleFunc("GET /admin/v1/config", a.getConfig)
	a.mux.HandleFunc("PUT /admin/v1/config", a.putConfig)
	a.mux.HandleFunc("POST /admin/v1/config/check", a.checkConfig)
	a.mux.HandleFunc("GET /admin/v1/edits/{id}", a.getEdit)
	a.mux.HandleFunc("POST /admin/v1/drain", a.drain)
	a.mux.HandleFunc("POST /admin/v1/restore", a.restore)
	a.mux.HandleFunc("GET /admin/v1/audit", a.getAudit)
	a.mux.HandleFunc("GET /admin/v1/status", a.getStatus)
	return a
}

// ServeHTTP checks the operators' key and dispatches the request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !a.Authorized(request) {
		refuse(w, "", &Error{Op: "authorize", Kind: Unauthorized, Err: errors.New("the operators' bearer key is missing or wrong")})
		return
	}
	request.Body = http.MaxBytesReader(w, request.Body, maxBody)
	a.mux.ServeHTTP(w, request)
}

// Authorized reports whether a request carries the operators' key, or none is needed.
// An empty key is none. The hashes are compared in constant time.
func (a *Admin) Authorized(request *http.Request) bool {
	if a.options.Secret == nil {
		return true
	}
	key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	given := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(*a.options.Secret))) == 1
}

func (a *Admin) getStatus(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, a.options.Status())
}

// decode decodes a JSON body into target. Unknown fields and data after the
// value are errors.
func decode(request *http.Request, target any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Error{Op: "read body", Kind: Malformed, Err: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Error{Op: "read body", Kind: Malformed, Err: errors.New("more than one JSON value")}
	}
	return nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the operator has disconnected
}

// refuse responds with an error. The id of the edit, if any, lets the operator
// query or resend it.
func refuse(w http.ResponseWriter, id string, err error) {
	refusal := Refusal{Message: err.Error(), Ran: "no", ID: id}
	status := http.StatusInternalServerError
	var failure *Error
	var editErr *edit.Error
	switch {
	case errors.As(err, &editErr):
		status = fillRefusal(&refusal, editErr)
	case errors.As(err, &failure):
		status = failure.Kind.status()
		refusal.Code = strings.ToLower(failure.Kind.String())
		if failure.Kind == Unsettled {
			refusal.Ran = "unknown"
		}
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	answer(w, status, refusal)
}

// fillRefusal sets the fields of a refusal from the error of an edit and returns
// the HTTP status.
func fillRefusal(refusal *Refusal, e *edit.Error) int {
	refusal.Code = strings.ToLower(e.Kind.String())
	refusal.Faults = faults(e.Faults)
	switch e.Kind {
	case edit.Conflict, edit.Reused:
		refusal.Section = e.Section
		refusal.Conflict = &e.Other
		return http.StatusConflict
	case edit.TooLarge:
		return http.StatusRequestEntityTooLarge
	case edit.Unreadable:
		return http.StatusInternalServerError
	default:
		return http.StatusUnprocessableEntity
	}
}
