package gossip

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/site"
)

// The keeper of a large fleet announces more than a hundred groups in each message, ten
// times a second to many peers. Uncompressed they would take most of a slow link.
func TestLargeMessagesAreCompressed(t *testing.T) {
	is := is.New(t)
	m := Message{From: site.Daemon{ID: "d1"}, Groups: map[string]Group{}}
	small, err := encode(m)
	is.NoErr(err)
	is.Equal(small[0], byte('{'))
	for i := range 150 {
		m.Groups[fmt.Sprintf("i-%010x", i*7919*104729)] = Group{Name: fmt.Sprintf("g%d", 1<<24+i), Epoch: int64(1<<24 + i), Model: "model-a", Open: true}
	}
	data, err := encode(m)
	is.NoErr(err)
	is.True(len(data) < 5000)
	got, err := decode(data)
	is.NoErr(err)
	is.Equal(got, m)
}

// Anyone may send datagrams. Those that hold no message are refused.
func TestBadDatagramsAreRefused(t *testing.T) {
	large, err := encode(Message{From: site.Daemon{ID: "d1"}, Demand: map[string]int{string(make([]byte, 2000)): 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"empty": {}, "no JSON": []byte("{"), "no sender": []byte(`{"ready":true}`), "cut": large[:len(large)/2], "magic alone": gzipMagic,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decode(data)
			is.True(err != nil)
		})
	}
}
