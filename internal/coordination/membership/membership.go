package membership

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
)

// VMLister reads the platform's list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]vmlist.VM, error)
}

// Caller calls a peer and names the process that answered.
type Caller interface {
	CallPeer(ctx context.Context, address, method string, params, result any) (peerapi.Identity, error)
}

// Times of the loop.
const (
	roundInterval = time.Second
	listInterval  = 2 * time.Second
	// probeTimeout is below the round, so that a failed probe is repeated in
	// the next one.
	probeTimeout = 800 * time.Millisecond
)

// Membership drives a Machine with the platform's list and heartbeats. It is
// safe for concurrent use.
type Membership struct {
	lister VMLister
	caller Caller
	config func() peerapi.ConfigStatus
	now    func() time.Time
	logger logrus.FieldLogger
	view   atomic.Pointer[View]

	mu      sync.Mutex
	machine *Machine
}

// New returns a membership that knows only its own process. The function config
// returns the status that heartbeats carry.
func New(cfg Config, lister VMLister, caller Caller, config func() peerapi.ConfigStatus, logger logrus.FieldLogger) *Membership {
	m := &Membership{
		lister: lister, caller: caller, config: config, now: time.Now, logger: logger,
		machine: NewMachine(cfg),
	}
	m.view.Store(m.machine.View())
	return m
}

// View returns the current view.
func (m *Membership) View() *View { return m.view.Load() }

// do runs f on the machine and publishes a changed view.
func (m *Membership) do(f func(*Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.machine)
	before, after := m.view.Load(), m.machine.View()
	if before != after {
		m.view.Store(after)
		m.logChanges(before, after)
	}
}

func (m *Membership) logChanges(before, after *View) {
	states := make(map[string]Member, len(before.members))
	for _, member := range before.members {
		states[member.VM] = member
	}
	for _, member := range after.members {
		old, known := states[member.VM]
		delete(states, member.VM)
		if !known || old.State != member.State || old.Incarnation != member.Incarnation {
			obs.EventMemberChanged.Log(m.logger, logrus.Fields{"vm": member.VM, "incarnation": member.Incarnation, "state": member.State.String()})
		}
	}
	for vm := range states {
		obs.EventMemberChanged.Log(m.logger, logrus.Fields{"vm": vm, "state": "removed"})
	}
}

// Proof reports whether a process has provably stopped.
func (m *Membership) Proof(vm, id string) (kind ProofKind, proven bool) {
	m.do(func(machine *Machine) { kind, proven = machine.Proof(vm, id) })
	return kind, proven
}

// TrackProcess registers a process that is known from the log; see Machine.Watch.
func (m *Membership) TrackProcess(vm, id, address string) {
	m.do(func(machine *Machine) { machine.Watch(vm, id, address) })
}

// ObserveClose takes a process's own close from the log.
func (m *Membership) ObserveClose(vm, id string) {
	m.do(func(machine *Machine) { machine.ObserveClose(vm, id) })
}

// Leave marks this process as leaving.
func (m *Membership) Leave() { m.do((*Machine).Leave) }

// Reports returns what the other members last said of configuration and log.
func (m *Membership) Reports() (reports []MemberReport) {
	m.do(func(machine *Machine) { reports = machine.Reports(m.now()) })
	return reports
}

// HandleHeartbeat answers a peer's heartbeat. It has the form of a handler of
// the peers' server.
func (m *Membership) HandleHeartbeat(_ context.Context, from peerapi.Identity, params json.RawMessage) (any, error) {
	var hb, answer peerapi.Heartbeat
	if err := json.Unmarshal(params, &hb); err != nil {
		return nil, errors.Wrap(err, "decode heartbeat")
	}
	config := m.config()
	m.do(func(machine *Machine) { answer = machine.Receive(m.now(), from, hb, config) })
	return answer, nil
}

// Run probes members and reads the list until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	loops.Go(func() { every(ctx, listInterval, m.readList) })
	loops.Go(func() { every(ctx, roundInterval, m.Round) })
}

func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	vms, err := m.lister.VMs(ctx)
	if err != nil {
		obs.EventVMListUnreachable.Log(m.logger, logrus.Fields{"error": err.Error()})
		return
	}
	var own bool
	m.do(func(machine *Machine) { own = machine.ObserveList(m.now(), vms) })
	if !own {
		obs.EventVMListWithoutSelf.Log(m.logger, nil)
	}
}

// Round sends the heartbeats of one round and waits for their answers.
func (m *Membership) Round(ctx context.Context) {
	var probes []Probe
	var hb peerapi.Heartbeat
	config := m.config()
	m.do(func(machine *Machine) {
		machine.Tick(m.now())
		probes = machine.Probes(m.now())
		hb = machine.Heartbeat(m.now(), config)
	})
	var calls conc.WaitGroup
	defer calls.Wait()
	for _, p := range probes {
		calls.Go(func() { m.probe(ctx, p, hb) })
	}
}

func (m *Membership) probe(ctx context.Context, p Probe, hb peerapi.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer peerapi.Heartbeat
	from, err := m.caller.CallPeer(ctx, p.Address, peerapi.MethodHeartbeat, hb, &answer)
	m.do(func(machine *Machine) {
		if err != nil {
			machine.Failed(m.now(), p)
			return
		}
		machine.Answered(m.now(), p, from, answer)
	})
}
