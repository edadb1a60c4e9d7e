package edge

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const goodSettings = `{"id":"d","domain":"north","region":"r","caller":"127.0.0.1:1","ready":"127.0.0.1:2","guide":"127.0.0.1:3",
 "peer":"127.0.0.1:4","metrics":"127.0.0.1:5","store":"127.0.0.1:6","revoke":5000,"apply":2000,"grace":8,"ratio":0.2,"extra":100,"window":10,"memory":284}`

func TestReadSettings(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		contains       []string // of the error; none for valid settings
	}{
		{"valid", "", "", nil},
		{"not JSON", `{"id"`, `"id"`, []string{"read settings"}},
		{"unknown field", `"id"`, `"name"`, []string{"name"}},
		{"missing domain", `"domain":"north"`, `"domain":""`, []string{"domain: must be given"}},
		{"invalid address", `"127.0.0.1:3"`, `"here"`, []string{"guide: must be host:port"}},
		{"negative apply", `"apply":2000`, `"apply":-1`, []string{"apply: must be above 0"}},
		{"cores", `"memory":284`, `"cores":0.8`, nil},
		{"negative cores", `"memory":284`, `"cores":-1`, []string{"cores: must not be below 0"}},
		{"negative memory", `"memory":284`, `"memory":-1`, []string{"memory: must not be below 0"}},
		{"part of the memory", `"memory":284`, `"held":0.4`, nil},
		{"more than the memory", `"memory":284`, `"held":1.1`, []string{"held: must be from 0 to 1"}},
		{"source", `"memory":284`, `"source":"127.0.0.9"`, nil},
		{"no source address", `"memory":284`, `"source":"here"`, []string{"source: must be an IPv4 address"}},
		{"zero revoke", `"revoke":5000`, `"revoke":0`, []string{"revoke: must be above 0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(goodSettings, c.from, c.to, 1)), 0o600))
			_, err := ReadSettings(path)
			is.Equal(err == nil, len(c.contains) == 0)
			for _, text := range c.contains {
				is.True(strings.Contains(err.Error(), text))
			}
		})
	}
}

// What may be held follows the memory of the instance, so that a small one isn't outgrown.
func TestHeldFollowsMemory(t *testing.T) {
	is := is.New(t)
	is.Equal(Settings{Memory: 184}.held(), int64(46_000_000))
	is.Equal(Settings{Memory: 184, Held: 0.5}.held(), int64(92_000_000))
	is.Equal(Settings{Held: 0.5}.held(), int64(64_000_000)) // memory not known
}

// After changes, a daemon that is not the keeper pauses as long as Settings.Apply, the
// time within which a configuration must be in force, allows, but no less than minPause
// and no more than maxPause.
func TestWatchPauseFollowsApply(t *testing.T) {
	is := is.New(t)
	for apply, want := range map[int]time.Duration{500: minPause, 2000: 650 * time.Millisecond, 2500: 1150 * time.Millisecond, 9000: maxPause} {
		is.Equal(Settings{Apply: apply}.watchPause(), want)
	}
}
