package main

import (
	"net/http"
	"time"

	"clementinehead.example/chead/fakes"
)

// Paths of the store's process that only the other commands of chfake use. They are
// no part of the platform's interface, and chead does not call them.
const (
	pathWeights = "/fake/weights"
	pathRuns    = "/fake/runs"
)

// storeCommand holds the flags of "chfake store".
type storeCommand struct {
	Listen  string        `required:"" help:"Address to listen on, host:port."`
	Writes  float64       `default:"300" help:"Writes a second that the service takes, 0 for no limit."`
	Reads   float64       `default:"2000" help:"Reads a second that the service takes, watches and lists included, 0 for no limit."`
	Lag     time.Duration `default:"1s" help:"How far the list of instances lags behind."`
	Expire  time.Duration `default:"10s" help:"How long after its last registration an instance stays in the list."`
	Weights float64       `default:"0" help:"Gigabytes a second that the weight store gives to all engines together, 0 for no limit."`
}

// Run serves until SIGINT or SIGTERM.
func (c storeCommand) Run() error {
	s := fakes.NewStore()
	s.Limit(c.Writes, c.Reads)
	s.SetLag(c.Lag, c.Expire)
	mux := http.NewServeMux()
	mux.Handle(pathWeights, fakes.NewLoader(c.Weights))
	mux.Handle(pathRuns, fakes.NewRunCounter())
	mux.Handle("/", s)
	return serve(c.Listen, mux)
}
