package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
)

// Config holds the settings of a StateMachine.
type Config struct {
	Self peerapi.Identity
	// PeerPort is added to the addresses in the platform's list. If it is empty, they are used unchanged.
	PeerPort string
	// ProbesPerRound is the number of members probed in one round.
	ProbesPerRound int
	// SuspicionTime is how long a suspicion that two reporters confirm must last before the member is marked
	// as gone. The member can refute it meanwhile.
	SuspicionTime time.Duration
	// ContactWindow is how long after a message from a member this router's failed probes of it are ignored.
	// It keeps a one-way network partition from causing suspicion.
	ContactWindow time.Duration
	// ForgetAfter is how long a member that is gone and not listed is kept in the table.
	ForgetAfter time.Duration
	// Seed makes the order of probes reproducible.
	Seed uint64
}

// DefaultConfig returns the settings of a router: 4 probes per round, which lasts 1 s (probeInterval).
func DefaultConfig(self peerapi.Identity) Config {
	return Config{
		Self: self, ProbesPerRound: 4, SuspicionTime: 3 * time.Second, ContactWindow: 3 * time.Second,
		ForgetAfter: 10 * time.Minute, Seed: hashString(self.VM + "/" + self.Incarnation),
	}
}

// failuresToSuspect is the number of consecutive failed probes after which this router suspects a member. One
// lost connection alone must not cause suspicion.
const failuresToSuspect = 2

// maxReporters bounds the reporters that are kept and sent per suspicion. Two of them mark a member as gone.
const maxReporters = 3

// processKey identifies one process.
type processKey struct{ vm, incarnation string }

// tableEntry is one VM in the member table.
type tableEntry struct {
	vm, incarnation, zone, region, address string
	// vmHash and incarnationHash are the hashes of vm and incarnation, cached because each message needs
	// them.
	vmHash, incarnationHash uint64
	// seq is the member's sequence number. The member raises it to refute a suspicion and when it starts to
	// leave.
	seq     uint64
	leaving bool

	// listed and listLeaving come from the platform's list.
	listed, listLeaving bool
	// reporters are the VMs that failed to reach the member at seq; senders are the VMs that told this router
	// so.
	reporters, senders map[string]bool
	suspectSince       time.Time
	gone               bool
	goneSince          time.Time

	// lastContact is the time of the last message that came directly from this incarnation.
	lastContact  time.Time
	failedProbes int
	// respondedToProbe is true when this incarnation has responded to a probe of this router.
	respondedToProbe bool

	config peerapi.ConfigStatus
	// configReceivedAt is when config was received, or zero.
	configReceivedAt time.Time
	// logReadAt is when the log was last read to its end according to the member; logDownAt is when the
	// member last reported the log as unreachable. Both come only from responses to probes, and are counted
	// from the time when the probe was sent: a received message may have waited while this process was
	// paused, and would look recent.
	logReadAt, logDownAt time.Time
}

// StateMachine is the membership state of one router. It does no I/O, is not safe for concurrent use, and
// gets the time from its caller.
type StateMachine struct {
	cfg Config
	rng *rand.Rand
	// eventSeq numbers rounds of probes, received messages and tracked processes in the order in which they
	// occur.
	eventSeq uint64

	self  *tableEntry
	table map[string]*tableEntry
	// retired holds the processes that were replaced in the table or have reported their own termination.
	retired map[processKey]bool
	// delisted holds the VMs that left the platform's list.
	delisted map[string]bool
	evidence evidence

	// probeOrder holds the members still to probe in this pass; priorityProbes holds those to probe before
	// them.
	probeOrder     []string
	priorityProbes []string
	changes        changeQueue
	// syncIndex is the index of the next member to send to a peer whose table differs.
	syncIndex int

	// view caches the result of View, nil after a change.
	view *View
	// sorted caches the VM IDs of the table in order, nil after a change.
	sorted []string
}

// NewStateMachine returns a state machine that knows only its own process.
func NewStateMachine(cfg Config) *StateMachine {
	self := &tableEntry{
		vm: cfg.Self.VM, incarnation: cfg.Self.Incarnation, zone: cfg.Self.Zone, region: cfg.Self.Region,
		address: cfg.Self.Address, seq: 1, vmHash: hashString(cfg.Self.VM), incarnationHash: hashString(cfg.Self.Incarnation),
	}
	m := &StateMachine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), self: self,
		table: map[string]*tableEntry{self.vm: self}, retired: make(map[processKey]bool),
		delisted: make(map[string]bool), evidence: newEvidence(),
	}
	m.changes.add(self.vm)
	return m
}

