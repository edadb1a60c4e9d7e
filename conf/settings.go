package conf

// Settings are the settings of one daemon, read from its settings file. They do
// not change while the process runs.
type Settings struct {
	ID       string   `json:"id"`               // unique among daemons; if empty, the caller address is used
	Domain   string   `json:"domain"`           // failure domain
	Region   string   `json:"region"`           // region
	Caller   string   `json:"caller"`           // host:port for callers
	Peer     string   `json:"peer"`             // host:port for other daemons
	Operator string   `json:"operator"`         // host:port for operators and metrics
	Store    string   `json:"store"`            // URL of the key-value service
	Platform string   `json:"platform"`         // URL of the platform's list of instances
	Seeds    []string `json:"seeds,omitempty"`  // peer addresses to try while the store is down
	Secret   *string  `json:"secret,omitempty"` // SHA-256 of the operators' bearer key, hexadecimal; nil for none
}
