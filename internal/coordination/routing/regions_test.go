package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// TestRequestsStayInAllowedRegions guards against requests that reach a region which their route or their team does not allow,
// and against an upstream of an unknown region that counts as one of an allowed region.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	r := New(Config{Region: "north"})
	var list []catalogue.Upstream
	for _, region := range []string{"north", "south", "west", ""} {
		list = append(list, catalogue.Upstream{Name: "in-" + region, Kind: catalogue.KindService, Service: "s", Region: region})
	}
	r.Update(catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil))
	for _, c := range []struct {
		route, team []string
		want        map[string]bool
	}{
		{nil, nil, map[string]bool{"north": true, "south": true, "west": true, "": true}},
		{[]string{"south", "west"}, nil, map[string]bool{"south": true, "west": true}},
		{nil, []string{"south"}, map[string]bool{"south": true}},
		{[]string{"north", "south"}, []string{"south", "west"}, map[string]bool{"south": true}},
		{[]string{"north"}, []string{"south"}, map[string]bool{}},
	} {
		is := is.New(t)
		req := Request{Service: "s", Regions: catalogue.RestrictRegions(
			&catalogue.Route{AllowedRegions: c.route}, &catalogue.Entry{AllowedRegions: c.team})}
		got := make(map[string]bool)
		for {
			a, err := r.Pick(req)
			if err != nil {
				break
			}
			got[a.Upstream().Region] = true
			req.Exclude = append(req.Exclude, a.Upstream().Name)
			a.Done(ResultRefused)
		}
		is.Equal(got, c.want)
		is.Equal(r.CheckBarred(req) != nil, len(c.want) == 0)
	}
}
