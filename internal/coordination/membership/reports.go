package membership

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// MemberReport is what this router knows about the configuration and the log of another member. It is not
// related to the reporters of a suspicion.
type MemberReport struct {
	VM, Address string
	// Known is true when the member has sent a message directly to this router. Version and Next are from the
	// last one: the active configuration version and the offset of the next record of the config stream.
	Known   bool
	Version uint64
	Next    uint64
	// LogRead is true when the member has responded to a probe. LogReadAge is then the time since the log was
	// last read to its end, by the member or by another router that told the member.
	LogRead    bool
	LogReadAge time.Duration
	// LogDown is true when the member has reported the log as unreachable, directly or through others.
	// LogDownAge is the age of the last such report.
	LogDown    bool
	LogDownAge time.Duration
	// Listed is true when the platform's list has the VM.
	Listed bool
	State  State
}

// Reports returns one report for each other member.
func (m *StateMachine) Reports(now time.Time) []MemberReport {
	reports := make([]MemberReport, 0, len(m.table))
	for _, vm := range m.sortedVMs() {
		e := m.table[vm]
		if e == m.self {
			continue
		}
		r := MemberReport{VM: vm, Address: e.address, Listed: e.listed, State: e.state(), Known: !e.configReceivedAt.IsZero()}
		if r.Known {
			r.Version, r.Next = e.config.Version, e.config.Next
		}
		if !e.logReadAt.IsZero() {
			r.LogRead, r.LogReadAge = true, now.Sub(e.logReadAt)
		}
		if !e.logDownAt.IsZero() {
			r.LogDown, r.LogDownAge = true, now.Sub(e.logDownAt)
		}
		reports = append(reports, r)
	}
	return reports
}

// maxLogDownAge is the largest age that fits into a byte of Heartbeat.LogDown.
const maxLogDownAge = 254 * peerapi.LogDownUnit

// logDownAges returns the ages of all members' reports of a log outage, for Heartbeat.LogDown and
// Heartbeat.VMHash. A router probes only 4 of 380 members in a second. Without forwarding the reports of
// others, no router would learn within a configuration lease of a few seconds (see configsync.Lease) that a
// majority reports the outage.
func (m *StateMachine) logDownAges(now time.Time) (ages []byte, vmHash uint64) {
	ages = make([]byte, 0, len(m.table))
	for _, vm := range m.sortedVMs() {
		vmHash += mix(m.table[vm].vmHash)
		age := now.Sub(m.table[vm].logDownAt)
		if m.table[vm].logDownAt.IsZero() || age > maxLogDownAge {
			ages = append(ages, 0)
			continue
		}
		// Rounded up, so that a report never looks more recent than it is.
		ages = append(ages, byte((max(0, age)+peerapi.LogDownUnit-1)/peerapi.LogDownUnit)+1)
	}
	return ages, vmHash
}

func (m *StateMachine) mergeLogDown(now time.Time, hb peerapi.Heartbeat) {
	if len(hb.LogDown) != len(m.table) {
		return
	}
	if _, vmHash := m.logDownAges(now); vmHash != hb.VMHash {
		return
	}
	for i, vm := range m.sortedVMs() {
		e := m.table[vm]
		if hb.LogDown[i] == 0 || e == m.self {
			continue
		}
		at := now.Add(-time.Duration(hb.LogDown[i]-1) * peerapi.LogDownUnit)
		if at.After(e.logDownAt) {
			e.logDownAt = at
		}
	}
}
