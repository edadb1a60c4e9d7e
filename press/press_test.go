package press

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestUnpack(t *testing.T) {
	const limit = 1000
	packed := func(n int) []byte { return Pack([]byte(strings.Repeat("x", n))) }
	for _, c := range []struct {
		name string
		data []byte
		want int // bytes
		kind Kind
		fail bool
	}{
		{"nothing", packed(0), 0, 0, false},
		{"as much as allowed", packed(limit), limit, 0, false},
		{"a byte more", packed(limit + 1), 0, TooLarge, true},
		{"much more of little", packed(50_000_000), 0, TooLarge, true},
		{"cut short", packed(limit)[:12], 0, Malformed, true},
		{"no gzip", []byte("{}"), 0, Malformed, true},
		{"no byte", nil, 0, Malformed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Unpack(bytes.NewReader(c.data), limit)
			is.Equal(len(got), c.want)
			is.Equal(err != nil, c.fail)
			var e *Error
			if errors.As(err, &e) {
				is.Equal(e.Kind, c.kind)
			}
		})
	}
}

// BenchmarkPack is the cost of a relay's message of a large fleet.
func BenchmarkPack(b *testing.B) {
	data := []byte(strings.Repeat(`"i-0fc3875fd9":{"running":3},`, 760))
	b.ReportAllocs()
	for b.Loop() {
		Pack(data)
	}
}
