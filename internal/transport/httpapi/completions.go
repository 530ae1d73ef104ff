package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	contentJSON   = "application/json"
	contentStream = "text/event-stream"
)

// resumePause is the time between two rounds over the engines that may hold a
// broken stream.
const resumePause = 50 * time.Millisecond

func (x *exchange) parseChat() *APIError {
	req, err := chat.Parse(x.body)
	if err != nil {
		return refuse(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if !slices.Contains(x.entry.Models, req.Model) {
		return refuse(http.StatusForbidden, CodeNotAllowed, "the entry does not allow this model")
	}
	x.bound = req.Bound()
	x.idempotent = true
	x.pick = routing.Request{
		Model: req.Model, PrefixHashes: req.PrefixHashes(), Class: x.entry.Class,
		Fingerprint: routing.FingerprintOf(x.entry.Name, req.Model, x.body),
	}
	if req.Stream {
		x.job = streamJob{model: req.Model}
	} else {
		x.job = wholeJob{model: req.Model}
	}
	return nil
}

// wholeJob is a chat completion that is answered at once.
type wholeJob struct{ model string }

func (j wholeJob) target() string   { return j.model }
func (j wholeJob) cancelable() bool { return true }

func (j wholeJob) result(err error) routing.Result { return result(err) }

func (j wholeJob) send(ctx context.Context, x *exchange, call upstream.Call, attempt int) error {
	ctx, answered := x.attemptContext(ctx)
	defer answered()
	answer, err := x.api.Engines.Complete(ctx, call)
	if err != nil {
		return x.attemptError(ctx, call, err)
	}
	return x.deliver(attempt, answer.Usage, request.StoredResponse{
		Status: http.StatusOK, ContentType: contentJSON, Body: answer.Body,
	})
}

// attemptContext bounds the wait for the answer of an attempt. The returned
// function ends the bound: the answer has come.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, func()) {
	if x.api.Limits.AttemptTimeout <= 0 || !x.idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(x.api.Limits.AttemptTimeout, func() { cancel(errReplaced) })
	return ctx, func() { timer.Stop() }
}

// attemptError names the cause of a failed attempt, and stops the run of an
// attempt that is given up while its upstream works.
func (x *exchange) attemptError(ctx context.Context, call upstream.Call, err error) error {
	countMismatch(err)
	if !errors.Is(context.Cause(ctx), errReplaced) || provablyNotRun(err) {
		return err
	}
	if x.job.cancelable() {
		go func() { _, _ = x.stop(call) }()
	}
	return errors.Mark(err, errReplaced)
}

// countMismatch counts a dropped answer to another request or attempt.
func countMismatch(err error) {
	if errors.Is(err, upstream.ErrMismatch) {
		obs.MismatchedResponsesTotal.Add(1)
	}
}

// streamJob is a chat completion that is answered in parts.
type streamJob struct{ model string }

func (j streamJob) target() string   { return j.model }
func (j streamJob) cancelable() bool { return true }

func (j streamJob) result(err error) routing.Result { return result(err) }

func (j streamJob) send(ctx context.Context, x *exchange, call upstream.Call, attempt int) error {
	ctx, answered := x.attemptContext(ctx)
	defer answered()
	s := &stream{x: x, attempt: attempt, answered: answered, home: call.Address}
	err := x.api.Engines.Stream(ctx, call, s.emit)
	if err != nil && s.events == 0 {
		return x.attemptError(ctx, call, err)
	}
	if err != nil {
		err = s.resume(ctx, call, j.model, err)
	}
	if err != nil {
		return err
	}
	return s.end()
}

// stream passes the events of one request to its caller.
type stream struct {
	x        *exchange
	attempt  int
	answered func()
	// home is the address of the engine that began the stream.
	home string
	// events is the number of events that the caller has.
	events int
	usage  *chat.Usage
	buffer bytes.Buffer
	// kept is the answer so far, for its idempotency key.
	kept []byte
}

func (s *stream) emit(e upstream.Event) error {
	if s.events == 0 {
		if err := s.begin(); err != nil {
			return err
		}
	}
	if e.Usage != nil {
		s.usage = e.Usage
	}
	s.buffer.Reset()
	s.buffer.WriteString("data: ")
	s.buffer.Write(e.Data)
	s.buffer.WriteString("\n\n")
	if err := s.write(s.buffer.Bytes()); err != nil {
		return err
	}
	s.events++
	return nil
}

func (s *stream) begin() error {
	s.answered()
	if err := s.x.record.Stream(s.attempt); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
		return err
	}
	s.x.streaming = true
	header := s.x.w.Header()
	header.Set(chat.HeaderRequestID, s.x.id)
	header.Set("Content-Type", contentStream)
	header.Set("Cache-Control", "no-store")
	return nil
}

