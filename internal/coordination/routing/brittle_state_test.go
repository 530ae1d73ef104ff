package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// brittleRouters returns routers with a common clock that share upstreams with the given slots, named u0, u1 and so on, and
// the changes that the first router reports.
func brittleRouters(now *time.Time, routers int, slots ...int) (out []*Router, changes *[]Change) {
	var list []catalogue.Upstream
	for i, n := range slots {
		list = append(list, catalogue.Upstream{Name: fmt.Sprintf("u%d", i), Kind: catalogue.KindService, Service: "s", Concurrency: n})
	}
	snapshot := catalogue.NewSnapshot(1, catalogue.Catalogue{Upstreams: list}, nil)
	changes = new([]Change)
	for i := range routers {
		cfg := Config{
			Now: func() time.Time { return *now }, Routers: func() int { return routers },
			Position: func() Position { return Position{Index: i, Routers: routers, Known: true} }, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		}
		if i == 0 {
			cfg.Notify = func(c Change) { *changes = append(*changes, c) }
		}
		r := New(cfg)
		r.Update(snapshot)
		out = append(out, r)
	}
	return out, changes
}

// pickAll picks until the router refuses.
func pickAll(r *Router) (attempts []*Attempt, refused error) {
	for {
		a, err := r.Pick(Request{Service: "s"})
		if err != nil {
			return attempts, err
		}
		attempts = append(attempts, a)
	}
}

func limitOf(n float64) *float64 { return &n }

// Guards against routers that together have more requests in flight at brittle upstreams than these have slots, and against
// slots that no router uses.
func TestRoutersShareTheSlotsOfBrittleUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		n := rapid.IntRange(1, 12).Draw(t, "routers")
		slots := rapid.SliceOfN(rapid.IntRange(3, 40), 4, 6).Draw(t, "slots")
		routers, _ := brittleRouters(&now, n, slots...)
		inFlight, want := map[string]int{}, map[string]int{}
		for i, count := range slots {
			want[fmt.Sprintf("u%d", i)] = count - count/brittleReserve
			if count >= manySlots { // it has not been seen to run so many
				want[fmt.Sprintf("u%d", i)] = count / 2
			}
		}
		for _, r := range routers {
			a, err := r.Pick(Request{Service: "s"})
			if err != nil {
				t.Fatal(err)
			}
			a.RejectionLimit(limitOf(5), true)
			a.Done(ResultOK)
			attempts, _ := pickAll(r)
			for _, a := range attempts {
				inFlight[a.Upstream().Name]++
			}
		}
		for name, n := range want {
			if inFlight[name] != n {
				t.Fatalf("%d requests in flight at %s; want %d", inFlight[name], name, n)
			}
		}
	})
}

// Guards against routers that learn only from their own responses, or only for each upstream, that those of a service
// are brittle, and against a state that outlives the statement.
func TestBrittlenessIsSharedAndEnds(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	routers, changes := brittleRouters(&now, 2, 8, 8)
	exchange := func() {
		now = now.Add(100 * time.Millisecond)
		for i, r := range routers {
			routers[1-i].MergeBrittle(r.TakeBrittleReports())
		}
	}
	early, err := routers[1].Pick(Request{Service: "s"})
	is.NoErr(err)
	now = now.Add(time.Millisecond)
	first, err := routers[1].Pick(Request{Service: "s"})
	is.NoErr(err)
	now = now.Add(time.Millisecond)
	first.RejectionLimit(limitOf(3), true)
	early.RejectionLimit(nil, true) // its request was sent before
	exchange()
	attempts, refused := pickAll(routers[0])
	is.Equal(len(attempts), 7) // of two upstreams, one of which has said nothing yet
	var none *NoUpstreamError
	is.True(errors.As(refused, &none))
	is.Equal(none.RetryAfter, brittleRetryAfter)
	now = now.Add(time.Millisecond)
	for _, a := range append(attempts, early, first) {
		a.Done(ResultOK)
	}
	attempts, _ = pickAll(routers[0])
	now = now.Add(time.Millisecond)
	for _, a := range attempts {
		a.RejectionLimit(nil, true)
		a.Done(ResultOK)
	}
	exchange()
	for _, r := range routers {
		is.Equal(r.namedBrittle, 0)
		_, brittle := r.OwnCapacity("", "s")
		is.True(!brittle)
	}
	var kinds []ChangeKind
	for _, c := range *changes {
		kinds = append(kinds, c.Kind)
	}
	is.Equal(kinds, []ChangeKind{ChangeBrittle, ChangeNotBrittle})
}

