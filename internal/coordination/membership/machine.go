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

// Config holds the limits of a Machine.
type Config struct {
	Self peerapi.Identity
	// PeerPort is added to the addresses of the platform's list.
	PeerPort string
	// Probes is the number of members probed in one round.
	Probes int
	// SuspicionTime is how long a suspicion lasts before two reporters remove
	// the member. The member can refute it meanwhile.
	SuspicionTime time.Duration
	// HeardWindow is how long a message from a member outweighs this node's own
	// failed probes of it. It keeps a one-way partition from causing suspicion.
	HeardWindow time.Duration
	// ForgetAfter is how long a member that is gone and not listed is kept.
	ForgetAfter time.Duration
	// Seed makes the order of probes reproducible.
	Seed uint64
}

// DefaultConfig returns the limits of the design: 4 probes in a round of 1 s.
func DefaultConfig(self peerapi.Identity) Config {
	return Config{
		Self: self, Probes: 4, SuspicionTime: 3 * time.Second, HeardWindow: 3 * time.Second,
		ForgetAfter: 10 * time.Minute, Seed: hashString(self.VM + "/" + self.Incarnation),
	}
}

// failuresToSuspect is the number of failed probes in a row that make this node
// a reporter. One lost connection alone reports nobody.
const failuresToSuspect = 2

// maxReporters bounds the reporters kept and sent per suspicion; two remove.
const maxReporters = 3

// incarnation names one process.
type incarnation struct{ vm, id string }

// entry is one VM in the table.
type entry struct {
	vm, id, zone, region, address string
	// vmHash and idHash are the hashes of vm and id, which each message needs.
	vmHash, idHash uint64
	// seq is the member's own counter; it rises when it refutes a suspicion.
	seq     uint64
	leaving bool

	listed, listLeaving bool
	// reporters failed to reach the member at seq; senders told this node so.
	reporters, senders map[string]bool
	suspectSince       time.Time
	gone               bool
	goneSince          time.Time

	heard    time.Time
	failures int
	// answered is true when this incarnation has answered a probe of this node.
	answered bool

	config peerapi.ConfigStatus
	// configAt is when config was received; zero before.
	configAt time.Time
	// logHeardAt is when the member had last heard the log; logDownAt when it
	// had last reported that it cannot. Both come only from answers and count
	// from the probe's sending: a message that came in may have waited while
	// this process was paused, and would look fresh afterwards.
	logHeardAt, logDownAt time.Time
}

// Machine is the membership state of one node. It is not safe for concurrent
// use; its caller supplies the time.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	event uint64

	self     *entry
	table    map[string]*entry
	ended    map[incarnation]bool
	departed map[string]bool
	evidence evidence

	order  []string
	urgent []string
	queue  changeQueue
	refill int

	view *View
	// sorted caches the VM ids of the table in order, nil after a change.
	sorted []string
}

// NewMachine returns a machine that knows only its own process.
func NewMachine(cfg Config) *Machine {
	self := &entry{
		vm: cfg.Self.VM, id: cfg.Self.Incarnation, zone: cfg.Self.Zone, region: cfg.Self.Region,
		address: cfg.Self.Address, seq: 1, vmHash: hashString(cfg.Self.VM), idHash: hashString(cfg.Self.Incarnation),
	}
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), self: self,
		table: map[string]*entry{self.vm: self}, ended: make(map[incarnation]bool),
		departed: make(map[string]bool), evidence: newEvidence(),
	}
	m.queue.add(self.vm)
	return m
}

// View returns the table, unchanged until the next change of a member.
func (m *Machine) View() *View {
	if m.view == nil {
		members := make([]Member, 0, len(m.table))
		for _, vm := range m.sortedVMs() {
			e := m.table[vm]
			members = append(members, Member{
				VM: e.vm, Incarnation: e.id, Zone: e.zone, Region: e.region, PeerAddress: e.address, State: e.state(),
			})
		}
		m.view = newView(members)
	}
	return m.view
}

func (m *Machine) changed() { m.view = nil }

// sortedVMs returns the VM ids of the table in order. The caller must not change
// the slice.
func (m *Machine) sortedVMs() []string {
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Keys(m.table), cmp.Compare[string])
	}
	return m.sorted
}

func (m *Machine) insert(e *entry) {
	e.vmHash = hashString(e.vm)
	m.table[e.vm] = e
	m.sorted = nil
	m.changed()
}

func (m *Machine) drop(vm string) {
	delete(m.table, vm)
	m.queue.remove(vm)
	m.sorted = nil
	m.changed()
}

func (e *entry) state() State {
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

// ObserveList takes an answer of the platform's list. It returns false and
// ignores the list when it does not name this VM: such a list is wrong or
// belongs to another fleet, and would count every member as stopped.
func (m *Machine) ObserveList(now time.Time, vms []vmlist.VM) bool {
	listed := make(map[string]vmlist.VM, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm
	}
	if _, ok := listed[m.self.vm]; !ok {
		return false
	}
	for vm, e := range m.table {
		if _, still := listed[vm]; e.listed && !still {
			m.depart(vm)
		}
	}
	for _, vm := range vms {
		m.list(now, vm)
	}
	return true
}

// depart removes a VM that the list had and no longer has.
func (m *Machine) depart(vm string) {
	m.departed[vm] = true
	m.drop(vm)
	delete(m.evidence.known, vm)
	maps.DeleteFunc(m.ended, func(key incarnation, _ bool) bool { return key.vm == vm })
}

func (m *Machine) list(_ time.Time, vm vmlist.VM) {
	// A VM that comes back breaks the contract of the list; no proof may rest
	// on its absence any more.
	delete(m.departed, vm.ID)
	e := m.table[vm.ID]
	if e == nil {
		e = &entry{vm: vm.ID, zone: vm.Zone, region: vm.Region, address: m.peerAddress(vm.Address)}
		m.insert(e)
	}
	e.listed = true
	if leaving := vm.State == vmlist.StateLeaving; e.listLeaving != leaving {
		e.listLeaving = leaving
		m.changed()
	}
}

func (m *Machine) peerAddress(host string) string {
	if m.cfg.PeerPort == "" {
		return host
	}
	return net.JoinHostPort(host, m.cfg.PeerPort)
}

// Tick removes members whose suspicion has lasted and rests on two peers' word,
// and forgets members that are long gone.
func (m *Machine) Tick(now time.Time) {
	for vm, e := range m.table {
		confirmed := len(e.reporters) >= 2 && len(e.senders) >= 2
		// News of a VM that left the list can outlive it on the way. Others
		// have dropped it, so nobody else would report it.
		confirmed = confirmed || !e.listed && e.reporters[m.self.vm]
		if !e.gone && confirmed && now.Sub(e.suspectSince) >= m.cfg.SuspicionTime {
			e.gone, e.goneSince = true, now
			m.changed()
		}
		if e.gone && !e.listed && now.Sub(e.goneSince) >= m.cfg.ForgetAfter {
			m.drop(vm)
		}
	}
}

// Leave marks this process as leaving. Its next heartbeats say so.
func (m *Machine) Leave() {
	if !m.self.leaving {
		m.self.leaving = true
		m.self.seq++
		m.announce(m.self)
	}
}

func (m *Machine) announce(e *entry) {
	m.queue.add(e.vm)
	m.changed()
}
