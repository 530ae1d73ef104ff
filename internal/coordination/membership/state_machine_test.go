package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// process is one simulated router process.
type process struct {
	identity peerapi.Identity
	machine  *StateMachine
	running  bool
}

// sentHeartbeat is a heartbeat that can be delivered again later.
type sentHeartbeat struct {
	from peerapi.Identity
	hb   peerapi.Heartbeat
}

// fleet simulates a fleet of routers without sockets.
type fleet struct {
	now     time.Time
	current map[string]*process
	all     []*process
	listed  map[string]bool
	// blocked holds the pairs of calling and called VM whose calls fail.
	blocked map[[2]string]bool
	starts  int
	sent    []sentHeartbeat
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), current: map[string]*process{}, listed: map[string]bool{},
		blocked: map[[2]string]bool{},
	}
	for i := range n {
		f.listed[fmt.Sprintf("vm-%d", i)] = true
	}
	for i := range n {
		f.start(fmt.Sprintf("vm-%d", i), true)
	}
	return f
}

// start runs a new process on a VM. Its incarnation is higher than the earlier ones, or lower if rising is
// false, as after the VM's clock was set back.
func (f *fleet) start(vm string, rising bool) {
	f.starts++
	number := f.starts
	if !rising {
		number = -number
	}
	identity := peerapi.Identity{
		VM: vm, Incarnation: fmt.Sprintf("%06d", 500000+number), Zone: "z" + vm[len(vm)-1:], Region: "r", Address: vm + ":1",
	}
	if old := f.current[vm]; old != nil {
		old.running = false
	}
	p := &process{identity: identity, machine: NewStateMachine(DefaultConfig(identity)), running: true}
	f.current[vm], f.all = p, append(f.all, p)
}

// round runs one second, in which each running process reads the list and probes members.
func (f *fleet) round() {
	f.now = f.now.Add(time.Second)
	for _, vm := range f.vms() {
		p := f.current[vm]
		if !p.running {
			continue
		}
		p.machine.ObserveList(f.now, f.list())
		p.machine.Tick(f.now)
		for _, probe := range p.machine.SelectProbes(f.now) {
			f.call(p, probe)
		}
	}
}

// call sends the heartbeat of a probe and handles the response, or the failure if the call is blocked.
func (f *fleet) call(p *process, probe Probe) {
	hb := p.machine.Heartbeat(f.now, peerapi.ConfigStatus{})
	f.sent = append(f.sent, sentHeartbeat{p.identity, hb})
	target := f.current[probe.VM]
	if target == nil || !target.running || f.blocked[[2]string{p.identity.VM, probe.VM}] {
		p.machine.HandleProbeFailure(f.now, probe)
		return
	}
	response := target.machine.ReceiveHeartbeat(f.now, p.identity, hb, peerapi.ConfigStatus{})
	p.machine.HandleProbeResponse(f.now, probe, target.identity, response)
}

func (f *fleet) vms() (vms []string) {
	for i := range len(f.current) {
		vms = append(vms, fmt.Sprintf("vm-%d", i))
	}
	return vms
}

func (f *fleet) list() (list []vmlist.VM) {
	for _, vm := range f.vms() {
		if f.listed[vm] {
			list = append(list, vmlist.VM{ID: vm, Address: vm + ":1", Zone: "z" + vm[3:], Region: "r", State: vmlist.StateLive})
		}
	}
	return list
}

// checkProofs fails when any router has a proof of termination of a running process.
func (f *fleet) checkProofs(t interface{ Fatalf(string, ...any) }) {
	for _, observer := range f.all {
		for _, p := range f.all {
			if kind, proven := observer.machine.Proof(p.identity.VM, p.identity.Incarnation); proven && p.running {
				t.Fatalf("%s has proof %d of the termination of %s/%s, which is running", observer.identity.VM, kind, p.identity.VM, p.identity.Incarnation)
			}
		}
	}
}