// Guards against a request that one brittle upstream has rejected and that is sent to the next one without knowing that it
// has room, and against a router that goes on after its part of the rejections is used up.
func TestRejectedRequestNeedsProvenRoom(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	routers, changes := brittleRouters(&now, 9, 32, 32)
	r := routers[0]
	var attempts []*Attempt
	for range 2 {
		a, err := r.Pick(Request{Service: "s"})
		is.NoErr(err)
		attempts = append(attempts, a)
	}
	for _, a := range attempts {
		a.RejectionLimit(limitOf(5), true)
		a.Done(ResultOK)
	}
	a, err := r.Pick(Request{Service: "s"})
	is.NoErr(err)
	rejecting := a.Upstream().Name
	other := map[string]string{"u0": "u1", "u1": "u0"}[rejecting]
	a.Rejected()
	a.Done(ResultRefused)
	is.Equal((*changes)[len(*changes)-1].Kind, ChangeRejectionBudgetUsed)
	retry := Request{Service: "s", Exclude: []string{rejecting}}
	_, err = r.Pick(retry)
	is.True(err != nil) // nothing is known of the room of the other upstream
	now = now.Add(10 * time.Millisecond)
	b, err := r.Pick(Request{Service: "s"})
	is.NoErr(err)
	is.Equal(b.Upstream().Name, other)
	b.Load(2, 0, 32, 0)
	b.Done(ResultOK)
	a, err = r.Pick(retry)
	is.NoErr(err)
	is.Equal(a.Upstream().Name, other)
	a.Load(30, 4, 32, 0)
	_, err = r.Pick(retry)
	is.True(err != nil)
	now = now.Add(maxRejectionPause)
	attempts, _ = pickAll(r)
	is.True(slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Upstream().Name == rejecting })) // the pause has ended
}

// Guards against a malformed limit that is applied, that ends the one in force, or that is logged with each response.
func TestMalformedRejectionLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	routers, changes := brittleRouters(&now, 1, 8)
	for range 3 {
		a, err := routers[0].Pick(Request{Service: "s"})
		is.NoErr(err)
		a.RejectionLimitMalformed("many")
		a.Done(ResultOK)
	}
	is.Equal(len(*changes), 1)
	is.Equal((*changes)[0].Kind, ChangeRejectionLimitMalformed)
	routers[0].MergeBrittle(BrittleReports{{Upstream: "u0", Named: true, Limit: -1}, {Upstream: "u0", Named: true, Limit: 1e9}})
	is.Equal(routers[0].namedBrittle, 0)
}

// Guards against a router that takes all slots of brittle upstreams because it has not learned of the other routers yet.
func TestUnknownPositionSendsNothingToBrittleUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_000)
	routers, _ := brittleRouters(&now, 1, 8)
	r := routers[0]
	r.cfg.Position = func() Position { return Position{Routers: 1} }
	a, err := r.Pick(Request{Service: "s"})
	is.NoErr(err)
	a.RejectionLimit(limitOf(5), true)
	a.Done(ResultOK)
	_, err = r.Pick(Request{Service: "s"})
	var none *NoUpstreamError
	is.True(errors.As(err, &none))
	is.Equal(none.RetryAfter, noUpstreamRetryAfter)
}
