package site

// Daemon describes a daemon to the other daemons.
type Daemon struct {
	ID     string `json:"id"`     // another one after each start
	Domain string `json:"domain"` // failure domain
	Caller string `json:"caller"` // host:port for callers
	Peer   string `json:"peer"`   // host:port for gossip from other daemons, UDP
}
