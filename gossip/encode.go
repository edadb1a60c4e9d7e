package gossip

import (
	"bytes"
	"encoding/json"

	"clementinehead.example/chead/press"
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
	return press.Pack(data), nil
}

// decode returns the message of a datagram, or an error if there is none in it or it has
// no sender.
func decode(data []byte) (Message, error) {
	var m Message
	if bytes.HasPrefix(data, gzipMagic) {
		var err error
		data, err = press.Unpack(bytes.NewReader(data), maxMessage)
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
