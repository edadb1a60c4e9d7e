package main

// Row holds the results at one system size. Figures are averages per daemon over the
// whole span, except for the calls of the store, which are those of the whole system.
type Row struct {
	Daemons  int     `json:"daemons"`
	Runners  int     `json:"runners"`
	Domains  int     `json:"domains"`
	Serving  int     `json:"serving"`  // replicas that serve
	Wanted   int     `json:"wanted"`   // replicas that the configuration asks for
	Seconds  float64 `json:"seconds"`  // time span of the measurement
	Core     float64 `json:"core"`     // processor time, % of a core
	Memory   float64 `json:"memory"`   // resident, MB
	Peer     float64 `json:"peer"`     // sent to other daemons, B/s
	Peak     float64 `json:"peak"`     // the same for the daemon that sends most
	Store    float64 `json:"store"`    // sent to the store and received from it, B/s
	Endpoint float64 `json:"endpoint"` // sent to endpoints and received from them, B/s
	Reads    float64 `json:"reads"`    // read calls of the store per second, watches and lists included
	Writes   float64 `json:"writes"`   // write calls of the store per second, leases included
	Force    float64 `json:"force"`    // time until an edit was in force at all daemons, in s
}
