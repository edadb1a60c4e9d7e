package site

// Daemon describes a daemon to the other daemons.
type Daemon struct {
	ID     string  `json:"id"`     // another one after each start
	Domain string  `json:"domain"` // failure domain
	Region string  `json:"region,omitempty"`
	Caller string  `json:"caller"`          // host:port for callers
	Peer   string  `json:"peer"`            // host:port for gossip from other daemons, UDP
	Cores  float64 `json:"cores,omitempty"` // processor cores that it may use, 0 if that is not known
}

// Precedes reports whether a daemon comes before another one in the choice for work that
// few daemons do for all: it may use more cores or, of two alike, has the lower ID.
func (d Daemon) Precedes(other Daemon) bool {
	if d.Cores != other.Cores {
		return d.Cores > other.Cores
	}
	return d.ID < other.ID
}
