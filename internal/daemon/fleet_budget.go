package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Home implements budget.Peers. The home of a partition is the live member that rendezvous hashing assigns it
// to, here among the members in this router's region. It can append the ledger records of several routers in
// one batch.
func (f *fleet) Home(partition int) record.HolderID {
	m, ok := f.members.View().Home(partition, f.self.Region)
	if !ok || m.Incarnation == "" {
		return ""
	}
	return holderOf(m)
}

// Backup implements budget.Peers.
func (f *fleet) Backup() record.HolderID {
	m, ok := f.members.View().ReservationReplica(f.self.VM, f.self.Zone, f.self.Region)
	if !ok || m.Incarnation == "" {
		return ""
	}
	return holderOf(m)
}

// errNotMember reports that a holder is not a member, so that it cannot be called.
var errNotMember = errors.New("holder is not a member")

// errReplaced reports a response from another incarnation than the one called.
var errReplaced = errors.New("another process answers for the holder")

// call calls a method of the given process and of no other. A later incarnation at the same address does not
// have its state.
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
	return errors.Wrapf(errNotMember, "holder %s", to)
}

// Reserve implements budget.Peers.
func (f *fleet) Reserve(ctx context.Context, to record.HolderID, p budget.ReserveParams) (budget.ReserveResult, error) {
	var r budget.ReserveResult
	err := f.call(ctx, to, budget.MethodReserve, p, &r)
	return r, err
}

// Settle implements budget.Peers. It ends a reservation at the peer.
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
func (f *fleet) Journal(ctx context.Context, to record.HolderID, b budget.JournalBatch) error {
	return f.call(ctx, to, budget.MethodJournal, b, nil)
}

// Return implements budget.Peers.
func (f *fleet) Return(ctx context.Context, to record.HolderID, p budget.ReturnParams) (budget.ReturnResult, error) {
	var r budget.ReturnResult
	err := f.call(ctx, to, budget.MethodReturn, p, &r)
	return r, err
}

var errWrongSender = errors.New("the message names another sender than its connection")

// checkSender refuses parameters that name another process than the peer of the connection.
func checkSender(from peerapi.Identity, named record.HolderID) error {
	if string(named) != from.VM+"/"+from.Incarnation {
		return errWrongSender
	}
	return nil
}

// registerBudgetHandlers registers the handlers of the budget methods. Reserve, Settle and Journal refuse
// parameters that name another process than the peer of the connection. Return names no sender. The sender
// that Acquire names is compared only with the items, by budget.Manager.ServeAcquire.
func (f *fleet) registerBudgetHandlers(m *budget.Manager) {
	registerHandler(f.server, budget.MethodReserve, func(ctx context.Context, from peerapi.Identity, p budget.ReserveParams) (any, error) {
		if err := checkSender(from, p.From); err != nil {
			return nil, err
		}
		return m.ServeReserve(ctx, p)
	})
	registerHandler(f.server, budget.MethodSettle, func(_ context.Context, from peerapi.Identity, p budget.SettleParams) (any, error) {
		if err := checkSender(from, p.From); err != nil {
			return nil, err
		}
		m.ServeSettle(p)
		return struct{}{}, nil
	})
	registerHandler(f.server, budget.MethodAcquire, func(ctx context.Context, _ peerapi.Identity, p budget.AcquireParams) (any, error) {
		return m.ServeAcquire(ctx, p)
	})
	registerHandler(f.server, budget.MethodJournal, func(_ context.Context, from peerapi.Identity, b budget.JournalBatch) (any, error) {
		if err := checkSender(from, b.Holder); err != nil {
			return nil, err
		}
		return struct{}{}, m.ServeJournal(b)
	})
	registerHandler(f.server, budget.MethodReturn, func(_ context.Context, _ peerapi.Identity, p budget.ReturnParams) (any, error) {
		return m.ServeReturn(p), nil
	})
}
