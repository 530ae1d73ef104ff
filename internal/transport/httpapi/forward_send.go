package httpapi

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// errUpstreamServerError reports a response with a 5xx status from an upstream that ran the request.
var errUpstreamServerError = errors.New("upstream responded with a server error")

// errUnprovenRefusal reports a response with a status that tells callers that the request has not run, from an upstream
// that does not say so. It is not passed on.
var errUnprovenRefusal = errors.New("upstream responded with the status of a refusal and may have run the request")

// errResumeFailed reports a response that does not continue the stream of which the caller already has events.
var errResumeFailed = errors.New("response does not continue the stream")

// saysNotRun reports whether callers take a status for the statement that the request has not run and will not.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxBufferedBytes bounds the body of a response that is buffered before it is written to the caller. Forwarding.Buffers
// bounds all of them together.
const maxBufferedBytes = 4 << 20

// send implements operation.
func (op *forwardOp) send(ctx context.Context, x *exchange, _ upstream.Call, _ int) error {
	ctx, stopTimer := op.attemptContext(ctx, x)
	defer stopTimer()
	x.api.Forwarding.Reach.Begin(op.service.Name)
	defer x.api.Forwarding.Reach.End(op.service.Name)
	response, err := x.api.Forwarding.Forwarder.Send(ctx, op.relayTarget(x), op.relayRequest(x))
	if err != nil {
		return op.attemptError(ctx, err)
	}
	defer response.Close()
	x.api.Forwarding.Reach.Received(op.service.Name)
	info := x.api.Forwarding.Headers.ParseResponse(response.Status, response.Header)
	if reporter, ok := x.attempt.(LoadReporter); ok && info.Load != nil {
		reporter.Load(info.Load.Running, info.Load.Waiting, info.Load.Slots, info.Load.WorkPercent)
	}
	if reporter, ok := x.attempt.(NoticeReporter); ok && info.Genuine && !info.WrongInstance {
		x.reportNotice(reporter, info.Notice)
	}
	switch {
	case info.NotRun || info.WrongInstance:
		// The body is read to its end so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxEventBytes))
		return &upstream.RefusedError{
			Status: response.Status, Message: "request was not run", Draining: info.WrongInstance,
		}
	case !info.Genuine:
		return errors.Mark(
			errors.Newf("response with status %d did not come from an upstream", response.Status), upstream.ErrMismatch)
	case op.committed && !op.continuesStream(response):
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxEventBytes))
		return errors.Wrapf(errResumeFailed, "status %d, type %.60q", response.Status, response.Header.Get("Content-Type"))
	case saysNotRun(response.Status):
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxEventBytes))
		return errors.Wrapf(errUnprovenRefusal, "status %d", response.Status)
	}
	x.progress.begun = true
	switch {
	case op.route.Stream && response.Status == http.StatusOK:
		return op.attemptError(ctx, op.forwardStream(x, response, stopTimer))
	default:
		return op.attemptError(ctx, op.forwardBuffered(x, response))
	}
}

// attemptContext applies a timeout to the wait for the first event or the complete response of an attempt, if
// another attempt is allowed or the stream is whole as far as is known. The returned function stops the timer.
func (op *forwardOp) attemptContext(ctx context.Context, x *exchange) (context.Context, func()) {
	timeout := attemptTimeoutFactor * op.route.TargetLatency
	switch {
	case op.unconfirmed != nil:
		timeout = restTimeoutFactor * op.route.TargetLatency
	case !x.idempotent || op.mayHaveRunCount+1 >= op.route.MaxAttempts:
		return ctx, func() {}
	}
	if timeout <= 0 {
		return ctx, func() {}
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errAttemptTimeout) })
	return ctx, func() { timer.Stop() }
}

// attemptTimeoutFactor is the attempt timeout as a multiple of the target latency. A lower factor would send
// requests that run at busy upstreams a second time.
const attemptTimeoutFactor = 4

// restTimeoutFactor is the same for an attempt to get the rest of a stream that is whole as far as is known. Its caller waits for
// nothing but the end.
const restTimeoutFactor = 2

// attemptError counts a dropped response. It marks the error of an attempt that timed out with
// errAttemptTimeout, unless the attempt provably did not run.
func (op *forwardOp) attemptError(ctx context.Context, err error) error {
	countResponseError(err)
	if err != nil && errors.Is(context.Cause(ctx), errAttemptTimeout) && !provablyNotRun(err) {
		return errors.Mark(err, errAttemptTimeout)
	}
	return err
}

