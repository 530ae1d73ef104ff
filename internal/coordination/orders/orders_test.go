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

// engines gives orders to stand-ins: model m is the value "v adapter adapter".
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
	if errors.Is(err, standin.ErrOldFence) {
		return errors.Mark(err, ErrFenced)
	}
	return err
}

// fixture is n engines that shall have models a and b.
func fixture(n int, checks bool, version string, now func() time.Time) (engines, *catalogue.Snapshot, *standin.WeightStore) {
	all, store := engines{}, &standin.WeightStore{Now: now}
	var c catalogue.Catalogue
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		all[name] = &standin.OrderEngine{ChecksFencing: checks, Store: store}
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{Name: name, ChecksFencing: checks})
		c.EngineOrders = append(c.EngineOrders, catalogue.EngineOrder{Name: name, Upstream: name, Role: "both", Models: []catalogue.EngineModel{
			{Model: "a", Version: version, Adapters: []string{"x"}}, {Model: "b", Version: version},
		}})
	}
	return all, catalogue.NewSnapshot(1, c, nil), store
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func manager(holder string, log *standin.Log, control Control, s *catalogue.Snapshot, c *clock, gone *bool) *Manager {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return NewManager(Config{
		Holder: record.HolderID(holder), PullsPerSecond: 0.5, Catalogue: func() *catalogue.Snapshot { return s },
		Candidate: func() bool { return true }, HolderGone: func(record.HolderID) bool { return *gone }, Now: c.Now, Logger: logger,
	}, log, control)
}

// Guards against two holders at one time, epochs that do not rise, and orders to
// engines that ignore fencing numbers before the old lease has ended, with lost
// answers, pauses and wrong suspicions.
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
				if outcome <= 1 { // the answer is lost, with or without effect
					e.StepDown()
				}
			}
			for ; read[i] < len(log); read[i]++ {
				e.Observe(now, log[read[i]])
			}
			unfenced := 0
			for _, e := range all {
				if _, ok := e.MayOrder(now, false); ok {
					unfenced++
				}
			}
			if unfenced > 1 {
				t.Fatalf("%d processes may order engines that ignore fencing numbers", unfenced)
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

// Guards against orders that do not reach the desired state, that change
// something when repeated, or that pull faster than the weight store allows when
// all engines restart at once.
func TestMassRestartIsRepairedUnderTheStoresRate(t *testing.T) {
	is := is.New(t)
	c, gone := &clock{time.Unix(1000, 0)}, false
	all, s, store := fixture(20, true, "1", c.Now)
	m := manager("h1", standin.NewLog(), all, s, c, &gone)
	run := func(seconds int) {
		for range seconds {
			m.Step(context.Background())
			c.now = c.now.Add(time.Second)
		}
	}
	run(130)
	is.Equal(len(Reconcile(s.EngineOrders(), m.readEngines(context.Background(), s, s.EngineOrders()))), 0)
	before := store.Pulls()
	run(20)
	is.Equal(len(store.Pulls()), len(before)) // nothing is repeated
	for _, e := range all {
		e.Restart()
	}
	run(4)
	again := store.Pulls()[len(before):]
	is.Equal(len(again), 2)
	loaded := map[string]bool{}
	for _, e := range all {
		for model := range e.Values() {
			loaded[model] = true
		}
	}
	is.True(loaded["a"] && loaded["b"]) // the first pulls are of different models
	run(130)
	pulls := store.Pulls()
	is.Equal(len(pulls), 2*len(before))
	for i := 1; i < len(pulls); i++ {
		is.True(pulls[i].Sub(pulls[i-1]) >= 2*time.Second)
	}
}

// lateOrders runs an old holder that is wrongly taken for gone beside the new
// one. It returns the orders of the old holder that engines took after one of
// the new holder, and whether the engines end as the new holder wants. With a
// pause, the old holder stops between its check and the sending of its orders.
func lateOrders(rng *rand.Rand, fenced, wait, pause bool) (late int, repaired bool) {
	c, never, gone := &clock{time.Unix(1000, 0)}, false, true
	all, want, _ := fixture(4, fenced, "2", c.Now)
	_, stale, _ := fixture(4, fenced, "1", c.Now)
	log := standin.NewLog()
	old, newer := manager("old", log, all, stale, c, &never), manager("new", log, all, want, c, &gone)
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
	fence, _ := old.election.MayOrder(c.now, fenced)
	cut := 1 + rng.IntN(12)
	for i := range 60 {
		tick(newer)
		switch {
		case pause && i == 25+cut:
			old.orderAll(fence)
		case !pause:
			old.reconcile(context.Background()) // cut off from the log, not from the engines
		}
	}
	for range 5 {
		tick(newer)
	}
	for _, e := range all {
		_, n := e.Counts()
		late += n
	}
	return late, len(Reconcile(want.EngineOrders(), newer.readEngines(context.Background(), want, want.EngineOrders()))) == 0
}

// orderAll sends the desired state with a fencing number checked long ago.
func (m *Manager) orderAll(fence uint64) {
	s := m.cfg.Catalogue()
	for _, o := range Reconcile(s.EngineOrders(), m.readEngines(context.Background(), s, s.EngineOrders())) {
		o.Fence = fence
		_ = m.control.Apply(context.Background(), s.Upstream(o.Upstream), o)
	}
}

// Guards against an old holder's orders that stay in effect: engines that check
// refuse them, the wait keeps both holders apart, and what a pause lets through
// is repaired.
func TestOldHoldersOrders(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		fenced, wait, pause, none bool
	}{
		{true, false, false, true}, {true, false, true, true},
		{false, true, false, true}, {false, false, false, false}, {false, true, true, false},
	} {
		total, runs := 0, 0
		for seed := range uint64(20) {
			late, repaired := lateOrders(rand.New(rand.NewPCG(seed, 1)), c.fenced, c.wait, c.pause)
			is.True(repaired)
			total += late
			if late > 0 {
				runs++
			}
		}
		t.Logf("fencing %v, wait %v, pause %v: %d late orders in %d of 20 runs", c.fenced, c.wait, c.pause, total, runs)
		is.Equal(total == 0, c.none)
	}
}
