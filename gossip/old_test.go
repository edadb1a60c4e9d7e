package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"testing"

	"clementinehead.example/chead/site"
)

// oldBuild is the commit whose messages are in testdata, and whose types are below.
const oldBuild = "12840eb"

// oldMessage is Message as the old build has it, with its types of fields.
type oldMessage struct {
	From      site.Daemon        `json:"from"`
	Scope     Scope              `json:"scope,omitempty"`
	Relay     string             `json:"relay,omitempty"`
	Ready     bool               `json:"ready"`
	Fresh     bool               `json:"fresh"`
	Cut       bool               `json:"cut,omitempty"`
	Revision  int64              `json:"revision"`
	Version   int64              `json:"version"`
	Term      int64              `json:"term"`
	Endpoints map[string]oldLoad `json:"heads,omitempty"`
	Demand    map[string]int     `json:"demand,omitempty"`
	Queues    map[string]struct {
		InTime      int     `json:"soon,omitempty"`
		Late        int     `json:"late,omitempty"`
		FreeRate    float64 `json:"freed,omitempty"`
		ArrivalRate float64 `json:"came,omitempty"`
	} `json:"lines,omitempty"`
	Crashes map[string]int `json:"strikes,omitempty"`
	Parts   map[string]struct {
		Crashes  int `json:"crashes,omitempty"`
		Survived int `json:"survived,omitempty"`
		Refused  int `json:"refused,omitempty"`
	} `json:"parts,omitempty"`
	Groups map[string]struct {
		Name  string `json:"name"`
		Epoch int64  `json:"epoch"`
		Model string `json:"model"`
		Open  bool   `json:"open"`
	} `json:"groups,omitempty"`
	Members []struct {
		ID    string `json:"id"`
		Ready bool   `json:"ready,omitempty"`
		Fresh bool   `json:"fresh,omitempty"`
		Cut   bool   `json:"cut,omitempty"`
		Age   int    `json:"age,omitempty"`
	} `json:"members,omitempty"`
	Full bool `json:"full,omitempty"`
}

// oldLoad is EndpointLoad as the old build has it.
type oldLoad struct {
	Running      int   `json:"running"`
	UnreadTokens int   `json:"unread,omitempty"`
	Leaving      int64 `json:"leaving,omitempty"`
	Slow         bool  `json:"slow,omitempty"`
	Stalled      bool  `json:"stuck,omitempty"`
	Sent         int   `json:"sent,omitempty"`
	Limit        struct {
		Started int64   `json:"started,omitempty"`
		Rate    float64 `json:"rate,omitempty"`
		Ended   bool    `json:"ended,omitempty"`
		Age     int     `json:"age,omitempty"`
	} `json:"limit,omitzero"`
}

// plainJSON returns the JSON of a datagram.
func plainJSON(t *testing.T, data []byte) []byte {
	t.Helper()
	if !bytes.HasPrefix(data, gzipMagic) {
		return data
	}
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(zip)
	if err != nil {
		t.Fatal(err)
	}
	return plain
}

// oldDecode returns what the old build reads in a datagram.
func oldDecode(t *testing.T, data []byte) oldMessage {
	t.Helper()
	var m oldMessage
	if err := json.Unmarshal(plainJSON(t, data), &m); err != nil {
		t.Fatal("the old build can't read it:", err)
	}
	return m
}

// mustEncode returns a message as a datagram.
func mustEncode(t *testing.T, m Message) []byte {
	t.Helper()
	data, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// mustDecode returns the message of a datagram.
func mustDecode(t *testing.T, data []byte) Message {
	t.Helper()
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// throughOld returns what a daemon of the old build that has a message passes on of it.
func throughOld(t *testing.T, m Message) Message {
	t.Helper()
	data, err := json.Marshal(oldDecode(t, mustEncode(t, m)))
	if err != nil {
		t.Fatal(err)
	}
	return mustDecode(t, data)
}
