// Package membership keeps the table of the fleet's routers. The platform's
// list of VMs, which lags, is corrected by heartbeats between the routers.
//
// Machine holds the decisions and does no I/O; Membership drives it. A view is
// a hint for routing and for homes. Only Proof says that a process has stopped.
package membership

import "hash/fnv"

// State is what a node believes of a member.
type State uint8

// The states of a member.
const (
	// StateAlive members are listed or were heard, and nothing speaks against them.
	StateAlive State = iota
	// StateSuspect members were not reached by at least one reporter. They keep
	// their partitions, so that one peer's word moves nothing.
	StateSuspect
	// StateLeaving members are stopping and get no new work.
	StateLeaving
	// StateGone members are off the list, or two distinct reporters failed to
	// reach them. It is no proof that the process has stopped.
	StateGone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "leaving", "gone"}[s] }

// Member is one router process as seen by this node.
type Member struct {
	VM, Incarnation, Zone, Region, PeerAddress string
	State                                      State
}

// View is the member table at one moment. It is never changed.
type View struct {
	members []Member
	hashes  []uint64
}

func newView(members []Member) *View {
	v := &View{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		v.hashes[i] = hashString(m.VM)
	}
	return v
}

// Members returns all members by VM id. The caller must not change the slice.
func (v *View) Members() []Member { return v.members }

// Home returns the home of a ledger partition in a region: the member with the
// highest rendezvous weight among those that are alive or only suspect.
func (v *View) Home(partition int, region string) (Member, bool) {
	return v.best(partition, func(m Member) bool { return m.Region == region })
}

// Backup returns the member of the region with the highest weight among those
// in another availability zone than the home.
func (v *View) Backup(partition int, region string) (Member, bool) {
	home, ok := v.Home(partition, region)
	if !ok {
		return Member{}, false
	}
	return v.best(partition, func(m Member) bool { return m.Region == region && m.Zone != home.Zone })
}

// ReservationReplica returns the member that keeps the reservation copies of a VM: the one
// with the highest weight in another availability zone of the region, else in
// another region, else any other member. Losing a zone then leaves the copies.
func (v *View) ReservationReplica(vm, zone, region string) (Member, bool) {
	// The VM's own hash takes the place of a partition, so that the copies of
	// a zone's VMs are spread over the members of the others.
	seed := int(hashString(vm) >> 1)
	preferences := []func(Member) bool{
		func(m Member) bool { return m.Region == region && m.Zone != zone },
		func(m Member) bool { return m.Region != region },
		func(Member) bool { return true },
	}
	for _, preferred := range preferences {
		if m, ok := v.best(seed, func(m Member) bool { return m.VM != vm && preferred(m) }); ok {
			return m, true
		}
	}
	return Member{}, false
}

func (v *View) best(partition int, allowed func(Member) bool) (Member, bool) {
	best, found := 0, false
	var top uint64
	for i, m := range v.members {
		if m.State > StateSuspect || !allowed(m) {
			continue
		}
		// VM ids are in rising order, so equal weights fall to the same member
		// on each node.
		if w := mix(v.hashes[i] ^ mix(uint64(partition))); !found || w > top {
			best, top, found = i, w, true
		}
	}
	if !found {
		return Member{}, false
	}
	return v.members[best], true
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone leaves the high bits of short,
// similar ids alike.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
