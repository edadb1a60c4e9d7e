package gossip

import (
	"maps"
	"time"
)

const (
	maxMemberAge = 4 * time.Second // a daemon of which nothing was heard for longer counts as gone, whatever relays say
	maxMergeAge  = 3 * time.Second // members and groups that a relay's message leaves out are no older
)

// complete reports whether a message has all members and groups of its scope.
func (m Message) complete() bool { return m.Scope == Own || m.Full }

// merge completes a relay's message by what the one before had and this one leaves
// out. That was sent some time ago, and is left out if it is older than maxMergeAge.
func (m Message) merge(before Message, age time.Duration) Message {
	if m.complete() || before.Scope != m.Scope || age > maxMergeAge {
		return m
	}
	m.Members = before.Members
	m.Work = before.Work
	groups := maps.Clone(before.Groups)
	if groups == nil {
		groups = map[string]Group{}
	}
	maps.Copy(groups, m.Groups)
	m.Groups = groups
	return m
}

// members returns the daemons of a peer's scope with their present ages, without those
// that count as gone.
func (p *peer) members(now time.Duration) []Member {
	passed := tenths(now - p.fullAt)
	var present []Member
	for _, member := range p.message.Members {
		member.Age = max(0, member.Age) + passed
		if member.Age <= tenths(maxMemberAge) {
			present = append(present, member)
		}
	}
	return present
}

// aged returns a message that was received some time ago, with the present ages of the
// limits in it.
func (m Message) aged(passed time.Duration) Message {
	cloned := false
	for id, load := range m.Endpoints {
		if !load.Limit.known() {
			continue
		}
		if !cloned {
			m.Endpoints = maps.Clone(m.Endpoints)
			cloned = true
		}
		load.Limit.Age += int(passed.Milliseconds()) + 1 // rounded up
		m.Endpoints[id] = load
	}
	return m
}

// tenths returns a time in tenths of a second, rounded up.
func tenths(d time.Duration) int {
	const tenth = 100 * time.Millisecond
	return int((d + tenth - 1) / tenth)
}
