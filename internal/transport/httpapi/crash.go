package httpapi

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/coordination/reach"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	// streamingEvents is the number of events after which a stream is no longer just begun. Most streams beyond it that a crash
	// ends only ran beside the cause, so they are sent again.
	streamingEvents = 2
	// crashProbeTimeout limits the connection attempt that tells a crash from a lost connection.
	crashProbeTimeout = 300 * time.Millisecond
)

// requestSubjects returns the subjects of a request, the most specific one first: its whole content and the parts of
// its prompt that other requests may share, which the last one is not.
func requestSubjects(p *Prompt, contentHash []byte) []quarantine.Subject {
	subjects := []quarantine.Subject{quarantine.ContentSubject(contentHash)}
	if p == nil {
		return subjects
	}
	for i := len(p.Parts) - 2; i >= 0; i-- {
		subjects = append(subjects, quarantine.PartSubject(p.Parts[i].ID))
	}
	return subjects
}

// messageSubjects returns the subjects of a chat completion, as requestSubjects does. Its parts are its messages.
func messageSubjects(messages []chat.Message, contentHash []byte) []quarantine.Subject {
	subjects := []quarantine.Subject{quarantine.ContentSubject(contentHash)}
	for i := len(messages) - 2; i >= 0; i-- {
		subjects = append(subjects, quarantine.PartSubject(messages[i].Role+"\x00"+messages[i].Content))
	}
	return subjects
}

// Quarantine keeps requests whose content crashes upstreams away from them.
type Quarantine interface {
	// Check fails with a quarantine.BlockedError if the request must not be sent.
	Check(subjects []quarantine.Subject) error
	// Suspected reports whether a request that has failed must not be sent again.
	Suspected(subjects []quarantine.Subject) bool
	// RecordAnswer records that a request was answered completely.
	RecordAnswer(subjects []quarantine.Subject)
	// RecordCrash records that a request, sent at sentAt, was running when its upstream crashed.
	RecordCrash(upstream string, subjects []quarantine.Subject, sentAt time.Time, stage quarantine.Stage)
}

// attemptProgress is what is known of the attempt in progress.
type attemptProgress struct {
	sentAt time.Time
	// events counts the events of its stream, and begun is true once its response has begun.
	events int
	begun  bool
	// crashChecked is true once the upstream was probed after the connection of the attempt was lost.
	crashChecked bool
}

func (p attemptProgress) stage() quarantine.Stage {
	switch {
	case !p.begun:
		return quarantine.StageWaiting
	case p.events < streamingEvents:
		return quarantine.StageBegun
	}
	return quarantine.StageStreaming
}

// checkQuarantine refuses a request whose content crashes upstreams.
func (x *exchange) checkQuarantine() *APIError {
	if x.api.Quarantine == nil {
		return nil
	}
	var blocked *quarantine.BlockedError
	if !errors.As(x.api.Quarantine.Check(x.subjects), &blocked) {
		return nil
	}
	obs.RequestsQuarantinedTotal.Add(1)
	return refusal(http.StatusServiceUnavailable, CodeQuarantined, blocked.Error()).withRetryAfter(blocked.RetryAfter)
}

// noteEvent counts an event of the attempt in progress.
func (x *exchange) noteEvent() {
	x.progress.begun = true
	x.progress.events++
}

// noteAnswer records that the request was answered completely. A request may crash its upstream at any time before.
func (x *exchange) noteAnswer() {
	if x.api.Quarantine != nil {
		x.api.Quarantine.RecordAnswer(x.subjects)
	}
}

// lossCause is why an upstream has lost the connection of an attempt, as far as the router can tell.
type lossCause int

