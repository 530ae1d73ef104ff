package configsync

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
)

// LeaseState says whether a router may serve requests with its configuration, and why.
type LeaseState int

// The states of the configuration lease.
const (
	// LeaseExpired means that a newer version may be active elsewhere. The router refuses requests.
	LeaseExpired LeaseState = iota
	// LeaseByLog means that the router has read the log within the lease.
	LeaseByLog
	// LeaseByPeer means that a peer has read the log within the lease and this router has all records that
	// the peer has.
	LeaseByPeer
	// LeaseByOutage means that a strict majority of the live VMs on the platform's list reports the log as
	// unreachable and no reachable peer has read it within the lease, so no new version can have been
	// accepted.
	LeaseByOutage
)

// Valid reports whether the router may serve requests.
func (s LeaseState) Valid() bool { return s != LeaseExpired }

// LeaseInput is the input of Lease.
type LeaseInput struct {
	// Lease is the duration of the configuration lease.
	Lease time.Duration
	// LogAge is the time since the start of the last read that reached the end of the stream. LogUnreachable
	// is true if the newest read failed.
	LogAge         time.Duration
	LogUnreachable bool
	// Next is the offset of the next record to apply.
	Next  uint64
	Peers []membership.MemberReport
	// ListedLive is the number of live VMs on the platform's list, including this one.
	ListedLive int
}

// Lease decides whether a router may serve requests.
func Lease(in LeaseInput) LeaseState {
	if in.LogAge <= in.Lease {
		return LeaseByLog
	}
	outageReports := 0
	if in.LogUnreachable {
		outageReports++
	}
	for _, p := range in.Peers {
		if p.LogRead && p.LogReadAge <= in.Lease && p.Next <= in.Next {
			return LeaseByPeer
		}
	}
	for _, p := range in.Peers {
		reportsOutage := p.LogDown && p.LogDownAge <= in.Lease
		readLog := p.LogRead && p.LogReadAge <= in.Lease
		switch {
		case readLog:
			// The peer has read the log and has a newer record than this router.
			return LeaseExpired
		case reportsOutage && p.Listed && p.State <= membership.StateSuspect:
			outageReports++
		}
	}
	if 2*outageReports > in.ListedLive {
		return LeaseByOutage
	}
	return LeaseExpired
}

// Staleness returns the time since this router's configuration was last known to be the newest, either from
// the log or from a peer without newer records.
func Staleness(in LeaseInput) time.Duration {
	age := in.LogAge
	for _, p := range in.Peers {
		if p.LogRead && p.Next <= in.Next {
			age = min(age, p.LogReadAge)
		}
	}
	return age
}

// RolloutStatus returns the members that have not applied a version or whose version is unknown, and whether
// there are none. Members that are gone are left out.
func RolloutStatus(version uint64, peers []membership.MemberReport) (pending []string, complete bool) {
	for _, p := range peers {
		if p.State != membership.StateGone && (!p.Known || p.Version < version) {
			pending = append(pending, p.VM)
		}
	}
	return pending, len(pending) == 0
}
