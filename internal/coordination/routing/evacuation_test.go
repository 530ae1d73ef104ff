package routing

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// zoneSnapshot returns a snapshot with two engines in each of the zones z1 to z3, of which some are evacuated.
func zoneSnapshot(evacuated ...string) *catalogue.Snapshot {
	var list []catalogue.Upstream
	for _, zone := range []string{"z1", "z2", "z3"} {
		for _, name := range []string{"a", "b"} {
			list = append(list, catalogue.Upstream{
				Name: zone + name, Kind: catalogue.KindEngine, Models: []string{"m"}, Zone: zone, Concurrency: 10,
			})
		}
	}
	zones := make(map[string]struct{})
	for _, zone := range evacuated {
		zones[zone] = struct{}{}
	}
	return catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil).WithEvacuated(zones)
}

// TestEvacuatedZoneGetsNothing guards against requests, retries and preferred prompts that reach an evacuated zone, against
// a capacity that counts it, against refusals while other zones serve, and against a zone that stays unused after the
// evacuation was taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	r := New(Config{Now: func() time.Time { return now }, Zone: "z1"})
	zones := func(requests int) map[string]int {
		seen := make(map[string]int)
		for i := range requests {
			hashes, shared := PartHashes([]PromptPart{{ID: string(rune('a' + i%26)), Tokens: 2000}, {ID: "own", Tokens: 10}})
			req := Request{Model: "m", PrefixHashes: hashes, SharedBlocks: shared}
			for range 3 { // an attempt and two retries
				a, err := r.Pick(req)
				is.NoErr(err)
				seen[a.Upstream().Zone]++
				req.Exclude = append(req.Exclude, a.Upstream().Name)
				defer a.Done(ResultOK)
			}
		}
		return seen
	}
	r.Update(zoneSnapshot())
	is.Equal(r.Capacity("m", ""), 60)
	is.True(zones(20)["z1"] > 0)

	r.Update(zoneSnapshot("z1"))
	is.Equal(r.Capacity("m", ""), 40)
	is.Equal(zones(40)["z1"], 0)
	is.NoErr(r.CheckBarred(Request{Model: "m"}))

	r.Update(zoneSnapshot("z1", "z2", "z3"))
	is.Equal(r.Capacity("m", ""), 0)
	_, err := r.Pick(Request{Model: "m"})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.True(none.RetryAfter > 0)
	is.True(errors.As(r.CheckBarred(Request{Model: "m"}), &none))

	r.Update(zoneSnapshot())
	is.Equal(r.Capacity("m", ""), 60)
	is.True(zones(40)["z1"] > 0)
}
