package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

const (
	// methodCrashHistory is the peer method that sends observations of upstream crashes to a router.
	methodCrashHistory = "routing.evidence"
	// crashHistoryInterval limits the time until the other routers know of a crash.
	crashHistoryInterval = 250 * time.Millisecond
	// crashHistoryResendInterval is the time after which all observations are sent again, for routers that
	// missed some or started later.
	crashHistoryResendInterval = 30 * time.Second
	// maxObservations limits the observations in one message. Each takes about 100 bytes.
	maxObservations = 2048
)

var errTooManyObservations = errors.New("message has too many observations")

// registerCrashHistoryHandler registers the handler that merges the observations of the other routers.
func (f *fleet) registerCrashHistoryHandler(history *routing.CrashHistory) {
	registerHandler(f.server, methodCrashHistory, func(_ context.Context, _ peerapi.Identity, observations []routing.Observation) (any, error) {
		if len(observations) > maxObservations {
			return nil, errTooManyObservations
		}
		history.Merge(observations...)
		return struct{}{}, nil
	})
}

// broadcastCrashHistory sends new observations to every other live router, and all observations once per
// crashHistoryResendInterval. A failed call is not repeated before that. Merging an observation twice has no
// effect. Crashes are rare, so there are few messages.
func (f *fleet) broadcastCrashHistory(ctx context.Context, history *routing.CrashHistory) {
	sent := make(map[routing.Observation]bool)
	resendAt := time.Now().Add(crashHistoryResendInterval)
	every(ctx, crashHistoryInterval, func() {
		if time.Now().After(resendAt) {
			clear(sent)
			resendAt = time.Now().Add(crashHistoryResendInterval)
		}
		unsent := slices.DeleteFunc(history.Export(), func(o routing.Observation) bool { return sent[o] })
		for batch := range slices.Chunk(unsent, maxObservations) {
			f.broadcast(ctx, methodCrashHistory, batch)
		}
		for _, o := range unsent {
			sent[o] = true
		}
	})
}

// broadcast calls a method on every other live router and ignores errors.
func (f *fleet) broadcast(ctx context.Context, method string, params any) {
	f.callAll(ctx, f.otherMembers(), method, params)
}

// otherMembers returns the other live routers. Suspected members count as live.
func (f *fleet) otherMembers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(f.members.View().Members()), func(m membership.Member) bool {
		return m.VM == f.self.VM || m.State > membership.StateSuspect
	})
}

// callAll calls a method on routers and ignores errors.
func (f *fleet) callAll(ctx context.Context, members []membership.Member, method string, params any) {
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for _, m := range members {
		workers.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			_ = f.pool.Call(callCtx, m.PeerAddress, method, params, nil)
		})
	}
	workers.Wait()
}
