package httpapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// errUnprovenEnd reports a response that ended with the upstream's connection and had neither a length nor chunks, while the
// upstream's process may have ended. Its connections are closed in the same way.
var errUnprovenEnd = errors.New("the end of the response is not proven")

// errUnmarkedEnd reports a stream that ended in that way at an upstream that lives. Another upstream is asked for the rest,
// because a faulty one may cut its response short.
var errUnmarkedEnd = errors.New("the end of the stream is not marked")

const (
	// endProbeDelay is the pause between the end of a response and the check whether its upstream lives. The listener of a
	// process that ends may be closed a little later than its connections.
	endProbeDelay = 50 * time.Millisecond
	// endProbeTimeout limits the connection attempt of that check.
	endProbeTimeout = 300 * time.Millisecond
)

// unconfirmedEnd is an end of the stream that has no mark, at an upstream that lives. No event has come behind it.
type unconfirmedEnd struct {
	// attempt is the one that ended so. Its result is not reported yet.
	attempt Attempt
}

// endStream ends the stream with the response, if it is proven that the response has all of the stream.
func (op *forwardOp) endStream(x *exchange, response *relay.Response) error {
	op.unprovenEnd, op.unmarkedEnd = false, !response.Framed
	if op.unmarkedEnd {
		if err := op.checkUnmarkedEnd(x); err != nil {
			return err
		}
	} else if op.order.nextHasBegun {
		return op.orderError(errors.Wrapf(errEventOrder, "end of the stream instead of event %d", op.order.next))
	}
	if !op.committed {
		op.commitHeader(x, response)
	}
	x.reportComplete()
	op.settle(x, outcomeComplete)
	op.completeStream(x)
	return nil
}

// checkUnmarkedEnd returns nil if the end of a response with neither a length nor chunks is that of the stream.
func (op *forwardOp) checkUnmarkedEnd(x *exchange) error {
	if op.order.nextHasBegun || !op.order.known || !op.upstreamLives(x) {
		return op.unproven()
	}
	obs.StreamEndsUnmarkedTotal.Add(1)
	switch {
	case op.unconfirmed != nil:
		return nil // two upstreams agree
	case x.idempotent && op.mayHaveRunCount+1 < op.route.MaxAttempts:
		op.unconfirmed = &unconfirmedEnd{attempt: x.attempt}
		return errors.WithStack(errUnmarkedEnd)
	case op.events == 0:
		return op.unproven()
	}
	return nil
}

func (op *forwardOp) unproven() error {
	op.unprovenEnd = true
	obs.StreamEndsUnprovenTotal.Add(1)
	return errors.Mark(errors.WithStack(errUnprovenEnd), upstream.ErrIncomplete)
}

// upstreamLives reports whether the process of the upstream serves after the end of its response.
func (op *forwardOp) upstreamLives(x *exchange) bool {
	if op.passedOn {
		return false // other routers mark the ends of their responses
	}
	time.Sleep(endProbeDelay)
	// The stream may be whole although the time of the request ends now.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), endProbeTimeout)
	defer cancel()
	return x.api.Forwarding.Forwarder.Lives(ctx, op.relayTarget(x))
}

// isWholeAfter reports whether the stream is whole although the attempt to get its rest elsewhere has failed.
func (op *forwardOp) isWholeAfter(err error) bool {
	return op.events > 0 && op.unconfirmed != nil && !op.order.nextHasBegun && !errors.IsAny(err, errCallerWriteFailed, errCallerLeft)
}

// endUnconfirmed reports the result of the attempt that ended without a mark, if there is one.
func (op *forwardOp) endUnconfirmed(result routing.Result) {
	if op.unconfirmed != nil {
		op.unconfirmed.attempt.Done(result)
		op.unconfirmed = nil
	}
}

// completeStream ends the response to the caller as a whole one.
func (op *forwardOp) completeStream(x *exchange) {
	op.endUnconfirmed(routing.ResultOK)
	x.noteAnswer()
	x.setWriteDeadline() // that of the last event may have passed
	if op.endsByClose(x) {
		op.finishUnframed(x, nil)
	}
}
