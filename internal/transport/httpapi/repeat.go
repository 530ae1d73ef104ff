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

// keyNamespace is the namespace of request ids that are made from a key.
var keyNamespace = uuid.MustParse("6c1f0b52-3b0e-5d5a-9d86-0f2f6a1c7e11")

// register enters the request in the table. A repeat of a known key gets the
// outcome of the request that it names.
func (x *exchange) register() *APIError {
	key := x.httpReq.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return refuse(http.StatusBadRequest, CodeBadRequest, HeaderIdempotencyKey+" is over 255 bytes")
	}
	if key != "" && x.idempotent {
		x.id = x.keyedID(key)
	}
	for {
		r, repeated, err := x.api.Requests.Begin(request.Params{
			ID: x.id, Entry: x.entry.Key, Team: x.entry.Team, Key: key, BodyHash: x.hash[:],
		})
		if err != nil {
			return refuse(http.StatusUnprocessableEntity, CodeKeyConflict, err.Error())
		}
		if !repeated {
			x.id, x.record = r.ID(), r
			return nil
		}
		if info := x.waitFor(r); info.State != request.Refused {
			x.id = r.ID()
			return x.repeat(r, info)
		}
		// The request that it repeats did not run, so its key is free.
	}
}

// keyedID returns the id of an idempotent request with a key. Every router makes
// the same id, so an engine attaches a retry through another router to the run
// that it has, and readers of the bills count one of them.
func (x *exchange) keyedID(key string) string {
	name := fmt.Sprintf("%s\x00%s\x00%x", x.entry.Key, key, x.hash)
	return uuid.NewSHA1(keyNamespace, []byte(name)).String()
}

// waitFor waits for another request for a bounded time.
func (x *exchange) waitFor(r *request.Request) request.Info {
	timer := time.NewTimer(x.api.Limits.RepeatWait)
	defer timer.Stop()
	select {
	case <-r.Done():
	case <-timer.C:
	case <-x.ctx.Done():
	}
	return r.Info()
}

// repeat answers a repeat with the outcome of the request that its key names.
func (x *exchange) repeat(r *request.Request, info request.Info) *APIError {
	obs.IdempotentRepeatsTotal.Add(1)
	switch {
	case !info.State.Terminal():
		return ran(http.StatusConflict, CodeInProgress, "the request with this key still runs").after(defaultRetryAfter)
	case info.State == request.Unknown:
		return ran(http.StatusBadGateway, CodeOutcomeUnknown, "the outcome of the request with this key is not known")
	}
	answer := r.StoredResponse()
	if answer == nil {
		return ran(http.StatusConflict, CodeAnswerNotKept, "the request with this key ended as "+info.Outcome+
			"; its answer is not kept; its bill is at GET /v1/requests/"+info.ID)
	}
	x.replay(answer, info)
	return errReplied
}

func (x *exchange) replay(answer *request.StoredResponse, info request.Info) {
	header := x.w.Header()
	header.Set(chat.HeaderRequestID, info.ID)
	header.Set(HeaderReplayed, "true")
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set(HeaderBillTokens, fmt.Sprint(info.Bill.Charged))
	x.setWriteDeadline()
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
}

// claim takes the right to run a request that may not run twice. It comes last
// before the dispatch, so that a refusal leaves no claim behind.
func (x *exchange) claim() *APIError {
	if x.idempotent || x.record.Claimed() {
		return nil
	}
	winner, won, err := x.api.Claimer.Claim(x.ctx, record.Claim{
		Entry: x.entry.Key, Key: x.httpReq.Header.Get(HeaderIdempotencyKey), BodyHash: x.hash[:],
		RequestID: x.id, Holder: x.api.Holder, UnixMilli: x.api.Now().UnixMilli(),
	})
	switch {
	case err != nil:
		return x.stopped(claimError(err))
	case won:
		x.record.SetClaimed()
		return nil
	default:
		return x.claimedElsewhere(winner)
	}
}

// claimedElsewhere ends a repeat of a request that another process runs or ran.
// The repeat itself did not run, but the caller must not read that as "the order
// was not placed".
func (x *exchange) claimedElsewhere(winner record.Claim) *APIError {
	if err := x.record.Refuse(string(CodeClaimed)); err != nil {
		return x.lost(err)
	}
	x.release()
	x.id = winner.RequestID
	return ran(http.StatusConflict, CodeClaimed,
		"another router has the request with this key; ask GET /v1/requests/"+winner.RequestID)
}

// findRequest answers with the state of a request of the caller's entry. A
// request of another entry is not found.
func (a *API) findRequest(w http.ResponseWriter, httpReq *http.Request, p httprouter.Params) {
	x := &exchange{api: a, w: w, httpReq: httpReq}
	if e := x.authorize(); e != nil {
		e.write(w)
		return
	}
	id := p.ByName("id")
	info, found := a.FindRequest(id, x.entry.Key)
	if !found && a.PeerRequests != nil {
		info, found = a.PeerRequests.FindRequest(httpReq.Context(), id, x.entry.Key)
	}
	if !found {
		ran(http.StatusNotFound, CodeNotFound, "no router knows this request; it may have run").write(w)
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	_ = json.NewEncoder(w).Encode(info)
}

// FindRequest returns a request of this router if it belongs to the entry.
func (a *API) FindRequest(id string, entry record.EntryKey) (request.Info, bool) {
	r, ok := a.Requests.Find(id)
	if !ok {
		return request.Info{}, false
	}
	info := r.Info()
	return info, info.Entry == entry
}
