package fakes

import (
	"maps"
	"net"
	"slices"
)

// Cut stops all bytes between two hosts, either of which may be AnyHost. Open
// connections stay open, and dials wait.
func (n *Network) Cut(a, b string) {
	n.updateCuts(func() { n.cut[linkOf(a, b)] = true })
}

// Heal undoes a Cut of the same two names. Bytes written in the meantime arrive.
func (n *Network) Heal(a, b string) {
	n.updateCuts(func() { delete(n.cut, linkOf(a, b)) })
}

// updateCuts changes the set of cuts and wakes all dials, reads and writes that
// wait.
func (n *Network) updateCuts(change func()) {
	n.mu.Lock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.updateFlows(func(link) bool { return true }, func(*flow) {})
}

// Silence makes the open connections between two hosts, either of which may be
// AnyHost, silent for good: both ends regard them as open, but nothing arrives,
// not even the end of the connection. New connections work.
func (n *Network) Silence(a, b string) {
	m := linkOf(a, b)
	n.updateFlows(func(l link) bool { return l.matches(m) }, func(f *flow) { f.silent = true })
}

// Reset breaks the open connections between two hosts, either of which may be
// AnyHost.
func (n *Network) Reset(a, b string) {
	m := linkOf(a, b)
	n.updateFlows(func(l link) bool { return l.matches(m) }, func(f *flow) { f.reset = true })
}

// Kill closes the listeners of a host and breaks its connections. The host's
// name can be used again.
func (n *Network) Kill(host string) {
	for _, l := range n.listenersOf(host) {
		_ = l.Close()
	}
	n.Reset(host, AnyHost)
}

// listenersOf returns the listeners of a host.
func (n *Network) listenersOf(host string) []*listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*listener
	for address, l := range n.listeners {
		name, _, _ := net.SplitHostPort(address)
		if name == host {
			found = append(found, l)
		}
	}
	return found
}

// updateFlows applies a change to both flows of each connection whose link
// matches.
func (n *Network) updateFlows(match func(link) bool, change func(*flow)) {
	n.mu.Lock()
	pairs := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, p := range pairs {
		if match(p.link) {
			p.update(change)
		}
	}
}

// Close closes all servers, listeners and connections, and waits for the servers
// that Serve started.
func (n *Network) Close() {
	n.mu.Lock()
	servers, transports := n.servers, n.transports
	listeners := slices.Collect(maps.Values(n.listeners))
	n.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	n.updateFlows(func(link) bool { return true }, func(f *flow) { f.reset = true })
	for _, transport := range transports {
		transport.CloseIdleConnections()
	}
	n.serving.Wait()
}
