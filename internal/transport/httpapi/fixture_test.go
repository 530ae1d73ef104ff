package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/coordination/claim"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/state/request"
	"github.com/dotterelthread/dotterelthread/internal/transport/upstream"
)

const (
	secret      = "s1"
	otherSecret = "s2"
	model       = "m1"
)

// fakeBudget records reservations and reports an error if one is ended more than once.
type fakeBudget struct {
	t     *testing.T
	mu    sync.Mutex
	open  map[string]int64
	bills []budget.Settlement
	// reserved counts all reservations, including those that have ended.
	reserved int
}

func (b *fakeBudget) Reserve(_ context.Context, req budget.ReserveRequest) (budget.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[req.RequestID] = req.Amount
	b.reserved++
	return budget.Reservation{RequestID: req.RequestID, Entry: req.Entry, Amount: req.Amount}, nil
}

func (b *fakeBudget) endReservation(res budget.Reservation) {
	if _, ok := b.open[res.RequestID]; !ok {
		b.t.Errorf("reservation of %s ended twice", res.RequestID)
	}
	delete(b.open, res.RequestID)
}

func (b *fakeBudget) Settle(res budget.Reservation, st budget.Settlement) budget.Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endReservation(res)
	b.bills = append(b.bills, st)
	return budget.Balance{Remaining: 1}
}

func (b *fakeBudget) Release(res budget.Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endReservation(res)
}

// state returns the number of open reservations, the number of all reservations, and the charges of the bills.
func (b *fakeBudget) state() (open, reserved int, charges []int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range b.bills {
		charges = append(charges, bill.Charged)
	}
	return len(b.open), b.reserved, charges
}

// firstFitRouter picks the first upstream in catalogue order that was not tried yet. It records the results of
// attempts, and it admits every request.
type firstFitRouter struct {
	upstreams []catalogue.Upstream
	mu        sync.Mutex
	results   []routing.Result
}

type firstFitAttempt struct {
	*firstFitRouter
	u *catalogue.Upstream
}

func (f firstFitAttempt) Upstream() *catalogue.Upstream { return f.u }

func (f firstFitAttempt) Priority() int { return 0 }

func (f firstFitAttempt) Done(r routing.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

func (f *firstFitRouter) Pick(req routing.Request) (Attempt, error) {
	for i := range f.upstreams {
		u := &f.upstreams[i]
		if (u.Kind == catalogue.KindService) == (req.Service != "") && !slices.Contains(req.Exclude, u.Name) {
			return firstFitAttempt{f, u}, nil
		}
	}
	return nil, &routing.NoUpstreamError{RetryAfter: time.Second}
}

// fixedRetryBudget allows a given number of retries.
type fixedRetryBudget struct {
	mu        sync.Mutex
	remaining int
}

func (r *fixedRetryBudget) RecordRequest() {}

func (r *fixedRetryBudget) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining--
	return r.remaining >= 0
}

// fakeClaimer lets the first call for a key win. Each call counts as a separate claim.
type fakeClaimer struct {
	mu    sync.Mutex
	first map[string]record.Claim
}

func (c *fakeClaimer) Claim(_ context.Context, requested record.Claim) (record.Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	winner, claimed := c.first[requested.Key]
	if claimed && !bytes.Equal(winner.BodyHash, requested.BodyHash) {
		return winner, false, &claim.ConflictError{Winner: winner}
	}
	if claimed {
		return winner, false, nil
	}
	c.first[requested.Key] = requested
	return requested, true, nil
}

func (f *firstFitRouter) Admit(context.Context, admission.Request) (Ticket, error) { return f, nil }
func (f *firstFitRouter) Done()                                                    {}

// fixture is an API with fake dependencies that is served on a socket.
type fixture struct {
	api         *API
	budget      *fakeBudget
	claimer     *fakeClaimer
	retryBudget *fixedRetryBudget
	url         string
	now         time.Time
	// upstreams are the servers of the upstreams.
	upstreams []*httptest.Server
}

