package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

const (
	// compressAbove is the size in bytes from which a message is compressed. Smaller
	// ones fit into one packet as they are.
	compressAbove = 1200
	// maxMessage bounds the size in bytes of a decompressed message.
	maxMessage = 1 << 20
)

// gzipMagic begins a compressed message. JSON begins otherwise.
var gzipMagic = []byte{0x1f, 0x8b}

// encode returns a message as a datagram.
func encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil || len(data) <= compressAbove {
		return data, err
	}
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if _, err := zip.Write(data); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode returns the message of a datagram, or an error if there is none in it or it has
// no sender.
func decode(data []byte) (Message, error) {
	var m Message
	if bytes.HasPrefix(data, gzipMagic) {
		zip, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return m, err
		}
		data, err = io.ReadAll(io.LimitReader(zip, maxMessage))
		if err != nil {
			return m, err
		}
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, err
	}
	if m.From.ID == "" {
		return m, errNoSender
	}
	return m, nil
}