// checkConverged fails when the view of a running router differs from the simulated state.
func (f *fleet) checkConverged(t interface{ Fatalf(string, ...any) }) {
	for _, observer := range f.current {
		if !observer.running {
			continue
		}
		seen := map[string]Member{}
		for _, m := range observer.machine.View().Members() {
			seen[m.VM] = m
		}
		for vm, p := range f.current {
			m, known := seen[vm]
			switch {
			case !f.listed[vm] && known && m.State != StateGone:
				t.Fatalf("%s sees %s as %s, but it is not listed", observer.identity.VM, vm, m.State)
			case p.running && (m.State != StateAlive || m.Incarnation != p.identity.Incarnation):
				t.Fatalf("%s sees %s as %s/%s, want alive/%s", observer.identity.VM, vm, m.State, m.Incarnation, p.identity.Incarnation)
			case f.listed[vm] && !p.running && m.State != StateGone:
				t.Fatalf("%s sees %s as %s, but it has stopped", observer.identity.VM, vm, m.State)
			}
		}
	}
}

// Guards against a proof of termination of a running process, with restarts, clocks set back, one-way network
// partitions and delayed messages, and against tables that do not converge once the failures have ended.
func TestProofIsSoundAndTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(4, 7).Draw(t, "nodes"))
		vm := rapid.SampledFrom(f.vms())
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if name := vm.Draw(t, "restart"); f.listed[name] {
					f.start(name, rapid.Bool().Draw(t, "rising"))
				}
			case 1:
				if name := vm.Draw(t, "stop"); f.running() > 3 {
					f.current[name].running = false
				}
			case 2:
				name := vm.Draw(t, "unlist")
				f.listed[name] = f.listed[name] && f.current[name].running
			case 3, 4:
				f.blocked[[2]string{vm.Draw(t, "from"), vm.Draw(t, "to")}] = rapid.Bool().Draw(t, "cut")
			case 5:
				f.deliverDelayed(t, vm.Draw(t, "receiver"))
			default:
				f.round()
			}
			f.checkProofs(t)
		}
		f.blocked = map[[2]string]bool{}
		for range 25 {
			f.round()
		}
		f.checkProofs(t)
		f.checkConverged(t)
	})
}

func (f *fleet) running() (n int) {
	for _, p := range f.current {
		if p.running {
			n++
		}
	}
	return n
}

func (f *fleet) deliverDelayed(t *rapid.T, receiver string) {
	if p := f.current[receiver]; p.running && len(f.sent) > 0 {
		late := rapid.SampledFrom(f.sent).Draw(t, "late")
		if late.from != p.identity {
			p.machine.ReceiveHeartbeat(f.now, late.from, late.hb, peerapi.ConfigStatus{})
		}
	}
}

// Guards against a member that is marked as gone because of the heartbeats of a single peer, also when they
// name several reporters.
func TestOneReportMarksNoMemberAsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	for range 5 {
		f.round()
	}
	observer, reporter, suspect := f.current["vm-0"], f.current["vm-1"], f.current["vm-2"]
	f.now = f.now.Add(10 * time.Second)
	for range 20 {
		f.now = f.now.Add(time.Second)
		hb := reporter.machine.Heartbeat(f.now, peerapi.ConfigStatus{})
		r := suspect.machine.self.record()
		r.Reporters = []string{"vm-1", "vm-3", "vm-4"}
		hb.Changes = []peerapi.MemberRecord{r}
		observer.machine.ReceiveHeartbeat(f.now, reporter.identity, hb, peerapi.ConfigStatus{})
		observer.machine.Tick(f.now)
		is.Equal(stateOf(observer, "vm-2"), StateSuspect)
	}
	hb := f.current["vm-3"].machine.Heartbeat(f.now, peerapi.ConfigStatus{})
	r := suspect.machine.self.record()
	r.Reporters = []string{"vm-3"}
	hb.Changes = []peerapi.MemberRecord{r}
	observer.machine.ReceiveHeartbeat(f.now, f.current["vm-3"].identity, hb, peerapi.ConfigStatus{})
	observer.machine.Tick(f.now)
	is.Equal(stateOf(observer, "vm-2"), StateGone) // heartbeats of two peers mark the member as gone
}

func stateOf(p *process, vm string) State {
	for _, m := range p.machine.View().Members() {
		if m.VM == vm {
			return m.State
		}
	}
	return StateGone
}

