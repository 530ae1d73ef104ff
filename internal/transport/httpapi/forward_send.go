package httpapi

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

// errUpstreamFailed reports an upstream's own failure answer.
var errUpstreamFailed = errors.New("upstream answered with a failure")

// maxForwardBytes bounds an answer that is held until it is whole.
const maxForwardBytes = 16 << 20

// send implements job: it makes one attempt and delivers its answer.
func (j *forwardJob) send(ctx context.Context, x *exchange, _ upstream.Call, _ int) error {
	ctx, answered := j.attemptContext(ctx, x)
	defer answered()
	answer, err := x.api.Forwarding.Forwarder.Send(ctx, j.relayTarget(x), j.request(x))
	if err != nil {
		return j.attemptError(ctx, err)
	}
	defer answer.Close()
	info := x.api.Forwarding.Headers.ParseResponse(answer.Status, answer.Header)
	if reporter, ok := x.attempt.(LoadReporter); ok && info.Load != nil {
		reporter.Load(info.Load.Running, info.Load.Waiting, info.Load.Slots)
	}
	switch {
	case info.NotRun || info.WrongInstance:
		// The body is read so that the connection can be kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxEventBytes))
		return &upstream.RefusedError{
			Status: answer.Status, Message: "not run", Draining: info.WrongInstance,
		}
	case !info.Genuine:
		return errors.Mark(errors.Newf("answer %d bears no mark of an upstream", answer.Status), upstream.ErrMismatch)
	case j.route.Stream && answer.Status == http.StatusOK:
		return j.attemptError(ctx, j.stream(x, answer, answered))
	default:
		return j.attemptError(ctx, j.whole(x, answer))
	}
}

// attemptContext bounds the wait for the first event or the answer of an attempt
// that can be replaced by another one.
func (j *forwardJob) attemptContext(ctx context.Context, x *exchange) (context.Context, func()) {
	if !x.idempotent || j.sends+1 >= j.route.MaxAttempts || j.route.TargetLatency <= 0 {
		return ctx, func() {}
	}
	wait := attemptPatience * j.route.TargetLatency
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(wait, func() { cancel(errReplaced) })
	return ctx, func() { timer.Stop() }
}

// attemptPatience is after how many times the expected latency an attempt is
// replaced. Fewer would send work of busy upstreams a second time.
const attemptPatience = 4

// attemptError names the cause of a failed attempt.
func (j *forwardJob) attemptError(ctx context.Context, err error) error {
	countMismatch(err)
	if err != nil && errors.Is(context.Cause(ctx), errReplaced) && !provablyNotRun(err) {
		return errors.Mark(err, errReplaced)
	}
	return err
}

// whole delivers an answer that is not a stream once all of it is there.
func (j *forwardJob) whole(x *exchange, answer *relay.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxForwardBytes+1))
	switch {
	case err != nil:
		return err
	case len(body) > maxForwardBytes:
		return errors.Mark(errors.New("answer is too large"), upstream.ErrIncomplete)
	}
	held := &heldAnswer{status: answer.Status, header: forwardHeaders(answer.Header), body: body}
	if answer.Status >= http.StatusInternalServerError {
		j.failure = held
		return errUpstreamFailed
	}
	j.settle(x, outcomeComplete)
	j.write(x, held)
	return nil
}

// write sends a whole answer to the caller.
func (j *forwardJob) write(x *exchange, a *heldAnswer) {
	header := x.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if x.httpReq.Method != http.MethodHead && a.status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	j.status = a.status
	j.firstAt = x.api.Now()
	x.setWriteDeadline()
	x.w.WriteHeader(a.status)
	_, _ = x.w.Write(a.body)
}

// stream passes whole events to the caller as they arrive. Only whole events are
// written, so that another upstream can go on after the last one.
func (j *forwardJob) stream(x *exchange, answer *relay.Response, answered func()) error {
	reader := bufio.NewReaderSize(answer.Body, streamBuffer)
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0 {
			return j.streamEnd(x, answer)
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "stream"), upstream.ErrIncomplete)
		}
		answered()
		if !j.committed {
			j.commit(x, answer)
		}
		if err := j.emit(x, event, reader.Buffered() == 0); err != nil {
			return err
		}
		j.events++
		if id != "" {
			j.lastEvent = id
		}
	}
}

// streamBuffer holds several events.
const streamBuffer = 4 << 10

// commit sends the head of the stream. A stream that another upstream goes on
// with keeps the head of the first one.
func (j *forwardJob) commit(x *exchange, answer *relay.Response) {
	j.committed = true
	j.status = answer.Status
	if j.firstAt.IsZero() {
		j.firstAt = x.api.Now()
	}
	if reporter, ok := x.attempt.(LoadReporter); ok {
		reporter.Started()
	}
	header := x.w.Header()
	for name, values := range forwardHeaders(answer.Header) {
		header[name] = values
	}
}

func (j *forwardJob) emit(x *exchange, event []byte, flush bool) error {
	x.setWriteDeadline()
	if _, err := x.w.Write(event); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if !flush {
		return nil
	}
	if err := x.control.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

func (j *forwardJob) streamEnd(x *exchange, answer *relay.Response) error {
	if !j.committed {
		j.commit(x, answer)
	}
	j.settle(x, outcomeComplete)
	return nil
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// readEvent reads up to the empty line that ends an event, and returns the id
// that the event bears. At the end of the stream it returns io.EOF with what was
// read of an unfinished event.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continue
		case err != nil:
			return event, id, err
		case len(event) > maxEventBytes:
			return event, id, errors.New("event is too large")
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, id, nil
		}
	}
}

// result implements job. A lost connection says less about an upstream than its
// own failure does: connections are reset for other reasons too.
func (j *forwardJob) result(err error) routing.Result {
	switch {
	case errors.Is(err, errUpstreamFailed):
		return routing.ResultError
	case errors.Is(err, relay.ErrConnectionLimit):
		return routing.ResultRefused
	case errors.Is(err, upstream.ErrNotSent):
		return routing.ResultUnreachable
	case errors.Is(err, upstream.ErrIncomplete) && !errors.Is(err, context.Canceled):
		return routing.ResultFailed
	default:
		return result(err)
	}
}
