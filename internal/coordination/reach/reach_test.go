package reach

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var errConnect = errors.New("connection refused")

// fleet is a Monitor with an injected clock.
type fleet struct {
	*Monitor
	now       time.Time
	upstreams map[string][]string
	changesMu sync.Mutex
	changes   []Change
	check     func(service, address string) error
}

func newFleet(upstreams map[string][]string) *fleet {
	f := &fleet{now: time.Unix(1000, 0), upstreams: upstreams}
	f.Monitor = New(Config{
		Upstreams: func(service string) []string { return f.upstreams[service] },
		Services: func() (names []string) {
			for name := range f.upstreams {
				names = append(names, name)
			}
			return names
		},
		Check: func(_ context.Context, service, address string) error {
			err := f.check(service, address)
			f.Connected(service, address, f.now, err)
			return err
		},
		Notify: func(c Change) {
			f.changesMu.Lock()
			defer f.changesMu.Unlock()
			f.changes = append(f.changes, c)
		},
		Now: func() time.Time { return f.now },
	})
	return f
}

// connect reports a connection attempt that took 100 ms.
func (f *fleet) connect(service, address string, err error) {
	began := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	f.Connected(service, address, began, err)
}

// Guards against a conclusion from a few upstreams that have ended, and from failures before a sign of a path.
func TestFewFailedUpstreamsAreNoPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "c", "d", "e", "g"}})
	for _, address := range []string{"a", "a", "b", "c", "d", "d"} {
		f.connect("s", address, errConnect)
	}
	is.True(!f.Unreachable("s"))
	began := f.now
	f.now = f.now.Add(time.Millisecond)
	f.Received("s")
	f.now = f.now.Add(time.Millisecond)
	for _, address := range []string{"a", "b", "c", "d"} {
		f.connect("s", address, errConnect)
	}
	f.Connected("s", "e", began, errConnect)
	is.True(!f.Unreachable("s")) // the attempt at e began before the last sign
	f.connect("s", "g", errConnect)
	is.True(f.Unreachable("s"))
	is.Equal(f.changes, []Change{{Service: "s", Unreachable: true, Failed: 5, For: 501 * time.Millisecond}})
}

// Guards against a service with one upstream that never counts as unreachable, and against a return after one connection while
// others fail.
func TestReturnNeedsTwoConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a"}, "t": {"b", "c"}})
	f.connect("s", "a", errConnect)
	is.True(f.Unreachable("s"))
	f.Received("s") // open connections may live on
	f.connect("s", "a", nil)
	f.connect("s", "a", errConnect)
	f.connect("s", "a", nil)
	is.True(f.Unreachable("s"))
	f.connect("s", "a", nil)
	is.True(!f.Unreachable("s"))
	is.Equal(len(f.changes), 2)
	is.Equal(f.changes[1].For, 400*time.Millisecond)

	f.connect("t", "b", errConnect)
	f.connect("t", "c", errConnect)
	f.connect("t", "b", nil)
	f.now = f.now.Add(returnWindow)
	f.connect("t", "b", nil)
	is.True(f.Unreachable("t")) // the first one was too long ago
	f.connect("t", "c", errConnect)
	f.connect("t", "b", nil)
	is.True(!f.Unreachable("t")) // one of two upstreams is back
}

// checker makes the checks of a fleet: path says whether an upstream can be reached.
type checker struct {
	*fleet
	mu      sync.Mutex
	checked map[string]int
	path    func(address string) bool
}

func newChecker(upstreams map[string][]string, path func(string) bool) *checker {
	c := &checker{fleet: newFleet(upstreams), checked: make(map[string]int), path: path}
	c.check = func(service, address string) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checked[service]++
		if c.path(address) {
			return nil
		}
		return errConnect
	}
	return c
}

func (c *checker) run(d time.Duration) {
	for range d / checkInterval {
		c.now = c.now.Add(checkInterval)
		for _, next := range c.toCheck() {
			c.Monitor.check(context.Background(), next)
		}
	}
}

// Guards against more connections than one failure calls for, and against a service that is not checked although the router
// may not reach it either.
func TestChecks(t *testing.T) {
	is := is.New(t)
	reachable := true
	c := newChecker(map[string][]string{"s": {"a", "b", "c", "d", "e", "g", "h"}, "t": {"i", "j"}}, func(string) bool { return reachable })
	c.connect("s", "a", errConnect)
	c.Received("s")
	c.run(time.Second)
	is.Equal(len(c.checked), 0) // another upstream has answered
	c.connect("s", "a", errConnect)
	c.run(time.Second)
	is.Equal(c.checked, map[string]int{"s": confirmations})
	clear(c.checked)
	reachable = false
	c.connect("s", "a", errConnect)
	c.run(checkInterval)
	is.True(c.Unreachable("s"))
	c.run(checkInterval)
	is.True(c.Unreachable("t"))
	is.Equal(c.checked, map[string]int{"s": confirmations + checksAtOnce, "t": 2})
	reachable = true
	c.run(2 * checkInterval)
	is.True(!c.Unreachable("s") && !c.Unreachable("t"))
	clear(c.checked)
	c.run(10 * time.Second)
	is.Equal(len(c.checked), 0)
	c.connect("t", "i", errConnect)
	c.connect("t", "j", errConnect)
	is.True(c.Unreachable("t"))
	c.upstreams["t"] = nil
	c.run(checkInterval)
	is.True(!c.Unreachable("t")) // it has no upstreams
}

