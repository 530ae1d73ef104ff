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

// fakeBudget records reservations and checks that each ends exactly once.
type fakeBudget struct {
	t     *testing.T
	mu    sync.Mutex
	open  map[string]int64
	bills []budget.Settlement
	// reserved counts all reservations ever made.
	reserved int
}

func (b *fakeBudget) Reserve(_ context.Context, req budget.ReserveRequest) (budget.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[req.RequestID] = req.Amount
	b.reserved++
	return budget.Reservation{RequestID: req.RequestID, Entry: req.Entry, Amount: req.Amount}, nil
}

func (b *fakeBudget) end(res budget.Reservation) {
	if _, ok := b.open[res.RequestID]; !ok {
		b.t.Errorf("reservation of %s ended twice", res.RequestID)
	}
	delete(b.open, res.RequestID)
}

func (b *fakeBudget) Settle(res budget.Reservation, st budget.Settlement) budget.Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(res)
	b.bills = append(b.bills, st)
	return budget.Balance{Remaining: 1}
}

func (b *fakeBudget) Release(res budget.Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(res)
}

// state returns the open reservations, all reservations and the charges.
func (b *fakeBudget) state() (open, reserved int, charges []int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bill := range b.bills {
		charges = append(charges, bill.Charged)
	}
	return len(b.open), b.reserved, charges
}

// firstFit picks the first upstream that was not tried, in catalogue order.
type firstFit struct {
	upstreams []catalogue.Upstream
	mu        sync.Mutex
	results   []routing.Result
}

type fit struct {
	*firstFit
	u *catalogue.Upstream
}

func (f fit) Upstream() *catalogue.Upstream { return f.u }

func (f fit) Priority() int { return 0 }

func (f fit) Done(r routing.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

func (f *firstFit) Pick(req routing.Request) (Attempt, error) {
	for i := range f.upstreams {
		u := &f.upstreams[i]
		if (u.Kind == catalogue.KindService) == (req.Service != "") && !slices.Contains(req.Exclude, u.Name) {
			return fit{f, u}, nil
		}
	}
	return nil, &routing.NoUpstreamError{RetryAfter: time.Second}
}

// retries allows a fixed number of retries.
type retries struct {
	mu   sync.Mutex
	left int
}

func (r *retries) RecordRequest() {}

func (r *retries) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left--
	return r.left >= 0
}

// fakeClaims keeps the first claim of a key. Each call is a claim of its own.
type fakeClaims struct {
	mu    sync.Mutex
	first map[string]record.Claim
}

func (c *fakeClaims) Claim(_ context.Context, wanted record.Claim) (record.Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	winner, taken := c.first[wanted.Key]
	if taken && !bytes.Equal(winner.BodyHash, wanted.BodyHash) {
		return winner, false, &claim.ConflictError{Winner: winner}
	}
	if taken {
		return winner, false, nil
	}
	c.first[wanted.Key] = wanted
	return wanted, true, nil
}

func (f *firstFit) Admit(context.Context, admission.Request) (Ticket, error) { return f, nil }
func (f *firstFit) Done()                                                    {}

// fixture is the callers' API on a socket.
type fixture struct {
	api    *API
	budget *fakeBudget
	claims *fakeClaims
	retry  *retries
	url    string
	now    time.Time
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
		Upstreams: f.api.Routing.(*firstFit).upstreams,
	}, nil)
}

// fixedSnapshot is a configuration that does not change.
type fixedSnapshot struct{ *catalogue.Snapshot }

func (s fixedSnapshot) Current() *catalogue.Snapshot { return s.Snapshot }

// newFixture serves the API in front of the given engines, and of a plain
// service if the last handler is one.
func newFixture(t *testing.T, upstreams ...http.Handler) *fixture {
	t.Helper()
	f := &fixture{
		budget: &fakeBudget{t: t, open: make(map[string]int64)}, claims: &fakeClaims{first: make(map[string]record.Claim)},
		retry: &retries{}, now: time.Unix(1000, 0),
	}
	picked := &firstFit{}
	for i, h := range upstreams {
		server := httptest.NewServer(h)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		u := catalogue.Upstream{Name: string(rune('a' + i)), Kind: catalogue.KindEngine, Address: server.URL, Models: []string{model}}
		if _, mux := h.(interface{ Calls(a, b, c string) int }); mux {
			u.Kind, u.Service, u.RequestTokens = catalogue.KindService, "orders", 7
			u.IdempotentMethods = []string{http.MethodGet}
		}
		picked.upstreams = append(picked.upstreams, u)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := upstream.New()
	f.api = &API{
		Config: f, Budget: f.budget, Engines: client, Services: client, Admission: picked, Routing: picked,
		Retry: f.retry, Claimer: f.claims, Holder: "vm/1", Logger: logger, Now: time.Now,
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

// reply is an answer that was read to its end.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// problem returns the error in the body, or in the last event of a stream.
func (r reply) problem() APIError {
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

func (f *fixture) call(method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
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

func (f *fixture) chat(stream bool, content string, header ...string) reply {
	_, body := chatRequest(stream, content)
	return f.call(http.MethodPost, "/v1/chat/completions", body, header...)
}
