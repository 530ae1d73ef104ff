package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

const (
	// streamingEvents is the number of events after which a stream is no longer just begun. Most streams beyond it that a crash
	// ends only ran beside the cause, so they are sent again.
	streamingEvents = 2
	// crashProbeTimeout limits the connection attempt that tells a crash from a lost connection.
	crashProbeTimeout = 300 * time.Millisecond
	// crashSettleTime is the time after which it shows whether other upstreams have ended too, and crashConfirmTimeout limits
	// what follows a crash until it is recorded.
	crashSettleTime     = 200 * time.Millisecond
	crashConfirmTimeout = crashSettleTime + 2*crashProbeTimeout
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
	// Suspected reports whether a request that has failed, and whose last crashes are not recorded yet, must not be sent again.
	Suspected(subjects []quarantine.Subject, unrecorded int) bool
	// RecordAnswer records that a request was answered completely.
	RecordAnswer(subjects []quarantine.Subject)
	// NoteLoss records that a request has lost its connection to an upstream.
	NoteLoss(c quarantine.Crash)
	// RecordCrash records that a request was running when its upstream crashed.
	RecordCrash(c quarantine.Crash)
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

// noteCrash records a crash of the upstream if that is why the attempt in progress has lost its connection. The request waits
// only for what shows at once.
func (x *exchange) noteCrash(upstreamName string, l loss) {
	if x.ctx.Err() != nil || x.progress.crashChecked || x.api.Quarantine == nil {
		return
	}
	x.progress.crashChecked = true
	lostAt, progress := x.api.Now(), x.progress
	crash := quarantine.Crash{Upstream: upstreamName, Subjects: x.subjects, SentAt: progress.sentAt, At: lostAt, Stage: progress.stage()}
	x.api.Quarantine.NoteLoss(crash)
	cause := x.api.examineLoss(x.ctx, upstreamName, l)
	if cause == causeCrash {
		x.crashedUpstream = x.progress.stage() == quarantine.StageBegun
		x.unrecordedCrashes.Add(1)
	}
	ctx := context.WithoutCancel(x.ctx)
	go func() {
		crashed := cause == causeCrash
		// The listener of a process that ends may be closed a little later than its connections.
		for i := 0; cause == causeUnknown && i < len(crashReprobeDelays); i++ {
			time.Sleep(crashReprobeDelays[i])
			cause = x.api.examineLoss(ctx, upstreamName, l)
		}
		if cause == causeCrash {
			cause = x.api.confirmCrash(ctx, upstreamName, l)
		}
		x.recordLoss(crash, cause, progress)
		if crashed {
			x.unrecordedCrashes.Add(-1)
		}
	}()
}

// crashReprobeDelays are the pauses before the further probes of an upstream that still accepted a connection.
var crashReprobeDelays = [...]time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// examineLoss calls loss.examine with a timeout. Requests that lose their connections to an upstream together share one call.
func (a *API) examineLoss(ctx context.Context, upstreamName string, l loss) lossCause {
	cause, _, _ := a.crashProbes.Do("examine "+upstreamName, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		return l.examine(ctx), nil
	})
	return cause.(lossCause)
}

// confirmCrash is examineLoss for loss.confirm.
func (a *API) confirmCrash(ctx context.Context, upstreamName string, l loss) lossCause {
	cause, _, _ := a.crashProbes.Do("confirm "+upstreamName, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, crashConfirmTimeout)
		defer cancel()
		return l.confirm(ctx), nil
	})
	return cause.(lossCause)
}

// recordLoss logs why a connection was lost, and records a crash. It uses only fields that do not change while the request is
// processed.
func (x *exchange) recordLoss(crash quarantine.Crash, cause lossCause, progress attemptProgress) {
	fields := logrus.Fields{
		"request_id": x.id, "upstream": crash.Upstream, "begun": progress.begun, "events": progress.events,
		"content": crash.Subjects[0].String(),
	}
	switch cause {
	case causeUnknown:
	case causeCrash:
		parts := make([]string, 0, len(crash.Subjects))
		for _, s := range crash.Subjects[1:] {
			parts = append(parts, s.String())
		}
		fields["parts"], fields["ms"] = parts, crash.At.Sub(crash.SentAt).Milliseconds()
		obs.CrashesObservedTotal.Add(1)
		obs.EventCrashObserved.Log(x.api.Logger, fields)
		x.api.Quarantine.RecordCrash(crash)
	default:
		fields["cause"] = cause.String()
		obs.LossesWithoutCrashTotal.Add(1)
		obs.EventLossWithoutCrash.Log(x.api.Logger, fields)
	}
}

// suspected reports whether a failed request must not be sent again, because it has probably crashed an upstream.
func (x *exchange) suspected() bool {
	return x.crashedUpstream || x.api.Quarantine != nil && x.api.Quarantine.Suspected(x.subjects, int(x.unrecordedCrashes.Load()))
}