// Guards against a service that stays unreachable although some of its upstreams are back.
func TestReturnsToPartOfTheUpstreams(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for i := range 18 {
		addresses = append(addresses, fmt.Sprintf("a%02d", i))
	}
	back := false
	c := newChecker(map[string][]string{"s": addresses}, func(address string) bool { return back && address >= "a13" })
	c.cfg.Choose = rand.New(rand.NewPCG(1, 2)).IntN
	for _, address := range addresses {
		c.connect("s", address, errConnect)
	}
	is.True(c.Unreachable("s"))
	back = true
	c.run(2 * time.Second)
	is.True(!c.Unreachable("s"))
}

// Guards against a partition that nobody notices while requests wait on connections that died with the path, and against
// checks because one upstream is slow, or without end because all are.
func TestSilenceLeadsToCheck(t *testing.T) {
	is := is.New(t)
	path := true
	c := newChecker(map[string][]string{"s": {"a", "b", "c"}}, func(string) bool { return path })
	c.run(10 * time.Second)
	is.Equal(len(c.checked), 0) // no request waits
	c.Begin("s")
	c.Begin("s")
	for range 10 {
		c.run(silenceToCheck - checkInterval)
		c.Received("s")
	}
	is.Equal(len(c.checked), 0) // one of the upstreams answers
	c.run(20 * time.Second)
	is.Equal(c.checked["s"], 5) // with pauses of 1, 2, 4 and 8 seconds
	is.True(!c.Unreachable("s"))
	path = false
	c.run(maxCheckPause + silenceToCheck)
	is.True(c.Unreachable("s"))
	path = true
	c.run(time.Second)
	is.True(!c.Unreachable("s"))
	c.End("s")
	c.End("s")
	clear(c.checked)
	c.run(10 * time.Second)
	is.Equal(len(c.checked), 0)
}

// Guards against a crash of one upstream, or of the only one, that counts as a partition, and the other way round.
func TestCheckPath(t *testing.T) {
	is := is.New(t)
	up := map[string]bool{"b": true}
	c := newChecker(map[string][]string{"s": {"a", "b"}, "t": {"c"}}, func(address string) bool { return up[address] })
	is.Equal(c.CheckPath(t.Context(), "s", "a", nil), PathWorks)
	c.connect("t", "c", errConnect)
	is.True(c.Unreachable("t"))
	is.Equal(c.CheckPath(t.Context(), "t", "c", nil), PathUntested)
	up["b"] = false
	c.connect("s", "a", errConnect)
	is.Equal(c.CheckPath(t.Context(), "s", "a", nil), PathLost)
	is.Equal(c.CheckPath(t.Context(), "t", "c", nil), PathLost)
	up["b"] = true
	is.Equal(c.CheckPath(t.Context(), "s", "a", nil), PathWorks) // one connection is enough to doubt
	var none *Monitor
	is.Equal(none.CheckPath(t.Context(), "s", "a", nil), PathUntested)
}

// Guards against a crash that counts as a partition because the other upstreams had ended for reasons of their own, and against a
// partition that counts as a crash.
func TestCheckPathWithoutUpstreamsThatEndedApart(t *testing.T) {
	is := is.New(t)
	up := make(map[string]bool)
	c := newChecker(map[string][]string{"s": {"a", "b", "d"}}, func(address string) bool { return up[address] })
	apart := make(map[string]struct{})
	is.Equal(c.CheckPath(t.Context(), "s", "a", apart), PathLost)
	apart["b"] = struct{}{}
	is.Equal(c.CheckPath(t.Context(), "s", "a", apart), PathLost) // "d" fails too
	apart["d"] = struct{}{}
	is.Equal(c.CheckPath(t.Context(), "s", "a", apart), PathUntested)
	up["d"] = true // it is back
	is.Equal(c.CheckPath(t.Context(), "s", "a", apart), PathWorks)
}

// Guards against upstreams without power that use up the time in which one that lives would show that the path works.
func TestCheckPathDespiteSilentUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "d", "e"}})
	f.cfg.Check = func(ctx context.Context, _, address string) error {
		if address != "e" {
			<-ctx.Done()
		}
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*confirmStagger)
	defer cancel()
	is.Equal(f.CheckPath(ctx, "s", "a", nil), PathWorks)
}

// Guards against conclusions that do not follow from the results since the last sign of a path, and against returns that do
// not follow from connections, in any order.
func TestConclusionsFollowFromResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := []string{"a", "b", "c", "d", "e", "g", "h"}[:rapid.IntRange(1, 7).Draw(t, "upstreams")]
		f := newFleet(map[string][]string{"s": addresses})
		failed := make(map[string]bool)
		unreachable, opened := false, 0
		for i := range rapid.IntRange(1, 60).Draw(t, "results") {
			address := rapid.SampledFrom(addresses).Draw(t, fmt.Sprintf("address %d", i))
			f.now = f.now.Add(time.Millisecond)
			result := rapid.SampledFrom([]string{"bytes", "opened", "failed", "failed", "failed", "failed"}).Draw(t, fmt.Sprintf("result %d", i))
			switch result {
			case "bytes":
				f.Received("s")
			case "opened":
				f.connect("s", address, nil)
				opened++
			case "failed":
				f.connect("s", address, errConnect)
				failed[address] = true
			}
			got := f.Unreachable("s")
			switch {
			case unreachable && !got && (result != "opened" || opened < checksToReturn):
				t.Fatalf("reachable after result %d and %d connections", i, opened)
			case !unreachable && got != (result == "failed" && len(failed) >= min(addressesToConclude, len(addresses))):
				t.Fatalf("unreachable is %t after result %d and failures at %d upstreams", got, i, len(failed))
			}
			if got != unreachable {
				opened = 0
			}
			if unreachable = got; !unreachable && result != "failed" {
				clear(failed)
			}
		}
	})
}
