package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// engines implements Control for stand-ins. The value of a model is its version and its adapters, separated
// by spaces.
type engines map[string]*standin.OrderEngine

func (e engines) State(_ context.Context, u *catalogue.Upstream) (EngineState, error) {
	state := EngineState{Models: map[string]LoadedModel{}}
	for key, value := range e[u.Name].Values() {
		fields := strings.Fields(value)
		if key == "role" {
			state.Role = value
		} else {
			state.Models[key] = LoadedModel{Version: fields[0], Adapters: fields[1:]}
		}
	}
	return state, nil
}

func (e engines) Apply(_ context.Context, u *catalogue.Upstream, o Order) error {
	engine := e[u.Name]
	key, value := o.Model, o.Version
	switch o.Kind {
	case KindRole:
		key, value = "role", o.Role
	case KindUnload:
		value = ""
	case KindAdapter:
		value = engine.Values()[o.Model] + " " + o.Adapter
	}
	err := engine.Apply(o.Fence, key, value, o.Pulls())
	if errors.Is(err, standin.ErrStaleFencingToken) {
		return errors.Mark(err, ErrStaleFencingToken)
	}
	return err
}

// fixture returns n engines, a snapshot that declares models a and b on each, and their weight store.
func fixture(n int, checksFencing bool, version string, now func() time.Time) (engines, *catalogue.Snapshot, *standin.PullRecorder) {
	all, store := engines{}, &standin.PullRecorder{Now: now}
	var c catalogue.Catalogue
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		all[name] = &standin.OrderEngine{ChecksFencing: checksFencing, Pulls: store}
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{Name: name, ChecksFencing: checksFencing})
		c.EngineOrders = append(c.EngineOrders, catalogue.EngineOrder{Name: name, Upstream: name, Role: "both", Models: []catalogue.EngineModel{
			{Model: "a", Version: version, Adapters: []string{"x"}}, {Model: "b", Version: version},
		}})
	}
	return all, catalogue.NewSnapshot(1, c, nil), store
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newManager(holder string, log *standin.Log, control Control, s *catalogue.Snapshot, c *fakeClock, gone *bool) *Manager {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return NewManager(Config{
		Holder: record.HolderID(holder), PullsPerSecond: 0.5, Catalogue: func() *catalogue.Snapshot { return s },
		Candidate: func() bool { return true }, HolderGone: func(record.HolderID) bool { return *gone }, Now: c.Now, Logger: logger,
	}, log, control)
}

// Guards against two processes that may send orders at the same time to engines that ignore fencing tokens.
// Responses are lost, processes pause, and running holders are considered gone. Also guards against accepted
// epochs that do not rise by one.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var log []record.OrderLease
		read := make([]int, 3)
		var all []*Election
		for i := range 3 {
			all = append(all, NewElection(record.HolderID(fmt.Sprint("h", i)), now))
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "process")
			e := all[i]
			for ; read[i] < len(log); read[i]++ {
				e.Observe(now, log[read[i]])
			}
			if lease, due := e.Next(now, true, rapid.IntRange(0, 9).Draw(t, "suspicion") == 0); due {
				outcome := rapid.IntRange(0, 4).Draw(t, "append")
				if outcome > 0 {
					log = append(log, lease)
				}
				if outcome <= 1 { // the response is lost; the append may have succeeded
					e.StepDown()
				}
			}
			for ; read[i] < len(log); read[i]++ {
				e.Observe(now, log[read[i]])
			}
			mayOrder := 0
			for _, e := range all {
				if _, ok := e.MayOrder(now, false); ok {
					mayOrder++
				}
			}
			if mayOrder > 1 {
				t.Fatalf("%d processes may send orders to engines that ignore fencing tokens", mayOrder)
			}
		}
		var lease Lease
		for _, r := range log {
			before := lease
			if lease.Apply(r, false) && lease.Epoch != before.Epoch+1 {
				t.Fatalf("epoch went from %d to %d", before.Epoch, lease.Epoch)
			}
		}
	})
}

