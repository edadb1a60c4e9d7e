package relay

import (
	"net/http"

	"connectrpc.com/connect"

	"clementinehead.example/chead/wire"
)

// compressed is the size of a message from which it is compressed, in bytes.
const compressed = 1 << 10

// Dial returns a client of the daemon at a peer address, host:port. Documents
// are compressed. Making a client costs more than a call; keep it.
func Dial(client connect.HTTPClient, address string) wire.RelayClient {
	return wire.NewRelayClient(client, "http://"+address,
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressed))
}

// Handler returns the path and the handler of wire's Relay service.
func (r *Relay) Handler() (string, http.Handler) {
	return wire.NewRelayHandler(r, connect.WithCompressMinBytes(compressed))
}
