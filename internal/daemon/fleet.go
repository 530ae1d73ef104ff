package daemon

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

// fleet connects this process to the other routers. It implements budget.Peers.
type fleet struct {
	self    peerapi.Identity
	members *membership.Membership
	pool    *peer.Pool
	server  *peer.Server
}

func newFleet(
	cfg settings.Daemon, incarnation string, config *configsync.Follower, status func() peerapi.ConfigStatus,
	logger logrus.FieldLogger,
) (*fleet, error) {
	self := peerapi.Identity{
		VM: cfg.VM, Incarnation: incarnation, Zone: cfg.Zone, Region: cfg.Region, Address: cfg.PeerListen,
	}
	peerConfig := peer.Config{Self: self, Key: []byte(cfg.PeerKey), Logger: logger}
	if cfg.PeerTLSCert != "" {
		tls, err := peer.LoadTLS(cfg.PeerTLSCert, cfg.PeerTLSKey, cfg.PeerTLSCA)
		if err != nil {
			return nil, err
		}
		peerConfig.TLS = tls
	}
	pool, err := peer.NewPool(peerConfig)
	if err != nil {
		return nil, err
	}
	server, err := peer.NewServer(peerConfig)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(cfg.PeerListen)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	memberConfig := membership.DefaultConfig(self)
	memberConfig.PeerPort = port
	members := membership.New(memberConfig, logclient.New(cfg.VMListURL), pool, status, logger)
	server.Handle(peerapi.MethodHeartbeat, members.HandleHeartbeat)
	server.Handle(peerapi.MethodConfigFetch, config.HandleFetch)
	return &fleet{self: self, members: members, pool: pool, server: server}, nil
}

func holderOf(m membership.Member) record.HolderID {
	return record.HolderID(m.VM + "/" + m.Incarnation)
}

// Home implements budget.Peers.
func (f *fleet) Home(partition int) record.HolderID {
	m, ok := f.members.View().Home(partition, f.self.Region)
	if !ok || m.Incarnation == "" {
		return ""
	}
	return holderOf(m)
}

// Backup implements budget.Peers.
func (f *fleet) Backup() record.HolderID {
	m, ok := f.members.View().CopyPeer(f.self.VM, f.self.Zone, f.self.Region)
	if !ok || m.Incarnation == "" {
		return ""
	}
	return holderOf(m)
}

// errNoAddress reports a holder that is no member, so that no call reaches it.
var errNoAddress = errors.New("holder is not a member")

// errReplaced reports an answer by another incarnation than the one called.
var errReplaced = errors.New("another process answers for the holder")

// call runs a method on exactly the given process: a later incarnation on the
// same address has none of its state.
func (f *fleet) call(ctx context.Context, to record.HolderID, method string, params, result any) error {
	for _, m := range f.members.View().Members() {
		if holderOf(m) != to {
			continue
		}
		from, err := f.pool.CallPeer(ctx, m.PeerAddress, method, params, result)
		if err != nil {
			return err
		}
		if from.VM != m.VM || from.Incarnation != m.Incarnation {
			return errReplaced
		}
		return nil
	}
	return errors.Wrapf(errNoAddress, "holder %s", to)
}

// Reserve implements budget.Peers.
func (f *fleet) Reserve(ctx context.Context, to record.HolderID, p budget.ReserveParams) (budget.ReserveResult, error) {
	var r budget.ReserveResult
	err := f.call(ctx, to, budget.MethodReserve, p, &r)
	return r, err
}

// Settle implements budget.Peers.
func (f *fleet) Settle(ctx context.Context, to record.HolderID, p budget.SettleParams) error {
	return f.call(ctx, to, budget.MethodSettle, p, nil)
}

// Acquire implements budget.Peers.
func (f *fleet) Acquire(ctx context.Context, to record.HolderID, p budget.AcquireParams) (budget.AcquireResult, error) {
	var r budget.AcquireResult
	err := f.call(ctx, to, budget.MethodAcquire, p, &r)
	return r, err
}