// Guards against orders that do not lead to the desired state, that are sent again although the state is
// reached, or that pull faster than the weight store allows when all engines restart at once.
func TestPullsAfterMassRestartKeepTheRate(t *testing.T) {
	is := is.New(t)
	c, gone := &fakeClock{time.Unix(1000, 0)}, false
	all, s, store := fixture(20, true, "1", c.Now)
	m := newManager("h1", standin.NewLog(), all, s, c, &gone)
	run := func(seconds int) {
		for range seconds {
			m.Step(context.Background())
			c.now = c.now.Add(time.Second)
		}
	}
	run(130)
	is.Equal(len(RequiredOrders(s.EngineOrders(), m.readEngines(context.Background(), s, s.EngineOrders()))), 0)
	before := store.Pulls()
	run(20)
	is.Equal(len(store.Pulls()), len(before)) // nothing is repeated
	for _, e := range all {
		e.Restart()
	}
	run(4)
	repeated := store.Pulls()[len(before):]
	is.Equal(len(repeated), 2)
	loaded := map[string]bool{}
	for _, e := range all {
		for model := range e.Values() {
			loaded[model] = true
		}
	}
	is.True(loaded["a"] && loaded["b"]) // the first two pulls load different models
	run(130)
	pulls := store.Pulls()
	is.Equal(len(pulls), 2*len(before))
	for i := 1; i < len(pulls); i++ {
		is.True(pulls[i].Sub(pulls[i-1]) >= 2*time.Second)
	}
}

// lateOrders runs an old holder, wrongly considered gone, next to the new one. It returns the number of
// orders of the old holder that engines accepted after one of the new holder, and whether the engines end in
// the state that the new holder wants. With pause, the old holder pauses between the check of its lease and
// the sending of its orders.
func lateOrders(rng *rand.Rand, checksFencing, wait, pause bool) (late int, repaired bool) {
	c, never, gone := &fakeClock{time.Unix(1000, 0)}, false, true
	all, want, _ := fixture(4, checksFencing, "2", c.Now)
	_, stale, _ := fixture(4, checksFencing, "1", c.Now)
	log := standin.NewLog()
	old, newer := newManager("old", log, all, stale, c, &never), newManager("new", log, all, want, c, &gone)
	old.cfg.PullsPerSecond, newer.cfg.PullsPerSecond = 100, 100
	if !wait {
		newer.election.takeoverWait = 0
	}
	tick := func(managers ...*Manager) {
		for _, m := range managers {
			m.Step(context.Background())
		}
		c.now = c.now.Add(time.Second)
	}
	for range 5 + rng.IntN(5) {
		tick(old)
	}
	fence, _ := old.election.MayOrder(c.now, checksFencing)
	delay := 1 + rng.IntN(12)
	for i := range 60 {
		tick(newer)
		switch {
		case pause && i == 25+delay:
			old.sendAll(fence)
		case !pause:
			old.reconcile(context.Background()) // disconnected from the log, not from the engines
		}
	}
	for range 5 {
		tick(newer)
	}
	for _, e := range all {
		_, n := e.Counts()
		late += n
	}
	return late, len(RequiredOrders(want.EngineOrders(), newer.readEngines(context.Background(), want, want.EngineOrders()))) == 0
}

// sendAll sends the orders for the desired state with a fencing token that MayOrder returned earlier, when
// the lease was still valid.
func (m *Manager) sendAll(fence uint64) {
	s := m.cfg.Catalogue()
	for _, o := range RequiredOrders(s.EngineOrders(), m.readEngines(context.Background(), s, s.EngineOrders())) {
		o.Fence = fence
		_ = m.control.Apply(context.Background(), s.Upstream(o.Upstream), o)
	}
}

// Guards against orders of an old holder that stay in effect. Engines that check fencing tokens refuse them.
// For other engines, the takeover wait separates the two holders, and an order that arrives late after a
// pause is corrected by the new holder. The case without fencing and without wait shows that late orders
// occur then.
func TestOrdersOfOldHolderDoNotLast(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		checksFencing, wait, pause, noneLate bool
	}{
		{true, false, false, true}, {true, false, true, true},
		{false, true, false, true}, {false, false, false, false}, {false, true, true, false},
	} {
		total, runs := 0, 0
		for seed := range uint64(20) {
			late, repaired := lateOrders(rand.New(rand.NewPCG(seed, 1)), c.checksFencing, c.wait, c.pause)
			is.True(repaired)
			total += late
			if late > 0 {
				runs++
			}
		}
		t.Logf("fencing %v, wait %v, pause %v: %d late orders in %d of 20 runs", c.checksFencing, c.wait, c.pause, total, runs)
		is.Equal(total == 0, c.noneLate)
	}
}
