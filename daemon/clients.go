package daemon

import (
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/wire"
)

// The limits of outgoing connections.
const (
	idleTimeout       = 30 * time.Second // of an unused connection
	headerTimeout     = 30 * time.Second // for the response headers of a call of the gate or the keeper
	peerIdleTimeout   = 5 * time.Second  // of an unused connection between daemons
	sendPingTimeout   = 2 * time.Second  // without data on a connection between daemons, until a ping is sent
	pingTimeout       = time.Second      // for the response to a ping
	endpointIdleConns = 256              // unused connections to one endpoint
)

// clients are the HTTP clients of a daemon, one for each use.
type clients struct {
	store     *http.Client
	endpoint  *http.Client
	plain     *http.Client // to plain services, without reuse of connections
	probe     *http.Client // of the gate
	order     *http.Client // of the keeper: probes and orders
	singleUse *http.Client // to endpoints, without reuse of connections
	peer      *http.Client
}

func newClients(o Options) clients {
	return clients{
		store:     &http.Client{Transport: reply.NewTransport(storeTransport(o))},
		endpoint:  &http.Client{Transport: reply.NewTransport(endpointTransport(o)), CheckRedirect: returnRedirect},
		plain:     &http.Client{Transport: reply.NewTransport(plainTransport(o)), CheckRedirect: returnRedirect},
		probe:     &http.Client{Transport: reply.NewTransport(probeTransport(o))},
		order:     &http.Client{Transport: reply.NewTransport(probeTransport(o))},
		singleUse: &http.Client{Transport: reply.NewTransport(singleUseTransport(o)), CheckRedirect: returnRedirect},
		peer:      &http.Client{Transport: peerTransport(o)},
	}
}

// returnRedirect makes a client return redirects instead of following them,
// since following one would send another request.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// storeTransport uses each connection for one call. On a kept one, a late second answer to
// an earlier call would be taken for the call's: for a claim that was refused, or a lease.
func storeTransport(o Options) *http.Transport {
	return &http.Transport{DialContext: o.Dial, DisableKeepAlives: true}
}

func endpointTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:           o.Dial,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   endpointIdleConns,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}
}

// probeTransport keeps at most one unused connection to an endpoint. A failed
// probe closes its connection, so that the next probe opens a new one. This way
// an endpoint is not considered unresponsive when only its existing connections
// have stopped transferring data.
func probeTransport(o Options) *http.Transport {
	transport := endpointTransport(o)
	transport.MaxIdleConnsPerHost = 1
	return transport
}

// plainTransport uses each connection for one request, but does not ask the service to
// close it: from an answer that says so, net/http drops the Connection header, which
// names the headers that the entry must not forward.
func plainTransport(o Options) *http.Transport {
	transport := requestTransport(o)
	transport.MaxIdleConnsPerHost = -1
	return transport
}

// singleUseTransport uses each connection for one request, so that net/http never
// sends a request a second time.
func singleUseTransport(o Options) *http.Transport {
	transport := requestTransport(o)
	transport.DisableKeepAlives = true
	return transport
}

// requestTransport has no timeout of its own for callers' requests: the settings and
// the caller's deadline say how long an endpoint may be silent.
func requestTransport(o Options) *http.Transport {
	transport := endpointTransport(o)
	transport.ResponseHeaderTimeout = 0
	return transport
}

// peerTransport uses HTTP/2 without TLS. A connection that no longer transfers
// data is detected by pings and closed, so that the next call opens a new one.
func peerTransport(o Options) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return bound.Heads(&http.Transport{
		DialContext:     o.Dial,
		IdleConnTimeout: peerIdleTimeout,
		Protocols:       &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	})
}

func (c clients) close() {
	c.store.CloseIdleConnections()
	c.endpoint.CloseIdleConnections()
	c.probe.CloseIdleConnections()
	c.order.CloseIdleConnections()
	c.peer.CloseIdleConnections()
}

// cache creates the client for each peer address once. It is safe for concurrent
// use.
type cache[T any] struct {
	build   func(address string) T
	mutex   sync.Mutex
	clients map[string]T
}

func newCache[T any](build func(address string) T) *cache[T] {
	return &cache[T]{build: build, clients: map[string]T{}}
}

// get returns the client for a peer address.
func (c *cache[T]) get(address string) T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = c.build(address)
		c.clients[address] = client
	}
	return client
}

// peers holds the clients for the services of other daemons, by peer address.
type peers struct {
	roster *cache[wire.RosterClient]
	relay  *cache[wire.RelayClient]
	gate   *cache[wire.GateClient]
	tally  *cache[wire.TallyClient]
}

func newPeers(client *http.Client) peers {
	return peers{
		roster: newCache(func(address string) wire.RosterClient { return roster.Dial(client, address) }),
		relay:  newCache(func(address string) wire.RelayClient { return relay.Dial(client, address) }),
		gate: newCache(func(address string) wire.GateClient {
			return wire.NewGateClient(client, "http://"+address)
		}),
		tally: newCache(func(address string) wire.TallyClient {
			return wire.NewTallyClient(client, "http://"+address)
		}),
	}
}
