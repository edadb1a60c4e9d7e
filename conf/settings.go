package conf

// Settings are what one daemon learns from its own settings file. They hold
// while the process lives.
type Settings struct {
	ID       string   `json:"id"`               // unique among daemons, empty for a name made of the caller address
	Domain   string   `json:"domain"`           // failure domain
	Region   string   `json:"region"`           // region
	Caller   string   `json:"caller"`           // host:port for callers
	Peer     string   `json:"peer"`             // host:port for other daemons
	Operator string   `json:"operator"`         // host:port for operators and metrics
	Store    string   `json:"store"`            // URL of the key-value service
	Platform string   `json:"platform"`         // URL of the platform's list of instances
	Seeds    []string `json:"seeds,omitempty"`  // peer addresses to try while the store is down
	Secret   string   `json:"secret,omitempty"` // SHA-256 of the operators' bearer key, hexadecimal; empty for none
}
