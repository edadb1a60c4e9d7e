package press

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"clementinehead.example/chead/bound"
)

var (
	writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// Pack returns data compressed.
func Pack(data []byte) []byte {
	zip := writers.Get().(*gzip.Writer)
	defer writers.Put(zip)
	var out bytes.Buffer
	zip.Reset(&out)
	_, _ = zip.Write(data) // writing to a buffer does not fail
	_ = zip.Close()
	return out.Bytes()
}

// Unpack returns what r holds, expanded. More than limit bytes of it are an error of kind
// TooLarge, and no more are read; anything else that is wrong is of kind Malformed.
func Unpack(r io.Reader, limit int64) ([]byte, error) {
	zip := readers.Get().(*gzip.Reader)
	defer readers.Put(zip)
	if err := zip.Reset(r); err != nil {
		return nil, &Error{Op: "expand", Kind: Malformed, Err: err}
	}
	data, err := bound.ReadAll(zip, limit)
	switch {
	case bound.IsTooLarge(err):
		return nil, &Error{Op: "expand", Kind: TooLarge, Err: err}
	case err != nil:
		return nil, &Error{Op: "expand", Kind: Malformed, Err: err}
	}
	return data, nil
}
