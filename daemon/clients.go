package daemon

import (
	"net/http"
	"sync"
	"time"

	"clementinehead.example/chead/relay"
	"clementinehead.example/chead/roster"
	"clementinehead.example/chead/wire"
)

// The limits of connections to others.
const (
	idleLimit    = 30 * time.Second // an unused connection
	headerLimit  = 30 * time.Second // until an answer's headers
	peerIdle     = 5 * time.Second  // an unused connection between daemons
	pingAfter    = 2 * time.Second  // of silence on a connection between daemons
	pingLimit    = time.Second      // for the answer to a ping
	endpointIdle = 256              // unused connections to one endpoint
)

// clients are the HTTP clients of a daemon, one for each kind of server.
type clients struct {
	store    *http.Client
	endpoint *http.Client
	probe    *http.Client // of gates
	order    *http.Client // of keepers: probes and orders
	fresh    *http.Client // uses each connection once
	peer     *http.Client
}

func newClients(o Options) clients {
	return clients{
		store:    &http.Client{Transport: storeTransport(o)},
		endpoint: &http.Client{Transport: endpointTransport(o), CheckRedirect: passRedirect},
		probe:    &http.Client{Transport: probeTransport(o)},
		order:    &http.Client{Transport: probeTransport(o)},
		fresh:    &http.Client{Transport: freshTransport(o), CheckRedirect: passRedirect},
		peer:     &http.Client{Transport: peerTransport(o)},
	}
}

// passRedirect leaves redirects to the caller: to follow one is to send another
// request.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func storeTransport(o Options) *http.Transport {
	return &http.Transport{DialContext: o.Dial, IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: 8}
}

func endpointTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:           o.Dial,
		IdleConnTimeout:       idleLimit,
		MaxIdleConnsPerHost:   endpointIdle,
		ResponseHeaderTimeout: headerLimit,
		DisableCompression:    true,
	}
}

// probeTransport keeps one unused connection to an endpoint. A probe that fails
// closes its connection, so the next one dials anew: an endpoint whose other
// connections have all gone silent is not taken for a silent endpoint.
func probeTransport(o Options) *http.Transport {
	transport := endpointTransport(o)
	transport.MaxIdleConnsPerHost = 1
	return transport
}

// freshTransport uses each connection once, so that net/http never sends a
// request a second time.
func freshTransport(o Options) *http.Transport {
	transport := endpointTransport(o)
	transport.DisableKeepAlives = true
	return transport
}

// peerTransport speaks HTTP/2 without TLS. A connection that has gone silent
// is found by its pings and dropped, so that the next call dials anew.
func peerTransport(o Options) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     o.Dial,
		IdleConnTimeout: peerIdle,
		Protocols:       &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingLimit,
		},
	}
}

func (c clients) close() {
	c.store.CloseIdleConnections()
	c.endpoint.CloseIdleConnections()
	c.probe.CloseIdleConnections()
	c.order.CloseIdleConnections()
	c.peer.CloseIdleConnections()
}

// cache makes each peer's client once.
type cache[T any] struct {
	build func(address string) T
	mutex sync.Mutex
	known map[string]T
}

func newCache[T any](build func(address string) T) *cache[T] {
	return &cache[T]{build: build, known: map[string]T{}}
}

// get returns the client of a peer address.
func (c *cache[T]) get(address string) T {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client, ok := c.known[address]
	if !ok {
		client = c.build(address)
		c.known[address] = client
	}
	return client
}

// peers are the services of other daemons, by peer address.
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
