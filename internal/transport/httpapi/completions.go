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
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
)

// resumeInterval is the time between two rounds of requests to the engines that may hold a broken stream.
const resumeInterval = 50 * time.Millisecond

// parseCopies is the number of copies of a body that chat.Parse makes: its fields, and the strings of its messages.
const parseCopies = 2

func (x *exchange) parseChat() *APIError {
	release, err := x.heldBody.GrowCopies(parseCopies)
	if err != nil {
		return x.overMemory()
	}
	defer release()
	req, err := chat.Parse(x.body)
	if err != nil {
		return refusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if !slices.Contains(x.entry.Models, req.Model) {
		return refusal(http.StatusForbidden, CodeNotAllowed, "the entry does not allow this model")
	}
	x.maxCost = req.CostBound()
	x.idempotent = true
	x.routingReq = routing.Request{
		Model: req.Model, PrefixHashes: req.PrefixHashes(), Class: x.entry.Class,
		Fingerprint: routing.FingerprintOf(x.entry.Name, req.Model, x.body),
	}
	x.subjects = messageSubjects(req.Messages, x.requestHash[:])
	if req.Stream {
		x.op = streamOp{model: req.Model, choices: max(1, req.N)}
	} else {
		x.op = completionOp{model: req.Model}
	}
	return nil
}

// completionOp is a chat completion whose response is not streamed.
type completionOp struct{ model string }

func (op completionOp) billTarget() string { return op.model }
func (op completionOp) cancelable() bool   { return true }

func (op completionOp) routingResult(err error) routing.Result { return routingResult(err) }

func (op completionOp) send(ctx context.Context, x *exchange, call upstream.Call, attemptNumber int) error {
	ctx, stopTimer := x.attemptContext(ctx)
	defer stopTimer()
	response, err := x.api.Engines.Complete(ctx, call)
	if err != nil {
		return x.handleAttemptError(ctx, call, err)
	}
	defer response.Release()
	return x.deliver(attemptNumber, response.Usage, request.StoredResponse{
		Status: http.StatusOK, ContentType: contentTypeJSON, Body: response.Body,
	})
}

// attemptContext applies the attempt timeout of an idempotent request. The returned function stops the
// timer; it is called when the response arrives.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, func()) {
	if x.api.Limits.AttemptTimeout <= 0 || !x.idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(x.api.Limits.AttemptTimeout, func() { cancel(errAttemptTimeout) })
	return ctx, func() { timer.Stop() }
}

// handleAttemptError counts a dropped response. If the attempt timed out and may have run, it also starts
// to cancel the run at the upstream and marks the error errAttemptTimeout.
func (x *exchange) handleAttemptError(ctx context.Context, call upstream.Call, err error) error {
	countResponseError(err)
	if !errors.Is(context.Cause(ctx), errAttemptTimeout) || provablyNotRun(err) {
		return err
	}
	if x.op.cancelable() {
		go func() { _, _ = x.stopRun(call) }()
	}
	return errors.Mark(err, errAttemptTimeout)
}

// countResponseError counts a response that was dropped because it belongs to another request or attempt, or because there
// was no memory for it.
func countResponseError(err error) {
	switch {
	case errors.Is(err, upstream.ErrMismatch):
		obs.MismatchedResponsesTotal.Add(1)
	case errors.Is(err, membuf.ErrLimit):
		obs.ResponsesOverMemoryTotal.Add(1)
	}
}

// streamOp is a chat completion whose response is streamed.
type streamOp struct {
	model string
	// choices is the number of choices that the engine generates.
	choices int64
}

func (op streamOp) billTarget() string { return op.model }
func (op streamOp) cancelable() bool   { return true }

func (op streamOp) routingResult(err error) routing.Result { return routingResult(err) }

func (op streamOp) send(ctx context.Context, x *exchange, call upstream.Call, attemptNumber int) error {
	ctx, stopTimer := x.attemptContext(ctx)
	defer stopTimer()
	s := &streamWriter{x: x, attemptNumber: attemptNumber, stopTimer: stopTimer, firstAddress: call.Address,
		unfinished: make(map[int]bool)}
	for i := range op.choices {
		s.unfinished[int(i)] = true
	}
	err := s.checkEnd(x.api.Engines.Stream(ctx, call, s.writeEvent))
	if err != nil && s.eventsSent == 0 {
		return x.handleAttemptError(ctx, call, err)
	}
	if err != nil {
		// By the end of the resume, a crashed engine may have restarted.
		x.noteFailedAttempt(err)
		err = s.resume(ctx, call, op.model, err)
	}
	if err != nil {
		return err
	}
	return s.finish()
}

// streamWriter writes the events of one stream to the caller.
type streamWriter struct {
	x             *exchange
	attemptNumber int
	stopTimer     func()
	// firstAddress is the address of the engine that started the stream.
	firstAddress string
	eventsSent   int
	// softwareVersion is that of the engine that started the stream.
	softwareVersion string
	usage           *chat.Usage
	// unfinished has the indices of the choices of which the last event is missing.
	unfinished map[int]bool
	buffer     bytes.Buffer
	// replayBody holds what was written so far, to be stored for the idempotency key.
	replayBody []byte
}

func (s *streamWriter) writeEvent(event upstream.Event) error {
	if s.eventsSent == 0 {
		if err := s.start(); err != nil {
			return err
		}
		s.softwareVersion = event.SoftwareVersion
	}
	if event.Usage != nil {
		s.usage = event.Usage
	}
	s.buffer.Reset()
	s.buffer.WriteString("data: ")
	s.buffer.Write(event.Data)
	s.buffer.WriteString("\n\n")
	if err := s.write(s.buffer.Bytes()); err != nil {
		return err
	}
	s.eventsSent++
	for _, index := range event.Finished {
		delete(s.unfinished, index)
	}
	s.x.noteEvent()
	return nil
}