func (s *stream) write(data []byte) error {
	if s.x.httpReq.Header.Get(HeaderIdempotencyKey) != "" && len(s.kept) <= s.x.api.Limits.MaxAnswerBytes {
		s.kept = append(s.kept, data...)
	}
	s.x.setWriteDeadline()
	if _, err := s.x.w.Write(data); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := s.x.control.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// resume reads a broken stream on from the first event that the caller does not
// have: at the same engine, or at another one that holds the stream. It gives up
// when every engine answered that it does not hold the stream, and after
// ResumeTimeout without a new event. The stream is not run again from the start,
// since another run may give another answer.
func (s *stream) resume(ctx context.Context, call upstream.Call, model string, err error) error {
	limits, now := s.x.api.Limits, s.x.api.Now
	deadline := now().Add(limits.ResumeTimeout)
	countMismatch(err)
	for held := true; held && s.resumable(ctx, err) && now().Before(deadline); {
		held = false
		for _, address := range s.x.resumeAddresses(model, call.Address) {
			before := s.events
			call.Address = address
			err = s.x.api.Engines.Resume(ctx, call, s.events, s.emit)
			countMismatch(err)
			held = held || !errors.Is(err, upstream.ErrNotHeld)
			if s.events > before {
				obs.StreamsResumedTotal.Add(1)
				deadline = now().Add(limits.ResumeTimeout)
				s.x.moved = s.x.moved || address != s.home
				s.x.calls[len(s.x.calls)-1] = call
			}
			if err == nil || !s.resumable(ctx, err) {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumePause):
		}
	}
	obs.EventStreamResumeFailed.Log(s.x.api.Logger, logrus.Fields{
		"request_id": s.x.id, "events": s.events, "error": err.Error(),
	})
	return err
}

func (s *stream) resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errCallerGone)
}

// resumeAddresses returns the engines that may hold a stream, the given one first.
func (x *exchange) resumeAddresses(model, first string) []string {
	addresses := []string{first}
	for u := range x.api.Config.Current().Upstreams {
		if u.Kind == catalogue.KindEngine && u.Address != first && slices.Contains(u.Models, model) {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

// end settles a whole stream and writes its last events.
func (s *stream) end() error {
	x := s.x
	if s.events == 0 {
		if err := s.begin(); err != nil {
			return err
		}
	}
	balance, err := x.settle(s.attempt, s.usage, outcomeComplete)
	if err != nil {
		return err
	}
	last := fmt.Sprintf("event: usage\ndata: {\"request_id\":%q,\"bill_tokens\":%d,\"budget_remaining\":%d}\n\ndata: %s\n\n",
		x.id, x.record.Info().Bill.Charged, balance.Remaining, chat.DoneMark)
	_ = s.write([]byte(last))
	if len(s.kept) <= x.api.Limits.MaxAnswerBytes {
		x.answer = &request.StoredResponse{Status: http.StatusOK, ContentType: contentStream, Body: s.kept}
	}
	return nil
}

// writeStreamError ends a stream whose answer cannot be completed.
func (x *exchange) writeStreamError(e *APIError) {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return
	}
	x.setWriteDeadline()
	_, _ = fmt.Fprintf(x.w, "event: error\ndata: %s\n\n", data)
}
