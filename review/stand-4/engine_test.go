//go:build review

package stand

import (
	"net/http"

	"clementinehead.example/chead/simul"
)

// AddEngine starts a stand-in for a model runner, whose handler is wrapped, and writes its
// entry.
func (s *Site) AddEngine(o simul.RunnerOptions, wrap func(http.Handler) http.Handler) {
	listener := Listen()
	o.Address = listener.Addr().String()
	o.PutEntry = s.Store.Put
	runner := simul.NewRunner(o)
	server := &http.Server{Handler: wrap(runner), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	runner.Publish()
}
