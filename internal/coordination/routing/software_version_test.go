package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// TestPicksTheSoftwareVersionOfTheRequest guards against a stream that goes on at another software version than the one
// that began it: an upstream of that version is picked, or none.
func TestPicksTheSoftwareVersionOfTheRequest(t *testing.T) {
	is := is.New(t)
	r := New(Config{})
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: []catalogue.Upstream{
		{Name: "a", Kind: catalogue.KindEngine, Models: []string{"m"}, SoftwareVersion: "v1"},
		{Name: "b", Kind: catalogue.KindEngine, Models: []string{"m"}, SoftwareVersion: "v2"},
		{Name: "c", Kind: catalogue.KindEngine, Models: []string{"m"}},
		{Name: "d", Kind: catalogue.KindService, Service: "s", SoftwareVersion: "v1"},
		{Name: "e", Kind: catalogue.KindService, Service: "s", SoftwareVersion: "v2"},
	}}, nil))
	for _, tt := range []struct {
		req  Request
		want string
	}{
		{Request{Model: "m"}, "v1"}, {Request{Model: "m"}, "v2"}, {Request{Model: "m"}, ""},
		{Request{Service: "s"}, "v1"}, {Request{Service: "s"}, "v2"},
	} {
		tt.req.SoftwareVersion = &tt.want
		for range 20 {
			a, err := r.Pick(tt.req)
			is.NoErr(err)
			is.Equal(a.Upstream().SoftwareVersion, tt.want)
			a.Done(ResultOK)
		}
	}
	for _, req := range []Request{{Model: "m"}, {Service: "s"}} {
		other := "v3"
		req.SoftwareVersion = &other
		_, err := r.Pick(req)
		is.True(err != nil)
	}
}
