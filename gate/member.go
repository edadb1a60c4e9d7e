package gate

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fleet"
)

// member is a member of the replica and the result of its last probe.
type member struct {
	record    fleet.Member
	sent      time.Time // when the last answered probe was sent
	report    engine.Report
	suspected time.Time // when a crash was last reported; only answers to later probes count
}

// blockReason returns the reason for which this member prevents permits.
func (m *member) blockReason(now time.Time, fence uint64) Bar {
	switch {
	case m.sent.IsZero() || !m.sent.After(m.suspected) || now.Sub(m.sent) > ProbeValidity:
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

// updateMembers returns the members of a new record. Those that were in the old
// one keep their probe results.
func updateMembers(old []member, records []fleet.Member) []member {
	members := make([]member, len(records))
	for i, record := range records {
		members[i].record = record
		for _, m := range old {
			if m.record.Instance == record.Instance && m.record.Address == record.Address {
				members[i].sent = m.sent
				members[i].report = m.report
				members[i].suspected = m.suspected
			}
		}
	}
	return members
}
