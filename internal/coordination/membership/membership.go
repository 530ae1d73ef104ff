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

// VMLister returns the platform's list of VMs.
type VMLister interface {
	VMs(ctx context.Context) ([]vmlist.VM, error)
}

// Caller calls a peer and returns the authenticated identity of the process that responded.
type Caller interface {
	CallPeer(ctx context.Context, address, method string, params, result any) (peerapi.Identity, error)
}

const (
	probeInterval = time.Second
	listInterval  = 2 * time.Second
	// probeTimeout is shorter than probeInterval, so that a failed probe can be repeated in the next round.
	probeTimeout = 800 * time.Millisecond
)

// Membership feeds a StateMachine with the platform's list and with heartbeats. It is safe for concurrent
// use.
type Membership struct {
	lister VMLister
	caller Caller
	config func() peerapi.ConfigStatus
	now    func() time.Time
	logger logrus.FieldLogger
	view   atomic.Pointer[View]
	// listRead is true once the list was read and has this VM.
	listRead atomic.Bool

	mu      sync.Mutex
	machine *StateMachine
}

// New returns a membership that knows only its own process. The function config returns the configuration
// status that is sent in heartbeats.
func New(cfg Config, lister VMLister, caller Caller, config func() peerapi.ConfigStatus, logger logrus.FieldLogger) *Membership {
	m := &Membership{
		lister: lister, caller: caller, config: config, now: time.Now, logger: logger,
		machine: NewStateMachine(cfg),
	}
	m.view.Store(m.machine.View())
	return m
}

// View returns the newest published member table.
func (m *Membership) View() *View { return m.view.Load() }

// ListRead reports whether the platform's list was read. Before that the view may lack members.
func (m *Membership) ListRead() bool { return m.listRead.Load() }

// update runs f on the state machine, and publishes and logs a changed view.
func (m *Membership) update(f func(*StateMachine)) {
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
	previous := make(map[string]Member, len(before.members))
	for _, member := range before.members {
		previous[member.VM] = member
	}
	for _, member := range after.members {
		old, known := previous[member.VM]
		delete(previous, member.VM)
		if !known || old.State != member.State || old.Incarnation != member.Incarnation {
			obs.EventMemberChanged.Log(m.logger, logrus.Fields{"vm": member.VM, "incarnation": member.Incarnation, "state": member.State.String()})
		}
	}
	for vm := range previous {
		obs.EventMemberChanged.Log(m.logger, logrus.Fields{"vm": vm, "state": "removed"})
	}
}

// Proof reports whether a process has provably terminated; see StateMachine.Proof.
func (m *Membership) Proof(vm, incarnation string) (kind ProofKind, proven bool) {
	m.update(func(machine *StateMachine) { kind, proven = machine.Proof(vm, incarnation) })
	return kind, proven
}

// TrackProcess registers a process that this router has learned of; see StateMachine.TrackProcess.
func (m *Membership) TrackProcess(vm, incarnation, address string) {
	m.update(func(machine *StateMachine) { machine.TrackProcess(vm, incarnation, address) })
}

// ObserveTermination records that a process has reported its own termination; see
// StateMachine.ObserveTermination.
func (m *Membership) ObserveTermination(vm, incarnation string) {
	m.update(func(machine *StateMachine) { machine.ObserveTermination(vm, incarnation) })
}

// Leave marks this process as leaving.
func (m *Membership) Leave() { m.update((*StateMachine).Leave) }

// Reports returns what the other members last reported about their configuration and log.
func (m *Membership) Reports() (reports []MemberReport) {
	m.update(func(machine *StateMachine) { reports = machine.Reports(m.now()) })
	return reports
}

// HandleHeartbeat responds to a peer's heartbeat. It is a handler of the peer server for
// peerapi.MethodHeartbeat.
func (m *Membership) HandleHeartbeat(_ context.Context, from peerapi.Identity, params json.RawMessage) (any, error) {
	var hb, response peerapi.Heartbeat
	if err := json.Unmarshal(params, &hb); err != nil {
		return nil, errors.Wrap(err, "decode heartbeat")
	}
	config := m.config()
	m.update(func(machine *StateMachine) { response = machine.ReceiveHeartbeat(m.now(), from, hb, config) })
	return response, nil
}

// Run probes members and reads the platform's list until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	loops.Go(func() { runEvery(ctx, listInterval, m.readList) })
	loops.Go(func() { runEvery(ctx, probeInterval, m.ProbeRound) })
}

func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
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
	var listsSelf bool
	m.update(func(machine *StateMachine) { listsSelf = machine.ObserveList(m.now(), vms) })
	if !listsSelf {
		obs.EventVMListWithoutSelf.Log(m.logger, nil)
		return
	}
	m.listRead.Store(true)
}

// ProbeRound marks members as gone whose suspicion is confirmed (see StateMachine.Tick), sends the heartbeats
// of one round and waits for the responses.
func (m *Membership) ProbeRound(ctx context.Context) {
	var probes []Probe
	var hb peerapi.Heartbeat
	config := m.config()
	m.update(func(machine *StateMachine) {
		machine.Tick(m.now())
		probes = machine.SelectProbes(m.now())
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
	var response peerapi.Heartbeat
	from, err := m.caller.CallPeer(ctx, p.Address, peerapi.MethodHeartbeat, hb, &response)
	m.update(func(machine *StateMachine) {
		if err != nil {
			machine.HandleProbeFailure(m.now(), p)
			return
		}
		machine.HandleProbeResponse(m.now(), p, from, response)
	})
}
