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
		says           []string // in the error; none for good settings
	}{
		{"good", "", "", nil},
		{"not JSON", `{"id"`, `"id"`, []string{"read settings"}},
		{"a field that does not exist", `"id"`, `"name"`, []string{"name"}},
		{"every fault", `"domain":"north"`, `"domain":""`, []string{"domain: must be given"}},
		{"an address", `"127.0.0.1:3"`, `"here"`, []string{"guide: must be host:port"}},
		{"another time", `"apply":2000`, `"apply":-1`, []string{"apply: must be above 0"}},
		{"a time", `"revoke":5000`, `"revoke":0`, []string{"revoke: must be above 0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(goodSettings, c.from, c.to, 1)), 0o600))
			_, err := ReadSettings(path)
			is.Equal(err == nil, len(c.says) == 0)
			for _, text := range c.says {
				is.True(strings.Contains(err.Error(), text))
			}
		})
	}
}

// Daemons ask the store as seldom as the time allows in which a configuration
// must be in force.
func TestPauseFollowsTheBound(t *testing.T) {
	is := is.New(t)
	for apply, want := range map[int]time.Duration{500: leastPause, 2000: 650 * time.Millisecond, 2500: 1150 * time.Millisecond, 9000: mostPause} {
		is.Equal(Settings{Apply: apply}.pause(), want)
	}
}