// Current implements Configuration.
func (f *fixture) Current() *catalogue.Snapshot {
	return catalogue.NewSnapshot(1, catalogue.Catalogue{
		Entries: []catalogue.Entry{
			{Name: "e1", Team: "t1", Models: []string{model}, Services: []string{"orders"},
				Credentials: []string{catalogue.HashCredential(secret)}},
			{Name: "e2", Team: "t1", Models: []string{model},
				Credentials: []string{catalogue.HashCredential(otherSecret)}},
		},
		Upstreams: f.api.Routing.(*firstFitRouter).upstreams,
	}, nil)
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ *catalogue.Snapshot }

func (s fixedConfiguration) Current() *catalogue.Snapshot { return s.Snapshot }

// newFixture serves an API whose upstreams are the given handlers. A handler with a method Calls, such as
// standin.Service, is a plain service, any other one is an engine.
func newFixture(t *testing.T, upstreams ...http.Handler) *fixture {
	t.Helper()
	f := &fixture{
		budget: &fakeBudget{t: t, open: make(map[string]int64)}, claimer: &fakeClaimer{first: make(map[string]record.Claim)},
		retryBudget: &fixedRetryBudget{}, now: time.Unix(1000, 0),
	}
	router := &firstFitRouter{}
	for i, h := range upstreams {
		server := httptest.NewServer(h)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		f.upstreams = append(f.upstreams, server)
		u := catalogue.Upstream{Name: string(rune('a' + i)), Kind: catalogue.KindEngine, Address: server.URL, Models: []string{model}}
		if _, isService := h.(interface{ Calls(a, b, c string) int }); isService {
			u.Kind, u.Service, u.RequestTokens = catalogue.KindService, "orders", 7
			u.IdempotentMethods = []string{http.MethodGet}
		}
		router.upstreams = append(router.upstreams, u)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := upstream.New(nil)
	f.api = &API{
		Config: f, Budget: f.budget, Engines: client, Services: client, Admission: router, Routing: router,
		Retry: f.retryBudget, Claimer: f.claimer, Holder: "vm/1", Logger: logger, Now: time.Now,
		Requests: request.NewTable(request.Config{Retention: time.Hour, MaxFinished: 100, MaxAnswerBytes: 1 << 20, Now: time.Now}),
		UnknownOutcomes: &OutcomeResolver{
			Budget: f.budget, Engines: client, Holder: "vm/1", Delay: time.Minute, Logger: logger, Now: func() time.Time { return f.now },
		},
		Limits: Limits{
			MaxBodyBytes: 4096, BodyTimeout: 300 * time.Millisecond, WriteTimeout: 5 * time.Second,
			RequestTimeout: 20 * time.Second, ResumeTimeout: 5 * time.Second, RepeatWait: 5 * time.Second,
			MaxOpenRequests: 100, MaxAnswerBytes: 1 << 20,
		},
	}
	server := httptest.NewServer(f.api.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// callerResponse is a response as the caller received it, with its complete body.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// apiError returns the error in the body or in the error event of a stream.
func (r callerResponse) apiError() APIError {
	var e errorBody
	body := r.body
	if _, event, ok := strings.Cut(body, "event: error\ndata: "); ok {
		body = event
	}
	if json.Unmarshal([]byte(body), &e) != nil || e.Error == nil {
		return APIError{}
	}
	return *e.Error
}

func (f *fixture) call(method, path, body string, header ...string) callerResponse {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func chatRequest(stream bool, content string) (chat.Request, string) {
	req := chat.Request{
		Model: model, MaxTokens: 12, Stream: stream, Messages: []chat.Message{{Role: "user", Content: content}},
	}
	body, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return req, string(body)
}

func (f *fixture) chat(stream bool, content string, header ...string) callerResponse {
	_, body := chatRequest(stream, content)
	return f.call(http.MethodPost, "/v1/chat/completions", body, header...)
}
