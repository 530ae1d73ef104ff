package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// keyNamespace is the UUID namespace of request IDs that are derived from an idempotency key. It is the same
// in all routers.
var keyNamespace = uuid.MustParse("6c1f0b52-3b0e-5d5a-9d86-0f2f6a1c7e11")

// register adds the request to the table of requests. A request with a known idempotency key gets the outcome
// of the earlier request.
func (x *exchange) register() *APIError {
	key := x.httpReq.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return refusal(http.StatusBadRequest, CodeBadRequest, HeaderIdempotencyKey+" is over 255 bytes")
	}
	if key != "" && x.idempotent {
		x.id = x.requestIDForKey(key)
	}
	for {
		r, repeated, err := x.api.Requests.Begin(request.Params{
			ID: x.id, Entry: x.entry.Key, Team: x.entry.Team, Key: key, RequestHash: x.requestHash[:],
		})
		if err != nil {
			return refusal(http.StatusUnprocessableEntity, CodeKeyConflict, err.Error())
		}
		if !repeated {
			x.id, x.request = r.ID(), r
			return nil
		}
		if info := x.waitForEnd(r); info.State != request.Refused {
			x.id = r.ID()
			return x.replyToRepeat(r, info)
		}
		// The earlier request did not run, so the key is free again.
	}
}

// requestIDForKey derives the ID of an idempotent request from its entry, idempotency key and content. Every
// router derives the same ID, so that an engine attaches a retry through another router to the run in
// progress, and readers of the bills count only one bill for both.
func (x *exchange) requestIDForKey(key string) string {
	name := fmt.Sprintf("%s\x00%s\x00%x", x.entry.Key, key, x.requestHash)
	return uuid.NewSHA1(keyNamespace, []byte(name)).String()
}

// waitForEnd waits, at most for RepeatWait, until another request has ended.
func (x *exchange) waitForEnd(r *request.Request) request.Info {
	timer := time.NewTimer(x.api.Limits.RepeatWait)
	defer timer.Stop()
	select {
	case <-r.Done():
	case <-timer.C:
	case <-x.ctx.Done():
	}
	return r.Info()
}

// replyToRepeat replies to a repeated request with the outcome of the earlier request r with the same key.
func (x *exchange) replyToRepeat(r *request.Request, info request.Info) *APIError {
	obs.IdempotentRepeatsTotal.Add(1)
	switch {
	case !info.State.Terminal():
		return failure(http.StatusConflict, CodeInProgress,
			"the request with this key still runs").withRetryAfter(defaultRetryAfter)
	case info.State == request.Unknown:
		return failure(http.StatusBadGateway, CodeOutcomeUnknown,
			"the outcome of the request with this key is not known")
	}
	response := r.StoredResponse()
	if response == nil {
		return failure(http.StatusConflict, CodeAnswerNotKept, "the request with this key ended as "+info.Outcome+
			"; its answer is not kept; its bill is at GET /v1/requests/"+info.ID)
	}
	x.replayStored(response, info)
	return errReplied
}

func (x *exchange) replayStored(response *request.StoredResponse, info request.Info) {
	header := x.w.Header()
	header.Set(chat.HeaderRequestID, info.ID)
	header.Set(HeaderReplayed, "true")
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	header.Set(HeaderBillTokens, fmt.Sprint(info.Bill.Charged))
	x.setWriteDeadline()
	x.w.WriteHeader(response.Status)
	_, _ = x.w.Write(response.Body)
}

// claim acquires the right to run a non-idempotent request. It is the last step before the request is sent, so
// that a request that is refused earlier leaves no claim behind.
func (x *exchange) claim() *APIError {
	if x.idempotent || x.request.Claimed() {
		return nil
	}
	winner, won, err := x.api.Claimer.Claim(x.ctx, record.Claim{
		Entry: x.entry.Key, Key: x.httpReq.Header.Get(HeaderIdempotencyKey), BodyHash: x.requestHash[:],
		RequestID: x.id, Holder: x.api.Holder, UnixMilli: x.api.Now().UnixMilli(),
	})
	switch {
	case err != nil:
		return x.contextErrorOr(claimError(err))
	case won:
		x.request.SetClaimed()
		return nil
	default:
		return x.claimedElsewhere(winner)
	}
}

// claimedElsewhere ends a request whose key was claimed by another process, which runs or ran it. This request
// did not run, but the error does not say so, because the caller would conclude that the operation was not
// carried out.
func (x *exchange) claimedElsewhere(winner record.Claim) *APIError {
	if err := x.request.Refuse(string(CodeClaimed)); err != nil {
		return x.markUnknown(err)
	}
	x.releaseReservation()
	x.id = winner.RequestID
	return failure(http.StatusConflict, CodeClaimed,
		"another router has the request with this key; ask GET /v1/requests/"+winner.RequestID)
}

// serveRequestInfo serves the state of a request of the caller's entry. It reports requests of other entries
// as not found.
func (a *API) serveRequestInfo(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	x := &exchange{api: a, w: w, httpReq: httpReq}
	if e := x.authenticate(); e != nil {
		e.write(w)
		return
	}
	id := p.ByName("id")
	info, found := a.FindRequest(id, x.entry.Key)
	if !found && a.PeerRequests != nil {
		info, found = a.PeerRequests.FindRequest(httpReq.Context(), id, x.entry.Key)
	}
	if !found {
		failure(http.StatusNotFound, CodeNotFound, "no router knows this request; it may have run").write(w)
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(info)
}

// FindRequest returns the state of a request of the entry, and whether this router knows the request. A request
// of another entry counts as not known.
func (a *API) FindRequest(id string, entry record.EntryKey) (request.Info, bool) {
	r, ok := a.Requests.Find(id)
	if !ok {
		return request.Info{}, false
	}
	info := r.Info()
	return info, info.Entry == entry
}
