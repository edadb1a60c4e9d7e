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

// ages reports whether a message states ages of what endpoints stated or showed.
func (m Message) ages() bool {
	for _, load := range m.Endpoints {
		if load.Limit.known() || load.Learned.Known() {
			return true
		}
	}
	return false
}

// aged returns a message that was received some time ago, with the present ages of the
// limits in it, and of what was learned of endpoints.
func (m Message) aged(passed time.Duration) Message {
	cloned := false
	for id, load := range m.Endpoints {
		if !load.Limit.known() && !load.Learned.Known() {
			continue
		}
		if !cloned {
			m.Endpoints = maps.Clone(m.Endpoints)
			cloned = true
		}
		m.Endpoints[id] = load.aged(passed)
	}
	return m
}

// aged returns a load as it is when a time has passed, rounded up.
func (l EndpointLoad) aged(passed time.Duration) EndpointLoad {
	more := int(passed.Milliseconds()) + 1
	if l.Limit.known() {
		l.Limit.Age += more
	}
	if l.Learned.Known() {
		l.Learned.Age += more
		l.Learned.Gaps, l.Learned.Firsts = l.Learned.Gaps.Faded(passed), l.Learned.Firsts.Faded(passed)
	}
	return l
}

// tenths returns a time in tenths of a second, rounded up.
func tenths(d time.Duration) int {
	const tenth = 100 * time.Millisecond
	return int((d + tenth - 1) / tenth)
}
