package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"os"
	"time"
)

// Settings holds the contents of a daemon's settings file.
type Settings struct {
	ID      string  `json:"id"`      // name of the instance; New appends the start time to it for the id of the daemon
	Domain  string  `json:"domain"`  // failure domain
	Region  string  `json:"region"`  // region
	Caller  string  `json:"caller"`  // host:port for callers
	Ready   string  `json:"ready"`   // host:port for the platform's readiness checks
	Guide   string  `json:"guide"`   // host:port for callers that request addresses to connect to
	Peer    string  `json:"peer"`    // host:port for gossip from the other daemons, UDP
	Metrics string  `json:"metrics"` // host:port for metrics, empty for none
	Store   string  `json:"store"`   // host:port of the platform's store
	Revoke  int     `json:"revoke"`  // in milliseconds: time within which a revoked key must no longer be accepted
	Apply   int     `json:"apply"`   // in milliseconds: time within which a new configuration must be in force
	Grace   float64 `json:"grace"`   // in seconds: time between SIGTERM and SIGKILL
	Ratio   float64 `json:"ratio"`   // retries per request, all daemons together
	Extra   float64 `json:"extra"`   // retries in a window, in addition to those by Ratio
	Window  float64 `json:"window"`  // in seconds: window for Ratio and Extra
	Source  string  `json:"source"`  // address of this host that connections are made from, empty for any
	Cores   float64 `json:"cores"`   // processor cores that the daemon may use, 0 if that is not known; those with more do more of the common work
	Memory  int64   `json:"memory"`  // in megabytes: memory limit, 0 if that is not known
	Held    float64 `json:"held"`    // part of Memory that bodies, and what is read ahead for slow callers, may take; 0 for the default
}

// ReadSettings reads and checks a settings file. The error is of kind Setting and
// names every fault found by the checks.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: Setting, Err: err}
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: Setting, Err: err}
	}
	return s, s.check()
}

// check returns an error that names every missing or invalid setting.
func (s Settings) check() error {
	var faults []error
	for _, f := range []struct{ name, value string }{{"id", s.ID}, {"domain", s.Domain}, {"region", s.Region}} {
		if f.value == "" {
			faults = append(faults, errors.New(f.name+": must be given"))
		}
	}
	addresses := []struct{ name, value string }{
		{"caller", s.Caller}, {"ready", s.Ready}, {"guide", s.Guide}, {"peer", s.Peer}, {"store", s.Store},
	}
	if s.Metrics != "" {
		addresses = append(addresses, struct{ name, value string }{"metrics", s.Metrics})
	}
	for _, f := range addresses {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			faults = append(faults, errors.New(f.name+": must be host:port, is \""+f.value+"\""))
		}
	}
	if s.Revoke <= 0 {
		faults = append(faults, errors.New("revoke: must be above 0"))
	}
	if s.Apply <= 0 {
		faults = append(faults, errors.New("apply: must be above 0"))
	}
	if s.Grace <= 0 {
		faults = append(faults, errors.New("grace: must be above 0"))
	}
	if s.Ratio < 0 || s.Extra < 0 || s.Window <= 0 {
		faults = append(faults, errors.New("ratio, extra, window: must not be below 0, and window above 0"))
	}
	if s.Source != "" && net.ParseIP(s.Source).To4() == nil {
		faults = append(faults, errors.New("source: must be an IPv4 address, is \""+s.Source+"\""))
	}
	if s.Cores < 0 {
		faults = append(faults, errors.New("cores: must not be below 0"))
	}
	if s.Memory < 0 {
		faults = append(faults, errors.New("memory: must not be below 0"))
	}
	if s.Held < 0 || s.Held > 1 {
		faults = append(faults, errors.New("held: must be from 0 to 1"))
	}
	if len(faults) > 0 {
		return &Error{Op: "check settings", Kind: Setting, Err: errors.Join(faults...)}
	}
	return nil
}

// revoke is the time within which a revoked key must no longer be accepted.
func (s Settings) revoke() time.Duration { return time.Duration(s.Revoke) * time.Millisecond }

const (
	applyMargin = 1350 * time.Millisecond // taken off Settings.Apply, as time for one failed call to the store
	minPause    = 300 * time.Millisecond  // even if Settings.Apply is too short for it
	maxPause    = 1500 * time.Millisecond // a longer pause would make the snapshot too old for the daemon to be ready
)

// watchPause is the pause after a watch that returned changes, until the next watch, of
// a daemon that is not the keeper. It is as long as Apply and maxPause allow, to spare
// the store, which all daemons call.
func (s Settings) watchPause() time.Duration {
	return min(maxPause, max(minPause, s.apply()-applyMargin))
}

func (s Settings) apply() time.Duration { return time.Duration(s.Apply) * time.Millisecond }

func (s Settings) grace() time.Duration { return time.Duration(s.Grace * float64(time.Second)) }

func (s Settings) window() time.Duration { return time.Duration(s.Window * float64(time.Second)) }