// checkEnd returns the error of a read of the stream, or an upstream.ErrIncomplete if the read has reached the end marker
// although the last event of a choice is missing. The numbers of the events do not show that.
func (s *streamWriter) checkEnd(err error) error {
	if err == nil && len(s.unfinished) > 0 {
		return errors.Mark(errors.Newf("stream ended after %d events, before the end of each choice", s.eventsSent), upstream.ErrIncomplete)
	}
	return err
}

// start stops the attempt timer, marks the request as streaming and sets the response headers. It fails if
// the request no longer accepts a response to this attempt.
func (s *streamWriter) start() error {
	s.stopTimer()
	if err := s.x.request.Stream(s.attemptNumber); err != nil {
		obs.MismatchedResponsesTotal.Add(1)
		return err
	}
	s.x.streaming = true
	header := s.x.w.Header()
	header.Set(chat.HeaderRequestID, s.x.id)
	header.Set("Content-Type", contentTypeEventStream)
	header.Set("Cache-Control", "no-store")
	return nil
}

func (s *streamWriter) write(data []byte) error {
	if s.x.httpReq.Header.Get(HeaderIdempotencyKey) != "" && len(s.replayBody) <= s.x.api.Limits.MaxAnswerBytes {
		s.replayBody = append(s.replayBody, data...)
	}
	s.x.setWriteDeadline()
	if _, err := s.x.w.Write(data); err != nil {
		return errors.Mark(err, errCallerWriteFailed)
	}
	if err := s.x.control.Flush(); err != nil {
		return errors.Mark(err, errCallerWriteFailed)
	}
	return nil
}

// resume continues a broken stream after the last event that was sent to the caller, at the same engine or at
// another one that holds the stream and has the same software version. It fails when every engine responds that it
// does not hold the stream, or after ResumeTimeout without a new event. The request is not run again from the
// start, because another run may produce another response.
func (s *streamWriter) resume(ctx context.Context, call upstream.Call, model string, err error) error {
	limits, now := s.x.api.Limits, s.x.api.Now
	deadline := now().Add(limits.ResumeTimeout)
	call.SoftwareVersion = s.softwareVersion
	countResponseError(err)
	for mayBeHeld := true; mayBeHeld && s.resumable(ctx, err) && now().Before(deadline); {
		mayBeHeld = false
		for _, address := range s.x.resumeAddresses(model, call.Address) {
			eventsBefore := s.eventsSent
			call.Address = address
			err = s.checkEnd(s.x.api.Engines.Resume(ctx, call, s.eventsSent, s.writeEvent))
			countResponseError(err)
			mayBeHeld = mayBeHeld || !errors.Is(err, upstream.ErrNotHeld)
			if s.eventsSent > eventsBefore {
				obs.StreamsResumedTotal.Add(1)
				deadline = now().Add(limits.ResumeTimeout)
				s.x.failedOver = s.x.failedOver || address != s.firstAddress
				s.x.calls[len(s.x.calls)-1] = call
			}
			if err == nil || !s.resumable(ctx, err) {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumeInterval):
		}
	}
	obs.EventStreamResumeFailed.Log(s.x.api.Logger, logrus.Fields{
		"request_id": s.x.id, "events": s.eventsSent, "error": err.Error(),
	})
	return err
}

func (s *streamWriter) resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errCallerWriteFailed)
}

// resumeAddresses returns the addresses of the engines that may hold a stream, starting with the given one. An engine to
// which an earlier attempt was sent is none of them: it may hold another run of the request with the same ID, which may
// produce another response.
func (x *exchange) resumeAddresses(model, first string) []string {
	addresses := []string{first}
	for u := range x.api.Config.Current().Upstreams {
		if u.Kind == catalogue.KindEngine && u.Address != first && slices.Contains(u.Models, model) && !x.hadEarlierAttempt(u.Address) {
			addresses = append(addresses, u.Address)
		}
	}
	return addresses
}

// hadEarlierAttempt reports whether an attempt before the one in progress may have run at the address.
func (x *exchange) hadEarlierAttempt(address string) bool {
	earlier := x.calls[:len(x.calls)-1]
	return slices.ContainsFunc(earlier, func(c upstream.Call) bool { return c.Address == address })
}

// finish settles a complete stream and writes its final events.
func (s *streamWriter) finish() error {
	x := s.x
	balance, err := x.settle(s.attemptNumber, s.usage, outcomeComplete)
	if err != nil {
		return err
	}
	last := fmt.Sprintf("event: usage\ndata: {\"request_id\":%q,\"bill_tokens\":%d,\"budget_remaining\":%d}\n\ndata: %s\n\n",
		x.id, x.request.Info().Bill.Charged, balance.Remaining, chat.DoneMark)
	_ = s.write([]byte(last))
	if len(s.replayBody) <= x.api.Limits.MaxAnswerBytes {
		x.response = &request.StoredResponse{Status: http.StatusOK, ContentType: contentTypeEventStream, Body: s.replayBody}
	}
	return nil
}

// writeStreamError ends a stream that cannot be completed with an error event.
func (x *exchange) writeStreamError(e *APIError) {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return
	}
	x.setWriteDeadline()
	_, _ = fmt.Fprintf(x.w, "event: error\ndata: %s\n\n", data)
}
