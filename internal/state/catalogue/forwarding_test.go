package catalogue

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is routed to the service of another route.
func TestRouteWithTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, Catalogue{}, nil).WithForwarding(Forwarding{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "xy"}, {"a.example", "/x/yz", "x"}, {"A.example:80", "/x/", "x"},
		{"a.example", "/x", "all"}, {"b.example", "/x/y/", "other"}, {"b.example", "/y/", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if r := s.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		is.Equal(got, c.want)
	}
	is.Equal(NewSnapshot(1, Catalogue{}, nil).Route("a.example", "/"), nil)
}

// Guards against a service that gets more or fewer requests than its weight allows.
func TestWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
	none := Route{}
	is.Equal(none.Pick(0.5), "")
}
