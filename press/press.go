package press

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
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
	data, err := io.ReadAll(io.LimitReader(zip, limit+1))
	switch {
	case err != nil:
		return nil, &Error{Op: "expand", Kind: Malformed, Err: err}
	case int64(len(data)) > limit:
		return nil, &Error{Op: "expand", Kind: TooLarge}
	}
	return data, nil
}
