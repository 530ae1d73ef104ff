// Package membership maintains the table of the routers in the fleet. It starts from the platform's list of
// VMs, which lags behind, and corrects it by a gossip protocol of heartbeats between the routers.
//
// StateMachine makes the decisions and does no I/O; Membership connects it to the list and to the peers. The
// daemon runs the Membership, finds peers and the homes of partitions through its View, and passes its
// reports to package configsync. A partition is one of the numbered groups that entries are divided into by
// name (see record.Partition); it has one home per region. A View may be outdated and may differ between
// routers; only Proof says that a process has terminated.
package membership

import "hash/fnv"

// State is a member's state as this router sees it.
type State uint8

// The states of a member.
const (
	// StateAlive members are in the platform's list or known from a heartbeat, and no reporter failed to
	// reach them.
	StateAlive State = iota
	// StateSuspect members could not be reached by at least one reporter. They keep their partitions, so that
	// a failure seen by a single router moves no partition.
	StateSuspect
	// StateLeaving members are stopping and get no new work.
	StateLeaving
	// StateGone members have reported their own termination, or a suspicion of them was confirmed (see Tick),
	// normally by two distinct reporters. This is no proof of termination.
	StateGone
)

// String returns the state as it appears in log lines.
func (s State) String() string { return [...]string{"alive", "suspect", "leaving", "gone"}[s] }

// Member is one VM and its router process as this router sees them. Incarnation is empty until a process is
// known.
type Member struct {
	VM, Incarnation, Zone, Region, PeerAddress string
	State                                      State
}

// View is an immutable copy of the member table.
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

// Members returns all members in order of VM ID. The caller must not change the slice.
func (v *View) Members() []Member { return v.members }

// Home returns the home of a partition in a region: the member that the partition is assigned to, which is
// the one with the highest rendezvous weight among those that are alive or suspect. It returns false if the
// region has no such member.
func (v *View) Home(partition int, region string) (Member, bool) {
	return v.highestWeight(partition, func(m Member) bool { return m.Region == region })
}

// Backup returns the backup of a partition's home: the member of the region with the highest weight in
// another availability zone. It returns false if there is none.
func (v *View) Backup(partition int, region string) (Member, bool) {
	home, ok := v.Home(partition, region)
	if !ok {
		return Member{}, false
	}
	return v.highestWeight(partition, func(m Member) bool { return m.Region == region && m.Zone != home.Zone })
}

// ReservationReplica returns the member that keeps the replica of a VM's reservations: the one with the
// highest weight in another availability zone of the region, else in another region, else anywhere. The
// replica then survives the loss of a zone.
func (v *View) ReservationReplica(vm, zone, region string) (Member, bool) {
	// The hash of the VM replaces the partition number, so that the replicas for the VMs of a zone are spread
	// over the members of other zones.
	seed := int(hashString(vm) >> 1)
	preferences := []func(Member) bool{
		func(m Member) bool { return m.Region == region && m.Zone != zone },
		func(m Member) bool { return m.Region != region },
		func(Member) bool { return true },
	}
	for _, preferred := range preferences {
		if m, ok := v.highestWeight(seed, func(m Member) bool { return m.VM != vm && preferred(m) }); ok {
			return m, true
		}
	}
	return Member{}, false
}

func (v *View) highestWeight(partition int, allowed func(Member) bool) (Member, bool) {
	best, found := 0, false
	var top uint64
	for i, m := range v.members {
		if m.State > StateSuspect || !allowed(m) {
			continue
		}
		// Members are in order of VM ID, so each router chooses the same one of equal weights.
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

// mix is the finalizer of SplitMix64. With FNV alone, the hashes of short, similar IDs have similar high
// bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