// Journal implements budget.Peers.
func (f *fleet) Journal(ctx context.Context, to record.HolderID, b budget.CopyBatch) error {
	return f.call(ctx, to, budget.MethodJournal, b, nil)
}

// Return implements budget.Peers.
func (f *fleet) Return(ctx context.Context, to record.HolderID, p budget.ReturnParams) (budget.ReturnResult, error) {
	var r budget.ReturnResult
	err := f.call(ctx, to, budget.MethodReturn, p, &r)
	return r, err
}

// handle registers a method whose parameters are of type P. Parameters that name
// another process than the connection are refused.
func handle[P any](s *peer.Server, method string, h func(ctx context.Context, from peerapi.Identity, p P) (any, error)) {
	s.Handle(method, func(ctx context.Context, from peerapi.Identity, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, errors.Wrap(err, "parameters")
		}
		return h(ctx, from, p)
	})
}

var errWrongSender = errors.New("the message names another sender than its connection")

func checkSender(from peerapi.Identity, named record.HolderID) error {
	if string(named) != from.VM+"/"+from.Incarnation {
		return errWrongSender
	}
	return nil
}

// serveBudget answers the other routers' budget calls.
func (f *fleet) serveBudget(m *budget.Manager) {
	handle(f.server, budget.MethodReserve, func(ctx context.Context, from peerapi.Identity, p budget.ReserveParams) (any, error) {
		if err := checkSender(from, p.From); err != nil {
			return nil, err
		}
		return m.ServeReserve(ctx, p)
	})
	handle(f.server, budget.MethodSettle, func(_ context.Context, from peerapi.Identity, p budget.SettleParams) (any, error) {
		if err := checkSender(from, p.From); err != nil {
			return nil, err
		}
		m.ServeSettle(p)
		return struct{}{}, nil
	})
	handle(f.server, budget.MethodAcquire, func(ctx context.Context, _ peerapi.Identity, p budget.AcquireParams) (any, error) {
		return m.ServeAcquire(ctx, p)
	})
	handle(f.server, budget.MethodJournal, func(_ context.Context, from peerapi.Identity, b budget.CopyBatch) (any, error) {
		if err := checkSender(from, b.Holder); err != nil {
			return nil, err
		}
		return struct{}{}, m.ServeJournal(b)
	})
	handle(f.server, budget.MethodReturn, func(_ context.Context, _ peerapi.Identity, p budget.ReturnParams) (any, error) {
		return m.ServeReturn(p), nil
	})
}

// proofKinds maps membership's proofs to those of the budget.
var proofKinds = map[membership.ProofKind]budget.ProofKind{
	membership.ProofClosed:   budget.ProofReplaced,
	membership.ProofUnlisted: budget.ProofListed,
	membership.ProofReplaced: budget.ProofReplaced,
}

// reclaimInterval is the time between two looks for holders that have stopped.
const reclaimInterval = time.Second

// reclaim reports holders that have provably stopped to the budget.
func (f *fleet) reclaim(ctx context.Context, m *budget.Manager, ask func(context.Context, []string) budget.Resolve) {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	since := make(map[record.HolderID]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, holder := range m.Holders() {
			kind, proven := f.proof(holder)
			if !proven {
				continue
			}
			if since[holder].IsZero() {
				since[holder] = time.Now()
			}
			m.Dead(budget.Proof{Kind: proofKinds[kind], Holder: holder, Since: since[holder]},
				ask(ctx, m.InFlightOf(holder)))
		}
	}
}

func (f *fleet) proof(holder record.HolderID) (membership.ProofKind, bool) {
	vm, incarnation, ok := strings.Cut(string(holder), "/")
	if !ok {
		return membership.ProofNone, false
	}
	f.members.Watch(vm, incarnation, f.addressOf(vm))
	return f.members.Proof(vm, incarnation)
}

func (f *fleet) addressOf(vm string) string {
	for _, m := range f.members.View().Members() {
		if m.VM == vm {
			return m.PeerAddress
		}
	}
	return ""
}
