package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/relay"
)

// panickingForwarder panics after a request has been sent.
type panickingForwarder struct{}

func (panickingForwarder) Send(context.Context, relay.Target, relay.Request) (*relay.Response, error) {
	panic("send")
}

func (panickingForwarder) RefusesConnections(context.Context, relay.Target) bool { return false }

func (panickingForwarder) Lives(context.Context, relay.Target) bool { return true }

// promptCodec is a HeaderCodec whose requests have a prompt.
type promptCodec struct{}

func (promptCodec) ParseCaller(h http.Header) (CallerInfo, error) {
	return CallerInfo{ID: h.Get("Id"), Prompt: &Prompt{PromptTokens: 3, MaxOutputTokens: 4}}, nil
}
func (promptCodec) SetOutgoing(http.Header, OutgoingInfo)                {}
func (promptCodec) SetRemaining(http.Header, time.Duration)              {}
func (promptCodec) ParseResponse(int, http.Header) (info ResponseInfo)   { return info }
func (promptCodec) SetRefusal(h http.Header, id string, _ time.Duration) { h.Set("Id", id) }

// Guards against a forwarded request that ends without an answer, and that counts as open for good, because of a panic before
// a part of its response was written.
func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &standin.Service{})
	f.api.Admission = f.api.Routing.(*firstFitRouter)
	f.api.UnknownOutcomes = nil // as in a gateway
	f.api.Config = fixedConfiguration{f.Current().WithForwarding(catalogue.Forwarding{
		Routes: []catalogue.Route{{Name: "r", Host: "a", PathPrefix: "/", Targets: []catalogue.Target{{Service: "orders", Weight: 1}}, MaxAttempts: 1}},
	})}
	no := func() bool { return false }
	f.api.Forwarding = Forwarding{
		Forwarder: panickingForwarder{}, Headers: promptCodec{}, Retry: func(string) RetryBudget { return f.retryBudget },
		Routers: func() int { return 1 }, ConfigStale: no, Closing: no, Busy: no, ShouldShed: func(int) bool { return false },
	}
	server := httptest.NewServer(f.api.ForwardHandler())
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "a"
	req.Header.Set("Id", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Errorf("no answer: %v", err)
	} else {
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.True(strings.Contains(string(body), string(CodeOutcomeUnknown)))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	f.api.WaitIdle(ctx)
	is.Equal(f.api.InProgress(), int64(0))
	open, _, charges := f.budget.state()
	is.Equal(open, 0)
	is.Equal(charges, []int64{3})
}
