package configsync

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
)

// LeaseState says whether a node may serve with its configuration, and why.
type LeaseState int

// The states of the configuration lease.
const (
	// LeaseLapsed: a newer version may be in force elsewhere. The node refuses.
	LeaseLapsed LeaseState = iota
	// LeaseByLog: the node has heard the log within the lease.
	LeaseByLog
	// LeaseByPeer: a peer has, and this node has what the peer has.
	LeaseByPeer
	// LeaseByOutage: a strict majority of the listed live VMs reports the log as
	// unreachable and no reachable one says otherwise, so nothing new can have
	// been accepted.
	LeaseByOutage
)

// Valid reports whether the node may serve.
func (s LeaseState) Valid() bool { return s != LeaseLapsed }

// LeaseInput is what a node knows when it decides.
type LeaseInput struct {
	Lease time.Duration
	// LogAge is the time since the start of the last read that reached the end
	// of the stream. LogUnreachable is true when the newest read failed.
	LogAge         time.Duration
	LogUnreachable bool
	// Next is the offset of the next record to fold.
	Next  uint64
	Peers []membership.MemberReport
	// ListedLive is the number of live VMs on the platform's list, with this one.
	ListedLive int
}

// Lease decides whether a node may serve.
func Lease(in LeaseInput) LeaseState {
	if in.LogAge <= in.Lease {
		return LeaseByLog
	}
	down := 0
	if in.LogUnreachable {
		down++
	}
	for _, p := range in.Peers {
		if p.LogRead && p.LogReadAge <= in.Lease && p.Next <= in.Next {
			return LeaseByPeer
		}
	}
	for _, p := range in.Peers {
		reportsDown := p.LogDown && p.LogDownAge <= in.Lease
		heard := p.LogRead && p.LogReadAge <= in.Lease
		switch {
		case heard:
			// The peer has heard the log and has a newer record than this node.
			return LeaseLapsed
		case reportsDown && p.Listed && p.State <= membership.StateSuspect:
			down++
		}
	}
	if 2*down > in.ListedLive {
		return LeaseByOutage
	}
	return LeaseLapsed
}

// Freshness returns the time since which this node's configuration is known to
// be the newest, through the log or through a peer that has no newer record.
func Freshness(in LeaseInput) time.Duration {
	age := in.LogAge
	for _, p := range in.Peers {
		if p.LogRead && p.Next <= in.Next {
			age = min(age, p.LogReadAge)
		}
	}
	return age
}

// RolloutStatus splits the fleet by whether a version is in force: the members that
// are behind or unknown are late. Members that are gone are left out.
func RolloutStatus(version uint64, peers []membership.MemberReport) (late []string, all bool) {
	for _, p := range peers {
		if p.State != membership.StateGone && (!p.Known || p.Version < version) {
			late = append(late, p.VM)
		}
	}
	return late, len(late) == 0
}