// Guards against members that change state, and partitions that move, while all calls to one member fail but
// its own calls succeed.
func TestOneWayConnectionLossDoesNotChangeStates(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	for range 5 {
		f.round()
	}
	initial := f.current["vm-0"].machine.View()
	for _, vm := range f.vms() {
		f.blocked[[2]string{vm, "vm-2"}] = true
	}
	for range 120 {
		f.round()
		for _, p := range f.current {
			is.Equal(stateOf(p, "vm-2"), StateAlive)
			for partition := range 16 {
				before, _ := initial.Home(partition, "r")
				after, _ := p.machine.View().Home(partition, "r")
				is.Equal(before.VM, after.VM)
			}
		}
	}
}

// Guards against partitions that move although neither their old nor their new home has changed state, and
// against a backup in the home's availability zone.
func TestRendezvousMovesOnlyTheChangedMembersPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		for i := range rapid.IntRange(2, 40).Draw(t, "members") {
			members = append(members, Member{
				VM: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprint(i % 4), Region: "r",
				State: State(rapid.IntRange(0, 3).Draw(t, "state")),
			})
		}
		changed := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		after := append([]Member(nil), members...)
		after[changed].State = State(rapid.IntRange(0, 3).Draw(t, "new state"))
		a, b := newView(members), newView(after)
		for partition := range 64 {
			ha, okA := a.Home(partition, "r")
			hb, okB := b.Home(partition, "r")
			if okA && okB && ha.VM != hb.VM && ha.VM != members[changed].VM && hb.VM != members[changed].VM {
				t.Fatalf("partition %d moved from %s to %s", partition, ha.VM, hb.VM)
			}
			if backup, ok := a.Backup(partition, "r"); ok && (backup.Zone == ha.Zone || backup.State > StateSuspect) {
				t.Fatalf("partition %d has home %v and backup %v", partition, ha, backup)
			}
		}
	})
}

// Guards against a log outage that a large fleet does not detect, because direct messages reach too few
// members within a configuration lease (see configsync.Lease).
func TestLogOutageReportsReachAMajorityInSeconds(t *testing.T) {
	is := is.New(t)
	f := newFleet(128)
	down := peerapi.ConfigStatus{LogUnreachable: true}
	for range 8 {
		f.now = f.now.Add(time.Second)
		for _, vm := range f.vms() {
			p := f.current[vm]
			p.machine.ObserveList(f.now, f.list())
			for _, probe := range p.machine.SelectProbes(f.now) {
				target := f.current[probe.VM]
				response := target.machine.ReceiveHeartbeat(f.now, p.identity, p.machine.Heartbeat(f.now, down), down)
				p.machine.HandleProbeResponse(f.now, probe, target.identity, response)
			}
		}
	}
	for _, p := range f.current {
		recent := 0
		for _, r := range p.machine.Reports(f.now) {
			if r.LogDown && r.LogDownAge <= 4*time.Second {
				recent++
			}
		}
		is.True(recent > 64)
	}
}

// Guards against a proof of termination of the newer process, because this router learns of it before it
// receives a response that the older process sent before its exit.
func TestOlderProcessProvesNothingAboutTheNewer(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	observer, older := f.current["vm-0"].machine, f.current["vm-1"]
	observer.ObserveList(f.now, f.list())
	probe := observer.SelectProbes(f.now)[0]
	response := older.machine.ReceiveHeartbeat(f.now, f.current["vm-0"].identity, observer.Heartbeat(f.now, peerapi.ConfigStatus{}), peerapi.ConfigStatus{})
	f.start("vm-1", true)
	newer := f.current["vm-1"].identity
	observer.TrackProcess(newer.VM, newer.Incarnation, newer.Address)
	observer.HandleProbeResponse(f.now, probe, older.identity, response)
	_, proven := observer.Proof(newer.VM, newer.Incarnation)
	is.True(!proven)

	f.call(f.current["vm-0"], observer.SelectProbes(f.now)[0])
	kind, proven := observer.Proof(older.identity.VM, older.identity.Incarnation)
	is.True(proven && kind == ProofReplaced)
	observer.ObserveList(f.now, nil) // a list without this VM is ignored
	_, proven = observer.Proof(newer.VM, newer.Incarnation)
	is.True(!proven)
}
