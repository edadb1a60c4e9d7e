package watch

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/fakes"
)

// A relay's answer that unfolds to more than it may is an error, and takes no more than a
// part of the smallest instance's memory.
func TestRelaysAnswerUnfoldsWithoutEnd(t *testing.T) {
	const most = 184 << 20 / 4 // bytes
	for _, c := range []struct{ name, again string }{
		{"letters", "x"}, {"spaces", " "}, {"items", `{"key":"servers/a","revision":1},`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			packed := packRepeated(t, c.again, 4*maxRelayBytes)
			var err error
			peak := fakes.PeakHeap(func() { _, err = decodeItems(bytes.NewReader(packed)) })
			t.Logf("%d bytes at the most", peak)
			is.True(bound.IsTooLarge(err))
			is.True(peak < most)
		})
	}
}

// packRepeated returns an array of so many bytes of the same text, compressed.
func packRepeated(t *testing.T, text string, size int) []byte {
	t.Helper()
	var packed bytes.Buffer
	zip, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(zip, strings.NewReader("["+strings.Repeat(text, size/len(text))))
	if err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}
