package relay

import (
	"net/http"

	"connectrpc.com/connect"

	"clementinehead.example/chead/wire"
)

// compressed is the message size in bytes from which messages are compressed.
const compressed = 1 << 10

// Dial returns a client of the daemon at a peer address, host:port. It
// compresses large requests. Creating a client costs more than a call, so keep
// it.
func Dial(client connect.HTTPClient, address string) wire.RelayClient {
	return wire.NewRelayClient(client, "http://"+address,
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressed))
}

// Handler returns the path and the HTTP handler of wire's Relay service.
func (r *Relay) Handler() (string, http.Handler) {
	return wire.NewRelayHandler(r, connect.WithCompressMinBytes(compressed))
}