// forwardBuffered writes a response that is not a stream to the caller once its body is complete. It stores a
// server error in errorResponse instead, because another attempt may succeed. A body with neither a length nor chunks is
// complete only if the upstream lives.
func (op *forwardOp) forwardBuffered(x *exchange, response *relay.Response) error {
	body := x.api.Forwarding.Buffers.NewBuffer(op.upstream, maxBufferedBytes)
	if err := body.ReadAll(response.Body); err != nil {
		body.Release()
		return errors.Mark(errors.Wrap(err, "response body"), upstream.ErrIncomplete)
	}
	if !response.Framed && !op.upstreamLives(x) {
		body.Release()
		obs.ResponseEndsUnprovenTotal.Add(1)
		return errors.Mark(errors.WithStack(errUnprovenEnd), upstream.ErrIncomplete)
	}
	if response.Status < http.StatusMultipleChoices {
		x.reportComplete() // a refusal takes no work
	}
	buffered := &bufferedResponse{
		status: response.Status, header: endToEndHeaders(response.Header), body: body, framed: response.Framed,
	}
	if response.Status >= http.StatusInternalServerError {
		op.keepErrorResponse(buffered)
		return errUpstreamServerError
	}
	defer body.Release()
	op.settle(x, outcomeComplete)
	x.noteAnswer()
	op.writeBuffered(x, buffered)
	return nil
}

// keepErrorResponse replaces the server error that the caller gets if no attempt succeeds. A nil response drops it.
func (op *forwardOp) keepErrorResponse(response *bufferedResponse) {
	if op.errorResponse != nil {
		op.errorResponse.body.Release()
	}
	op.errorResponse = response
}

// writeBuffered writes a buffered response to the caller.
func (op *forwardOp) writeBuffered(x *exchange, response *bufferedResponse) {
	header := x.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	x.announceClose()
	// Another router can't ask whether the upstream lives.
	framed := response.framed || x.hop != nil
	switch {
	case !framed:
		// Nothing in the response proves that the body is complete, so no length is stated either.
		header.Set("Transfer-Encoding", "identity")
	case x.httpReq.Method != http.MethodHead && response.status != http.StatusNoContent:
		header.Set("Content-Length", strconv.Itoa(response.body.Len()))
	}
	op.status = response.status
	op.firstByteAt = x.api.Now()
	x.setWriteDeadline()
	if !framed {
		resetCallerConn(x.httpReq.Context())
	}
	x.w.WriteHeader(response.status)
	_, err := x.w.Write(response.body.Bytes())
	if !framed {
		op.finishUnframed(x, err)
	}
}

// finishUnframed ends a response whose end is that of the caller's connection. The connection is reset unless all of the
// response is written.
func (op *forwardOp) finishUnframed(x *exchange, err error) {
	if err == nil {
		err = x.control.Flush()
	}
	if err != nil {
		op.abortConnection = true
		op.cause = errors.CombineErrors(errors.Mark(err, errCallerWriteFailed), op.cause)
		return
	}
	keepCallerConn(x.httpReq.Context())
}

// forwardStream writes events to the caller as they arrive. Only complete events that follow the one before are written,
// so that another upstream can resume after the last one.
func (op *forwardOp) forwardStream(x *exchange, response *relay.Response, stopTimer func()) error {
	err := op.copyEvents(x, response, stopTimer)
	if err == nil {
		return nil
	}
	// The stream may go on much later, or be aborted.
	return errors.CombineErrors(op.flushEvents(x), err)
}

func (op *forwardOp) copyEvents(x *exchange, response *relay.Response, stopTimer func()) error {
	reader := bufio.NewReaderSize(flushingReader{response.Body, func() error { return op.flushEvents(x) }}, streamBufferBytes)
	buffer := x.api.Forwarding.Buffers.NewBuffer(op.upstream, maxEventBytes)
	defer buffer.Release()
	for {
		event, id, err := readEvent(reader, buffer)
		switch {
		case errors.Is(err, errCallerWriteFailed):
			return err
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			return op.endStream(x, response)
		case err != nil:
			op.order.breakOff(event)
			return errors.Mark(errors.Wrap(err, "stream"), upstream.ErrIncomplete)
		}
		comment := isComment(event)
		if !comment {
			x.reportEvent()
			if err := op.order.acceptFrom(response.Framed, event, id); err != nil {
				if op.order.isAhead(id) {
					op.endUnconfirmed(routing.ResultFailed) // the stream has another event
				}
				return op.orderError(err)
			}
		}
		stopTimer()
		if !op.committed {
			op.commitHeader(x, response)
		}
		if err := op.writeEvent(x, event); err != nil {
			return err
		}
		if !comment {
			op.events++
			op.lastEventID = id
			op.endUnconfirmed(routing.ResultFailed)
			x.noteEvent()
			if !op.passedOn {
				x.api.Forwarding.Reach.Received(op.service.Name)
			}
		}
	}
}

