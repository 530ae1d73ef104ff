package httpapi

import "github.com/dotterelthread/dotterelthread/internal/coordination/routing"

// BarredChecker is a Routing that knows requests which no upstream may get. Not every Routing implements it.
type BarredChecker interface {
	// CheckBarred returns a routing.NoUpstreamError if the operator's configuration bars each upstream from the request.
	CheckBarred(req routing.Request) error
}

// checkBarred refuses a request that no upstream may get. Admission would let it wait for a slot.
func (x *exchange) checkBarred() *APIError {
	checker, ok := x.api.Routing.(BarredChecker)
	if !ok {
		return nil
	}
	op := x.op.(*forwardOp)
	if err := checker.CheckBarred(x.routingReq); err != nil {
		op.cause = err
		return x.contextErrorOr(op.notRunError(x, err))
	}
	return nil
}
