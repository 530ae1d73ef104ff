package httpapi

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// lossCause is why an upstream has lost the connection of an attempt, as far as the router can tell.
type lossCause int

const (
	// causeUnknown means that the upstream does not refuse new connections. Its process probably lives.
	causeUnknown lossCause = iota
	// causeCrash means that the process of the upstream has ended.
	causeCrash
	// causePathLost means that the router has probably lost its path to the upstream, or that the upstreams of the service have
	// ended together.
	causePathLost
	// causeStop means that the upstream was known to leave, and has ended as planned.
	causeStop
)

// String returns the cause as it appears in logs.
func (c lossCause) String() string {
	switch c {
	case causeCrash:
		return "crash"
	case causePathLost:
		return "path lost"
	case causeStop:
		return "stop"
	}
	return "unknown"
}

// loss is a connection of an attempt that has ended before the response was complete.
type loss interface {
	// examine returns the cause as far as it shows at once.
	examine(ctx context.Context) lossCause
	// confirm returns the cause after examine has returned causeCrash.
	confirm(ctx context.Context) lossCause
}

// probedLoss is a loss that is a crash if the upstream refuses connections.
type probedLoss func(ctx context.Context) (refuses bool)

func (l probedLoss) examine(ctx context.Context) lossCause {
	if l(ctx) {
		return causeCrash
	}
	return causeUnknown
}

func (l probedLoss) confirm(context.Context) lossCause { return causeCrash }

// forwardLoss is the loss of a forwarded request.
type forwardLoss struct {
	forwarding        *Forwarding
	service, upstream string
	target            relay.Target
	at                time.Time
	// leaving is true if the upstream was known to leave.
	leaving bool
}

// LeavingUpstream is an Attempt that knows whether its upstream leaves. Not every Attempt implements it.
type LeavingUpstream interface {
	UpstreamLeaves() bool
}

// maySignalCrash reports whether an attempt that failed with an error may have lost its connection because the process of the
// upstream has ended. That closes the connection; one that times out has lost its path or its host.
func maySignalCrash(err error) bool {
	return errors.Is(err, upstream.ErrIncomplete) &&
		!errors.IsAny(err, errAttemptTimeout, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH)
}

func (l *forwardLoss) examine(ctx context.Context) lossCause {
	switch {
	case !l.forwarding.Forwarder.RefusesConnections(ctx, l.target):
		return causeUnknown
	case l.leaving:
		return causeStop
	case l.pathLost(ctx):
		return causePathLost
	}
	return causeCrash
}

// confirm asks other routers, and looks once more for other upstreams that have ended: they may do so a little later.
func (l *forwardLoss) confirm(ctx context.Context) lossCause {
	if reached := l.forwarding.ReachedByOthers; reached != nil && reached(ctx, l.upstream) {
		return causePathLost
	}
	select {
	case <-time.After(crashSettleTime):
	case <-ctx.Done():
	}
	if l.pathLost(ctx) {
		return causePathLost
	}
	return causeCrash
}

func (l *forwardLoss) pathLost(ctx context.Context) bool {
	var apart map[string]struct{}
	if l.forwarding.EndedApart != nil {
		apart = l.forwarding.EndedApart(l.service, l.upstream, l.at)
	}
	return l.forwarding.Reach.CheckPath(ctx, l.service, l.target.Address, apart) == reach.PathLost
}