// flushingReader calls flush before each read. A read may wait.
type flushingReader struct {
	r     io.Reader
	flush func() error
}

// Read implements io.Reader.
func (f flushingReader) Read(p []byte) (int, error) {
	if err := f.flush(); err != nil {
		return 0, err
	}
	return f.r.Read(p)
}

// streamBufferBytes is the size of the read buffer. It holds several events.
const streamBufferBytes = 4 << 10

// continuesStream reports whether the events of a response may follow those that the caller has. Only a response like the
// one that began the stream may: a failure, or a body of another type, would be read as events.
func (op *forwardOp) continuesStream(response *relay.Response) bool {
	return response.Status == op.status && response.Header.Get("Content-Type") == op.contentType
}

// commitHeader copies the status and headers of the stream from the response. It is called once: if another
// upstream resumes the stream, those of the first response are kept.
func (op *forwardOp) commitHeader(x *exchange, response *relay.Response) {
	op.committed = true
	op.status, op.contentType = response.Status, response.Header.Get("Content-Type")
	op.beginOrigin(x)
	if op.firstByteAt.IsZero() {
		op.firstByteAt = x.api.Now()
	}
	if reporter, ok := x.attempt.(LoadReporter); ok {
		reporter.Started()
	}
	header := x.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	x.announceClose()
	if op.endsByClose(x) {
		resetCallerConn(x.httpReq.Context())
	}
}

// endsByClose reports whether the caller reads a stream to the end of its connection. A caller that speaks HTTP/1.0 gets no
// chunks.
func (op *forwardOp) endsByClose(x *exchange) bool { return !x.httpReq.ProtoAtLeast(1, 1) }

func (op *forwardOp) writeEvent(x *exchange, event []byte) error {
	x.setWriteDeadline()
	op.unflushed = true
	if _, err := x.w.Write(event); err != nil {
		return errors.Mark(err, errCallerWriteFailed)
	}
	return nil
}

// flushEvents sends the events that are in the buffer of the caller's connection.
func (op *forwardOp) flushEvents(x *exchange) error {
	if !op.unflushed {
		return nil
	}
	op.unflushed = false
	if err := x.control.Flush(); err != nil {
		return errors.Mark(err, errCallerWriteFailed)
	}
	return nil
}

// orderError counts an event, or an end of a stream, that does not follow the event before it.
func (op *forwardOp) orderError(err error) error {
	obs.StreamEventsOutOfOrderTotal.Add(1)
	op.outOfOrder++
	return errors.Wrap(err, "stream")
}

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvent reads an event up to and including the empty line that ends it, and returns it with its ID, if it
// has one. At the end of the stream it returns io.EOF with what was read of an incomplete event. The event is in
// the buffer and valid until the next call.
func readEvent(r *bufio.Reader, buffer *membuf.Buffer) (event []byte, id string, err error) {
	buffer.Reset()
	for continued := false; ; {
		line, err := r.ReadSlice('\n')
		if _, writeErr := buffer.Write(line); writeErr != nil {
			return buffer.Bytes(), id, errors.Wrap(writeErr, "event")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continued = true
			continue
		case err != nil:
			return buffer.Bytes(), id, err
		case continued:
			// The end of a line that is longer than the read buffer.
			continued = false
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && buffer.Len() > len(line) {
			return buffer.Bytes(), id, nil
		}
	}
}

// routingResult implements operation. A connection lost during a response is reported as a failure and not as
// a crash, as the function routingResult would, because connections are reset for other reasons too.
func (op *forwardOp) routingResult(err error) routing.Result {
	switch {
	case op.unconfirmed != nil && errors.Is(err, errAttemptTimeout):
		return routing.ResultAbandoned
	case errors.IsAny(err, errUpstreamServerError, errUnprovenRefusal, errResumeFailed, errEventOrder):
		return routing.ResultError
	case errors.Is(err, relay.ErrConnectionLimit):
		return routing.ResultRefused
	case errors.Is(err, upstream.ErrNotSent):
		return routing.ResultUnreachable
	case errors.Is(err, upstream.ErrIncomplete) && !errors.Is(err, context.Canceled):
		if errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) {
			return routing.ResultLost
		}
		return routing.ResultFailed
	default:
		return routingResult(err)
	}
}
