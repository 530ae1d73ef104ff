package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// tenantCodec is a HeaderCodec whose callers name a tenant.
type tenantCodec struct{ promptCodec }

func (tenantCodec) ParseCaller(h http.Header) (CallerInfo, error) {
	return CallerInfo{ID: h.Get("Id"), Secret: h.Get("Secret")}, nil
}

// Guards against load shedding by the route's priority alone: the team's takes precedence.
func TestLoadSheddingUsesTheTeamsPriority(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &standin.Service{})
	urgent, shedPriorities := 0, []int(nil)
	f.api.Config = fixedConfiguration{catalogue.NewSnapshot(1, catalogue.Catalogue{Entries: []catalogue.Entry{
		{Name: "urgent", Team: "urgent", Priority: &urgent, Credentials: []string{catalogue.HashCredential("urgent")}},
		{Name: "other", Team: "other", Credentials: []string{catalogue.HashCredential("other")}},
	}}, nil).WithForwarding(catalogue.Forwarding{RequireCredential: true, Routes: []catalogue.Route{
		{Name: "r", Host: "a", PathPrefix: "/", Targets: []catalogue.Target{{Service: "orders", Weight: 1}}, Priority: 12},
	}})}
	no := func() bool { return false }
	f.api.Forwarding = Forwarding{
		Headers: tenantCodec{}, Routers: func() int { return 1 }, ConfigStale: no, Closing: no, Busy: no,
		ShouldShed: func(priority int) bool {
			shedPriorities = append(shedPriorities, priority)
			return true
		},
	}
	server := httptest.NewServer(f.api.ForwardHandler())
	defer server.Close()
	for i, secret := range []string{"urgent", "other"} {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
		is.NoErr(err)
		req.Host = "a"
		req.Header.Set("Id", string(rune('a'+i)))
		req.Header.Set("Secret", secret)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(shedPriorities, []int{0, lowestPriority})
}
