package main

// Row is what was measured at one size. Figures are a daemon's, over the whole
// span, but for the store's calls, which are the whole system's.
type Row struct {
	Daemons  int     `json:"daemons"`
	Runners  int     `json:"runners"`
	Domains  int     `json:"domains"`
	Serving  int     `json:"serving"`  // replicas
	Wanted   int     `json:"wanted"`   // replicas
	Seconds  float64 `json:"seconds"`  // span of the measurement
	Core     float64 `json:"core"`     // processor time, % of a core
	Memory   float64 `json:"memory"`   // resident, MB
	Peer     float64 `json:"peer"`     // sent to daemons, B/s
	Peak     float64 `json:"peak"`     // the same of the daemon that sends most
	Store    float64 `json:"store"`    // sent to the store and got from it, B/s
	Endpoint float64 `json:"endpoint"` // sent to endpoints and got from them, B/s
	Reads    float64 `json:"reads"`    // calls of the store a second, watches and lists included
	Writes   float64 `json:"writes"`   // calls of the store a second, leases included
	Force    float64 `json:"force"`    // s until an edit was in force everywhere
}
