package gate

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
)

// member is what probes showed of one member of the replica.
type member struct {
	record fleet.Member
	sent   time.Time // of the last probe that was answered
	report engine.Report
	doubt  time.Time // when a crash was last told of; only a later probe counts
}

// bar returns what this member has against giving permits.
func (m *member) bar(now time.Time, fence uint64) Bar {
	switch {
	case m.sent.IsZero() || !m.sent.After(m.doubt) || now.Sub(m.sent) > ProbeFresh:
		return Silent
	case m.report.Fence != fence:
		return OtherFence
	case m.report.Boot != m.record.Boot:
		return OtherBoot
	case m.report.State != engine.Ready:
		return NotReady
	default:
		return Open
	}
}

// match returns the members of a new record, with what is known of those that
// were there before.
func match(old []member, records []fleet.Member) []member {
	members := make([]member, len(records))
	for i, record := range records {
		members[i].record = record
		for _, m := range old {
			if m.record.Instance == record.Instance && m.record.Address == record.Address {
				members[i].sent = m.sent
				members[i].report = m.report
				members[i].doubt = m.doubt
			}
		}
	}
	return members
}
