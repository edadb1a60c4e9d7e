package conf_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestParse(t *testing.T) {
	is := is.New(t)
	document, err := conf.Parse(readTestdata(t, "valid.json"))
	is.NoErr(err)
	is.Equal(document.Groups["permits"].Adapter, "permits")
	is.Equal(len(conf.Check(document)), 0)
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, text string
		kind       conf.Kind
		location   string
	}{
		{"not JSON", "{", conf.Syntax, "document"},
		{"empty input", "", conf.Syntax, "document"},
		{"two values", "{} {}", conf.Syntax, "document"},
		{"not an object", "[]", conf.Type, "document"},
		{"null", "null", conf.Type, "document"},
		{"unknown section", `{"modles": {}}`, conf.Unknown, "modles"},
		{"wrong case", `{"Models": {}}`, conf.Unknown, "Models"},
		{"unknown field", `{"groups": {"desk": {"sice": 4}}}`, conf.Unknown, "groups.desk.sice"},
		{"unknown inner field", `{"capacity": {"ramp": {"begin": 4}}}`, conf.Unknown, "capacity.ramp.begin"},
		{"wrong type", `{"groups": {"desk": {"size": "4"}}}`, conf.Type, "groups.desk.size"},
		{"fraction", `{"groups": {"desk": {"size": 1.5}}}`, conf.Type, "groups.desk.size"},
		{"null number", `{"groups": {"desk": {"size": null}}}`, conf.Type, "groups.desk.size"},
		{"wrong element", `{"models": {"m": {"versions": ["1", 2]}}}`, conf.Type, "models.m.versions.1"},
		{"list for object", `{"accounts": []}`, conf.Type, "accounts"},
		{"object for list", `{"models": {"m": {"versions": {}}}}`, conf.Type, "models.m.versions"},
		{"time without unit", `{"limits": {"wait": 2}}`, conf.Type, "limits.wait"},
		{"duplicate key", `{"groups": {"desk": {"size": 4}, "desk": {"size": 3}}}`, conf.Clash, "groups.desk"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := conf.Parse([]byte(test.text))
			var fault *conf.Error
			is.True(errors.As(err, &fault))
			is.Equal(fault.Kind, test.kind)
			is.Equal(fault.Location(), test.location)
		})
	}
}

// TestCheck compares the faults of a document with many faults with a golden
// file.
func TestCheck(t *testing.T) {
	is := is.New(t)
	document, err := conf.Parse(readTestdata(t, "faulty.json"))
	is.NoErr(err)
	var lines strings.Builder
	for _, fault := range conf.Check(document) {
		fmt.Fprintln(&lines, fault)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/faulty.golden", []byte(lines.String()), 0o644))
	}
	is.Equal(lines.String(), string(readTestdata(t, "faulty.golden")))
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	settings, err := conf.ParseSettings([]byte(`{
		"domain": "coast-a", "region": "coast", "caller": "127.0.0.1:7001", "peer": "127.0.0.1:7000",
		"operator": "127.0.0.1:7002", "store": "http://127.0.0.1:9000", "platform": "http://127.0.0.1:9000"}`))
	is.NoErr(err)
	is.Equal(len(conf.CheckSettings(settings)), 0)

	secret := "open sesame"
	settings.Peer, settings.Store, settings.Secret = "7000", "127.0.0.1:9000", &secret
	var locations []string
	for _, fault := range conf.CheckSettings(settings) {
		locations = append(locations, fault.Location())
	}
	is.Equal(locations, []string{"peer", "store", "secret"})
}

// Guards against an open operators' interface: a secret that was given empty, as by a template
// without a value, was read as one that isn't given.
func TestSecret(t *testing.T) {
	const rest = `"domain": "d", "region": "r", "caller": "127.0.0.1:1", "peer": "127.0.0.1:2",
		"operator": "127.0.0.1:3", "store": "http://127.0.0.1:4", "platform": "http://127.0.0.1:5"}`
	hash := strings.Repeat("0a", 32)
	for _, c := range []struct {
		name, field string
		sound       bool
	}{
		{"absent", "", true},
		{"a hash", `"secret": "` + hash + `", `, true},
		{"empty", `"secret": "", `, false},
		{"blank", `"secret": " ", `, false},
		{"null", `"secret": null, `, false},
		{"a number", `"secret": 0, `, false},
		{"a part of a hash", `"secret": "` + hash[1:] + `", `, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := conf.ParseSettings([]byte("{" + c.field + rest))
			is.Equal(err == nil && len(conf.CheckSettings(settings)) == 0, c.sound)
		})
	}
}

func TestSections(t *testing.T) {
	is := is.New(t)
	document, err := conf.Parse(readTestdata(t, "valid.json"))
	is.NoErr(err)
	var rebuilt conf.Document
	for _, key := range conf.Sections() {
		content, err := conf.SectionJSON(document, key)
		is.NoErr(err)
		rebuilt, err = conf.WithSections(rebuilt, map[string]json.RawMessage{key: content})
		is.NoErr(err)
	}
	is.Equal(rebuilt, document)
	_, err = conf.SectionJSON(document, "modles")
	is.True(err != nil)
}
