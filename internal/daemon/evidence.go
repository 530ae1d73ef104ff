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
	// methodEvidence tells a router what others know of requests that crashed
	// upstreams.
	methodEvidence = "routing.evidence"
	// evidenceInterval bounds the time until the other routers know of a crash.
	evidenceInterval = 250 * time.Millisecond
	// evidenceRepeat is the time after which everything is sent again, for
	// routers that missed it or started later.
	evidenceRepeat = 30 * time.Second
	// maxEvidence bounds the observations in one message; about 100 bytes each.
	maxEvidence = 2048
)

var errTooMuchEvidence = errors.New("message has too many observations")

// serveEvidence takes over the other routers' observations.
func (f *fleet) serveEvidence(e *routing.CrashHistory) {
	handle(f.server, methodEvidence, func(_ context.Context, _ peerapi.Identity, all []routing.Observation) (any, error) {
		if len(all) > maxEvidence {
			return nil, errTooMuchEvidence
		}
		e.Merge(all...)
		return struct{}{}, nil
	})
}

// shareEvidence sends new observations to every live router. Crashes are rare,
// so the messages are too; merging is idempotent, so repeats do no harm.
func (f *fleet) shareEvidence(ctx context.Context, e *routing.CrashHistory) {
	sent := make(map[routing.Observation]bool)
	forget := time.Now().Add(evidenceRepeat)
	every(ctx, evidenceInterval, func() {
		if time.Now().After(forget) {
			clear(sent)
			forget = time.Now().Add(evidenceRepeat)
		}
		all := slices.DeleteFunc(e.Export(), func(o routing.Observation) bool { return sent[o] })
		for batch := range slices.Chunk(all, maxEvidence) {
			f.broadcast(ctx, methodEvidence, batch)
		}
		for _, o := range all {
			sent[o] = true
		}
	})
}

// broadcast calls a method on every other member that takes part.
func (f *fleet) broadcast(ctx context.Context, method string, params any) {
	workers := pool.New().WithMaxGoroutines(askWorkers)
	for _, m := range f.members.View().Members() {
		if m.VM == f.self.VM || m.State > membership.StateSuspect {
			continue
		}
		workers.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = f.pool.Call(callCtx, m.PeerAddress, method, params, nil)
		})
	}
	workers.Wait()
}
