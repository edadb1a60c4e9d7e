package roster

import (
	"net/http"

	"connectrpc.com/connect"

	"clementinehead.example/chead/wire"
)

// Dial returns a client of the daemon at a peer address, host:port. Requests are
// small and are not compressed. Creating a client costs more than a call, so
// keep it.
func Dial(client connect.HTTPClient, address string) wire.RosterClient {
	return wire.NewRosterClient(client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
}

// Handler returns the path and the HTTP handler of wire's Roster service.
// Responses omit the Date header, which no client reads.
func (r *Roster) Handler() (string, http.Handler) {
	path, handler := wire.NewRosterHandler(r)
	return path, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header()["Date"] = nil
		handler.ServeHTTP(w, request)
	})
}
