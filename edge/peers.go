package edge

import (
	"slices"
	"strings"

	"clementinehead.example/chead/gossip"
	"clementinehead.example/chead/site"
)

// peers returns the other daemons that callers should connect to: those that accept them
// and reach endpoints or, if this daemon knows of none that does, all that accept them.
func (d *Daemon) peers() []site.Daemon {
	var reaching, ready []site.Daemon
	for _, m := range d.others().current {
		if !m.Ready {
			continue
		}
		ready = append(ready, m.From)
		if !m.Cut {
			reaching = append(reaching, m.From)
		}
	}
	if len(reaching) == 0 && d.cutOff() {
		return ready
	}
	return reaching
}

// currentStarts returns the messages of daemons but for those that were started again
// since, or replaced: another one was heard or is listed at their address, which started
// later by its id. The result must not be changed.
func currentStarts(heard []gossip.Message, listed map[string]site.Daemon) []gossip.Message {
	newest := make(map[string]string, max(len(listed), len(heard))) // start by peer address
	for _, d := range listed {
		newest[d.Peer] = max(newest[d.Peer], startOf(d.ID))
	}
	for _, m := range heard {
		newest[m.From.Peer] = max(newest[m.From.Peer], startOf(m.From.ID))
	}
	old := func(m gossip.Message) bool { return startOf(m.From.ID) < newest[m.From.Peer] }
	if !slices.ContainsFunc(heard, old) {
		return heard // nearly always, so it isn't copied
	}
	return slices.DeleteFunc(slices.Clone(heard), old)
}

// startOf returns the end of a daemon's id, the time of its start, which sorts as text.
func startOf(id string) string { return id[strings.LastIndex(id, ".")+1:] }

// offersItself reports whether callers should connect to this daemon, as peers says of the
// others.
func (d *Daemon) offersItself() bool {
	if !d.ready() || !d.cutOff() {
		return d.ready()
	}
	return !slices.ContainsFunc(d.gossip.Alive(), func(m gossip.Message) bool { return m.Ready && !m.Cut })
}

// daemonCount returns the number of daemons that the budget is divided among.
func (d *Daemon) daemonCount() int { return d.others().sharers }

// listedCount returns the number of daemons that may serve.
func (d *Daemon) listedCount() int { return d.others().listed }

// countDaemons is countListed, or minDaemons if that is larger.
func countDaemons(self string, listed map[string]site.Daemon, heard []gossip.Message) int {
	return max(minDaemons, countListed(self, listed, heard))
}

// countListed returns the number of daemons that are listed in the store or heard by
// gossip, including this one. Those that are listed and not heard may still serve.
func countListed(self string, listed map[string]site.Daemon, heard []gossip.Message) int {
	known := make(map[string]bool, max(len(listed), len(heard))+1)
	known[self] = true
	for id := range listed {
		known[id] = true
	}
	for _, m := range heard {
		known[m.From.ID] = true
	}
	return len(known)
}
