package docs

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/daemon"
)

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	is.New(t).NoErr(err)
	return string(text)
}

// TestSections loads the example of each section as one document.
func TestSections(t *testing.T) {
	is := is.New(t)
	example := regexp.MustCompile("(?s)### ([a-z]+)\n.*?```json\n(.*?)```")
	sections := map[string]json.RawMessage{}
	for _, match := range example.FindAllStringSubmatch(page(t, "OPERATE.md"), -1) {
		sections[match[1]] = json.RawMessage(match[2])
	}
	is.Equal(len(sections), len(conf.Sections())) // every section has an example
	data, err := json.Marshal(sections)
	is.NoErr(err)
	document, err := conf.Parse(data)
	is.NoErr(err)
	is.Equal(len(conf.Check(document)), 0)
}

// TestDemoDocument checks the document that the demo puts.
func TestDemoDocument(t *testing.T) {
	is := is.New(t)
	document, err := conf.Parse([]byte(page(t, "../examples/demo.json")))
	is.NoErr(err)
	is.Equal(len(conf.Check(document)), 0)
}

// TestMetricsAreExplained compares the page with what a daemon registers.
func TestMetricsAreExplained(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	_, err := daemon.New(daemon.Options{
		Settings: conf.Settings{ID: "d", Store: "http://127.0.0.1:1"},
		Started:  time.Unix(1, 0),
		Log:      logr.Discard(),
		Registry: registry,
		Rand:     rand.New(rand.NewPCG(1, 1)),
	})
	is.NoErr(err)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		registry.Describe(descriptions)
	}()
	text := page(t, "OPERATE.md")
	name := regexp.MustCompile(`fqName: "([^"]+)"`)
	for description := range descriptions {
		metric := name.FindStringSubmatch(description.String())[1]
		if !strings.Contains(text, "`"+metric+"`") {
			t.Errorf("%s is not explained", metric)
		}
	}
}