const (
	// causeUnknown means that the upstream does not refuse new connections. Its process probably lives.
	causeUnknown lossCause = iota
	// causeCrash means that the process of the upstream has ended.
	causeCrash
	// causePathLost means that the router has probably lost its path to the upstreams of the service.
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

// lostConnection is the connection of an attempt that has ended before the response was complete.
type lostConnection struct {
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

// examine returns why a connection was lost. The process of the upstream has ended if its host refuses connections of this
// router and of others.
func (f *Forwarding) examine(ctx context.Context, l lostConnection) lossCause {
	switch {
	case !f.Forwarder.RefusesConnections(ctx, l.target):
		return causeUnknown
	case l.leaving:
		return causeStop
	case f.Reach.CheckPath(ctx, l.service, l.target.Address, l.at) == reach.PathLost,
		f.ReachedByOthers != nil && f.ReachedByOthers(ctx, l.upstream):
		return causePathLost
	}
	return causeCrash
}

// noteCrash records a crash of the upstream if that is why the attempt in progress has lost its connection, as examine
// finds out.
func (x *exchange) noteCrash(upstreamName string, examine func(ctx context.Context) lossCause) {
	if x.ctx.Err() != nil || x.progress.crashChecked || x.api.Quarantine == nil {
		return
	}
	x.progress.crashChecked = true
	if cause := x.api.examineLoss(x.ctx, upstreamName, examine); cause != causeUnknown {
		x.crashedUpstream = cause == causeCrash && x.progress.stage() == quarantine.StageBegun
		x.recordLoss(upstreamName, cause, x.progress)
		return
	}
	// The listener of a process that ends may be closed a little later than its connections. The request need not wait.
	progress, ctx := x.progress, context.WithoutCancel(x.ctx)
	go func() {
		for _, delay := range crashReprobeDelays {
			time.Sleep(delay)
			if cause := x.api.examineLoss(ctx, upstreamName, examine); cause != causeUnknown {
				x.recordLoss(upstreamName, cause, progress)
				return
			}
		}
	}()
}

// crashReprobeDelays are the pauses before the further probes of an upstream that still accepted a connection.
var crashReprobeDelays = [...]time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// examineLoss calls examine with a timeout. Requests that lose their connections to an upstream together share one call.
func (a *API) examineLoss(ctx context.Context, upstreamName string, examine func(ctx context.Context) lossCause) lossCause {
	cause, _, _ := a.crashProbes.Do(upstreamName, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		return examine(ctx), nil
	})
	return cause.(lossCause)
}

// recordLoss records a crash, and logs another cause of a lost connection.
func (x *exchange) recordLoss(upstreamName string, cause lossCause, progress attemptProgress) {
	if cause == causeCrash {
		x.recordCrash(upstreamName, progress)
		return
	}
	obs.LossesWithoutCrashTotal.Add(1)
	obs.EventLossWithoutCrash.Log(x.api.Logger, logrus.Fields{
		"request_id": x.id, "upstream": upstreamName, "cause": cause.String(), "begun": progress.begun, "events": progress.events,
		"content": x.subjects[0].String(),
	})
}

// recordCrash logs and records that the request was running when its upstream crashed. It uses only fields that do not
// change while the request is processed.
func (x *exchange) recordCrash(upstreamName string, progress attemptProgress) {
	obs.CrashesObservedTotal.Add(1)
	parts := make([]string, 0, len(x.subjects))
	for _, s := range x.subjects[1:] {
		parts = append(parts, s.String())
	}
	obs.EventCrashObserved.Log(x.api.Logger, logrus.Fields{
		"request_id": x.id, "upstream": upstreamName, "begun": progress.begun, "events": progress.events,
		"content": x.subjects[0].String(), "parts": parts, "ms": x.api.Now().Sub(progress.sentAt).Milliseconds(),
	})
	x.api.Quarantine.RecordCrash(upstreamName, x.subjects, progress.sentAt, progress.stage())
}

// suspected reports whether a failed request must not be sent again, because it has probably crashed an upstream.
func (x *exchange) suspected() bool {
	return x.crashedUpstream || x.api.Quarantine != nil && x.api.Quarantine.Suspected(x.subjects)
}
