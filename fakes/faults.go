package fakes

import (
	"maps"
	"net"
	"slices"
)

// Cut stops all bytes between two hosts, of which either may be Every. Open
// connections stay open and dials wait.
func (n *Network) Cut(a, b string) {
	n.relink(func() { n.cut[linkOf(a, b)] = true })
}

// Heal undoes Cut of the same two names. What was written meanwhile arrives.
func (n *Network) Heal(a, b string) {
	n.relink(func() { delete(n.cut, linkOf(a, b)) })
}

func (n *Network) relink(change func()) {
	n.mu.Lock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.each(func(link) bool { return true }, func(*flow) {})
}

// Silence makes the connections that are open between two hosts, of which
// either may be Every, silent for good: both ends take them for open, and
// nothing arrives, not even their end. New connections work.
func (n *Network) Silence(a, b string) {
	m := linkOf(a, b)
	n.each(func(l link) bool { return l.matches(m) }, func(f *flow) { f.silent = true })
}

// Reset breaks the connections that are open between two hosts, of which
// either may be Every.
func (n *Network) Reset(a, b string) {
	m := linkOf(a, b)
	n.each(func(l link) bool { return l.matches(m) }, func(f *flow) { f.reset = true })
}

// Kill ends a host: its listeners are closed and its connections broken. The
// host's name can be used again.
func (n *Network) Kill(host string) {
	for _, l := range n.listening(host) {
		_ = l.Close()
	}
	n.Reset(host, Every)
}

func (n *Network) listening(host string) []*listener {
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

// each changes both flows of the connections on the links that fit.
func (n *Network) each(fits func(link) bool, change func(*flow)) {
	n.mu.Lock()
	pairs := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, p := range pairs {
		if fits(p.link) {
			p.update(change)
		}
	}
}

// Close ends all servers, listeners and connections, and waits for the servers
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
	n.each(func(link) bool { return true }, func(f *flow) { f.reset = true })
	for _, transport := range transports {
		transport.CloseIdleConnections()
	}
	n.serving.Wait()
}