// View returns the member table. It returns the same View until a member changes.
func (m *StateMachine) View() *View {
	if m.view == nil {
		members := make([]Member, 0, len(m.table))
		for _, vm := range m.sortedVMs() {
			e := m.table[vm]
			members = append(members, Member{
				VM: e.vm, Incarnation: e.incarnation, Zone: e.zone, Region: e.region, PeerAddress: e.address, State: e.state(),
			})
		}
		m.view = newView(members)
	}
	return m.view
}

func (m *StateMachine) invalidateView() { m.view = nil }

// sortedVMs returns the VM IDs of the table in order. The caller must not change the slice.
func (m *StateMachine) sortedVMs() []string {
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Keys(m.table), cmp.Compare[string])
	}
	return m.sorted
}

func (m *StateMachine) insert(e *tableEntry) {
	e.vmHash = hashString(e.vm)
	m.table[e.vm] = e
	m.sorted = nil
	m.invalidateView()
}

// remove deletes a VM from the table.
func (m *StateMachine) remove(vm string) {
	delete(m.table, vm)
	m.changes.remove(vm)
	m.sorted = nil
	m.invalidateView()
}

func (e *tableEntry) state() State {
	switch {
	case e.gone:
		return StateGone
	case e.leaving || e.listLeaving:
		return StateLeaving
	case len(e.reporters) > 0:
		return StateSuspect
	}
	return StateAlive
}

// ObserveList merges the platform's list of VMs. It ignores the list and returns false when the list lacks
// this VM: such a list is wrong or belongs to another fleet, and every member would be taken as terminated.
func (m *StateMachine) ObserveList(now time.Time, vms []vmlist.VM) bool {
	listed := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm
	}
	if _, ok := listed[m.self.vm]; !ok {
		return false
	}
	for vm, e := range m.table {
		if _, still := listed[vm]; e.listed && !still {
			m.delist(vm)
		}
	}
	for _, vm := range vms {
		m.mergeListed(now, vm)
	}
	return true
}

// delist deletes a VM that left the platform's list from the table.
func (m *StateMachine) delist(vm string) {
	m.delisted[vm] = true
	m.remove(vm)
	delete(m.evidence.known, vm)
	maps.DeleteFunc(m.retired, func(key processKey, _ bool) bool { return key.vm == vm })
}

func (m *StateMachine) mergeListed(_ time.Time, vm vmlist.VM) {
	// A VM that returns to the list breaks the platform's contract. Its earlier absence is no proof any more.
	delete(m.delisted, vm.ID)
	e := m.table[vm.ID]
	if e == nil {
		e = &tableEntry{vm: vm.ID, zone: vm.Zone, region: vm.Region, address: m.peerAddress(vm.Address)}
		m.insert(e)
	}
	e.listed = true
	if leaving := vm.State == vmlist.StateLeaving; e.listLeaving != leaving {
		e.listLeaving = leaving
		m.invalidateView()
	}
}

func (m *StateMachine) peerAddress(host string) string {
	if m.cfg.PeerPort == "" {
		return host
	}
	return net.JoinHostPort(host, m.cfg.PeerPort)
}

// Tick marks members as gone after a suspicion has lasted for SuspicionTime and two reporters and two senders
// have confirmed it. It deletes members that are not listed and have been gone for ForgetAfter.
func (m *StateMachine) Tick(now time.Time) {
	for vm, e := range m.table {
		confirmed := len(e.reporters) >= 2 && len(e.senders) >= 2
		// A record of a VM that left the list can arrive late. Other routers have deleted the VM, so none of
		// them would report it.
		confirmed = confirmed || !e.listed && e.reporters[m.self.vm]
		if !e.gone && confirmed && now.Sub(e.suspectSince) >= m.cfg.SuspicionTime {
			e.gone, e.goneSince = true, now
			m.invalidateView()
		}
		if e.gone && !e.listed && now.Sub(e.goneSince) >= m.cfg.ForgetAfter {
			m.remove(vm)
		}
	}
}

// Leave marks this process as leaving. Its next heartbeats tell the other members.
func (m *StateMachine) Leave() {
	if !m.self.leaving {
		m.self.leaving = true
		m.self.seq++
		m.queueChange(m.self)
	}
}

// queueChange makes the next heartbeats carry the member's record, and discards the cached View.
func (m *StateMachine) queueChange(e *tableEntry) {
	m.changes.add(e.vm)
	m.invalidateView()
}
