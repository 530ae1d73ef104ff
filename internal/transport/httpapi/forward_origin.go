package httpapi

import (
	"net/http"

	"github.com/dotterelthread/dotterelthread/internal/coordination/streamorigin"
)

// originState is what a forwarded request knows of where its stream began. What two software versions write does not fit
// together, so a stream goes on only at the version that began it.
type originState struct {
	// takenUp is true if the caller has events of the stream from an earlier attempt.
	takenUp bool
	source  streamorigin.Source
	// version is the software version that the stream is bound to, or nil if it has not begun.
	version *string
	// recorded is true once StreamOrigins.Begin was called.
	recorded bool
}

// takesUpStream reports whether the caller has events of the stream already. On a route whose streams cannot be resumed the
// request runs anew.
func (op *forwardOp) takesUpStream() bool {
	return op.route.Stream && op.route.Resumable && (op.caller.LastEventID != "" || op.caller.Resumes != "")
}

// resolveOrigin binds a stream that the caller takes up again to the service and the software version that began it. The
// request is refused if several versions may have begun it.
func (x *exchange) resolveOrigin() *APIError {
	op := x.op.(*forwardOp)
	if x.api.Origins == nil || !op.takesUpStream() {
		return nil
	}
	op.origin.takenUp = true
	origin, source, err := x.api.Origins.Resolve(x.ctx, op.caller.Resumes, op.service.Name, op.route.HasTarget)
	if err != nil {
		op.cause = err
		return x.contextErrorOr(refusal(http.StatusServiceUnavailable, CodeStreamVersionUnknown,
			"the software version that began the stream is not known").withRetryAfter(defaultRetryAfter))
	}
	op.origin.source = source
	if origin.Service != op.service.Name {
		if !op.route.HasTarget(origin.Service) {
			// The route has moved to another service, which runs the rest of the stream anew.
			return nil
		}
		op.useService(x, origin.Service)
	}
	op.bindVersion(x, origin.Version)
	return nil
}

func (op *forwardOp) bindVersion(x *exchange, version string) {
	op.origin.version = &version
	x.routingReq.SoftwareVersion = &version
}

// originID is the ID of the attempt that brought the first event of the stream.
func (op *forwardOp) originID() string {
	if op.caller.Resumes != "" {
		return op.caller.Resumes
	}
	return op.caller.ID
}

// beginOrigin binds the stream to the version of the upstream that sent its first event. It is called before the event is
// written to the caller.
func (op *forwardOp) beginOrigin(x *exchange) {
	if x.api.Origins == nil || !op.route.Stream || !op.route.Resumable || op.passedOn {
		return
	}
	version := x.attempt.Upstream().SoftwareVersion
	op.bindVersion(x, version)
	op.origin.recorded = true
	x.api.Origins.Begin(op.originID(), streamorigin.Origin{Service: op.service.Name, Version: version})
}

// endOrigin reports the end of the answer.
func (op *forwardOp) endOrigin(x *exchange) {
	if op.origin.recorded {
		x.api.Origins.End(op.originID(), op.abortConnection || x.httpReq.Context().Err() != nil || op.cause != nil)
	}
}
