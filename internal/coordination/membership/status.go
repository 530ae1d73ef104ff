package membership

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// MemberReport is what is known of a member's configuration and log.
type MemberReport struct {
	VM, Address string
	// Version and Next are of the member's last direct message; Known is false
	// when none has come.
	Known   bool
	Version uint64
	Next    uint64
	// LogRead is true when the member has answered a probe. HeardAge is how
	// long ago the log was last read to its end, by the member or by a node that
	// it heard from.
	LogRead    bool
	LogReadAge time.Duration
	// LogDown is true when the member has reported the log as unreachable, and
	// LogDownAge ago for the last time, directly or through others.
	LogDown    bool
	LogDownAge time.Duration
	// Listed says that the platform lists the VM.
	Listed bool
	State  State
}

// Reports returns one report for each other member.
func (m *Machine) Reports(now time.Time) []MemberReport {
	reports := make([]MemberReport, 0, len(m.table))
	for _, vm := range m.sortedVMs() {
		e := m.table[vm]
		if e == m.self {
			continue
		}
		r := MemberReport{VM: vm, Address: e.address, Listed: e.listed, State: e.state(), Known: !e.configAt.IsZero()}
		if r.Known {
			r.Version, r.Next = e.config.Version, e.config.Next
		}
		if !e.logHeardAt.IsZero() {
			r.LogRead, r.LogReadAge = true, now.Sub(e.logHeardAt)
		}
		if !e.logDownAt.IsZero() {
			r.LogDown, r.LogDownAge = true, now.Sub(e.logDownAt)
		}
		reports = append(reports, r)
	}
	return reports
}

// maxLogDownAge is the oldest age that fits a byte of Heartbeat.LogDown.
const maxLogDownAge = 254 * peerapi.LogDownUnit

// logDown returns the ages of all members' reports of a log outage. A node
// speaks to 4 of 380 members in a second, so without it no node would hear of a
// majority within a configuration lease of seconds.
func (m *Machine) logDown(now time.Time) (ages []byte, vmHash uint64) {
	ages = make([]byte, 0, len(m.table))
	for _, vm := range m.sortedVMs() {
		vmHash += mix(m.table[vm].vmHash)
		age := now.Sub(m.table[vm].logDownAt)
		if m.table[vm].logDownAt.IsZero() || age > maxLogDownAge {
			ages = append(ages, 0)
			continue
		}
		// Rounded up, so that a report never looks younger than it is.
		ages = append(ages, byte((max(0, age)+peerapi.LogDownUnit-1)/peerapi.LogDownUnit)+1)
	}
	return ages, vmHash
}

func (m *Machine) takeLogDown(now time.Time, hb peerapi.Heartbeat) {
	if len(hb.LogDown) != len(m.table) {
		return
	}
	if _, vmHash := m.logDown(now); vmHash != hb.VMHash {
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
