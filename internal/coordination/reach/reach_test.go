package reach

import (
	"context"
	"fmt"
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
			began := f.now
			f.now = f.now.Add(time.Millisecond)
			err := f.check(service, address)
			f.Connected(service, address, began, err)
			return err
		},
		Notify: func(c Change) { f.changes = append(f.changes, c) },
		Now:    func() time.Time { return f.now },
	})
	return f
}

// connect reports a connection attempt that took 100 ms.
func (f *fleet) connect(service, address string, err error) {
	began := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	f.Connected(service, address, began, err)
}

// Guards against a conclusion from one upstream that has ended, and from failures before a sign of a path.
func TestOneFailedUpstreamIsNoPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "c"}})
	f.connect("s", "a", errConnect)
	f.connect("s", "a", errConnect)
	is.True(!f.Unreachable("s"))
	f.Received("s")
	f.connect("s", "b", errConnect)
	is.True(!f.Unreachable("s")) // the failure of a was before
	began := f.now
	f.now = f.now.Add(time.Millisecond)
	f.Received("s")
	f.now = f.now.Add(time.Millisecond)
	f.connect("s", "c", errConnect)
	f.Connected("s", "b", began, errConnect)
	is.True(!f.Unreachable("s")) // the attempt at b began before the last sign
	f.connect("s", "a", errConnect)
	is.True(f.Unreachable("s"))
	is.Equal(f.changes, []Change{{Service: "s", Unreachable: true, Failed: 2, For: 201 * time.Millisecond}})
}

// Guards against a service with one upstream that never counts as unreachable.
func TestOnlyUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a"}})
	f.connect("s", "a", errConnect)
	is.True(f.Unreachable("s"))
	f.connect("s", "a", nil)
	is.True(!f.Unreachable("s"))
}

// Guards against each service learning anew that the router is partitioned.
func TestFirstFailureCountsWhileAnotherServiceIsUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b"}, "t": {"c", "d"}})
	f.connect("s", "a", errConnect)
	f.connect("t", "c", errConnect)
	is.True(!f.Unreachable("t"))
	f.connect("s", "b", errConnect)
	f.connect("t", "c", errConnect)
	is.True(f.Unreachable("s") && f.Unreachable("t"))
}

// Guards against a return to the upstreams after one connection, while others fail, and against a return because open
// connections live on.
func TestReturnNeedsTwoUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "c"}})
	f.connect("s", "a", errConnect)
	f.connect("s", "b", errConnect)
	f.Received("s")
	is.True(f.Unreachable("s"))
	f.connect("s", "a", nil)
	f.connect("s", "b", errConnect)
	f.connect("s", "a", nil)
	f.connect("s", "a", nil)
	is.True(f.Unreachable("s"))
	f.connect("s", "c", nil)
	is.True(!f.Unreachable("s"))
	is.Equal(len(f.changes), 2)
	is.Equal(f.changes[1].For, 500*time.Millisecond)
}

// Guards against checks that send more than a connection attempt per service and interval, and against a service that is
// not checked although the router may not reach it either.
func TestChecks(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "c"}, "t": {"d", "e"}})
	checked := make(map[string]int)
	reachable := false
	f.check = func(service, _ string) error {
		checked[service]++
		if reachable {
			return nil
		}
		return errConnect
	}
	run := func() {
		f.now = f.now.Add(checkInterval)
		for _, name := range f.toCheck() {
			f.Monitor.check(t.Context(), name)
		}
	}
	run()
	is.Equal(len(checked), 0) // nothing is checked while all is reachable
	f.connect("s", "a", errConnect)
	f.connect("s", "b", errConnect)
	run()
	is.Equal(checked, map[string]int{"s": 1, "t": 1})
	is.True(f.Unreachable("s") && f.Unreachable("t"))
	run()
	is.Equal(checked, map[string]int{"s": 2, "t": 2})
	reachable = true
	run()
	is.Equal(checked, map[string]int{"s": 4, "t": 4})
	is.True(!f.Unreachable("s") && !f.Unreachable("t"))
	run()
	is.Equal(checked, map[string]int{"s": 4, "t": 4})
	f.upstreams["s"] = nil
	f.connect("s", "a", errConnect)
	run()
	is.True(!f.Unreachable("s")) // it has no upstreams
}

// Guards against a partition that nobody notices while requests wait on connections that died with the path, and against
// checks because one upstream is slow, or without end because all are.
func TestSilenceLeadsToCheck(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b", "c"}})
	checked, path := 0, true
	f.check = func(string, string) error {
		checked++
		if path {
			return nil
		}
		return errConnect
	}
	run := func(d time.Duration) {
		for range d / checkInterval {
			f.now = f.now.Add(checkInterval)
			for _, name := range f.toCheck() {
				f.Monitor.check(t.Context(), name)
			}
		}
	}
	run(10 * time.Second)
	is.Equal(checked, 0) // no request waits
	f.Begin("s")
	f.Begin("s")
	for range 10 {
		run(silenceToCheck - checkInterval)
		f.Received("s")
	}
	is.Equal(checked, 0) // one of the upstreams answers
	run(20 * time.Second)
	is.Equal(checked, 5) // with pauses of 1, 2, 4 and 8 seconds
	is.True(!f.Unreachable("s"))
	path = false
	run(maxCheckPause + silenceToCheck)
	is.True(f.Unreachable("s"))
	path = true
	run(time.Second)
	is.True(!f.Unreachable("s"))
	f.End("s")
	f.End("s")
	checked = 0
	run(10 * time.Second)
	is.Equal(checked, 0)
}

// Guards against a crash of one upstream, or of the only one, that counts as a partition, and the other way round.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string][]string{"s": {"a", "b"}, "t": {"c"}})
	up := map[string]bool{"b": true}
	f.check = func(_, address string) error {
		if up[address] {
			return nil
		}
		return errConnect
	}
	f.connect("s", "a", errConnect)
	is.True(!f.Confirm(t.Context(), "s", "a"))
	f.connect("t", "c", errConnect)
	is.True(f.Unreachable("t"))
	is.True(!f.Confirm(t.Context(), "t", "c"))
	up["b"] = false
	f.connect("s", "a", errConnect)
	is.True(f.Confirm(t.Context(), "s", "a"))
	is.True(f.Confirm(t.Context(), "t", "c"))
	up["b"] = true
	is.True(!f.Confirm(t.Context(), "s", "a")) // one connection is enough to doubt
	var none *Monitor
	is.True(!none.Confirm(t.Context(), "s", "a"))
}

// Guards against conclusions that do not follow from the results since the last sign of a path, in any order.
func TestConclusionsFollowFromResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "upstreams")]
		f := newFleet(map[string][]string{"s": addresses})
		needed := min(2, len(addresses))
		failed, reached := make(map[string]bool), make(map[string]bool)
		unreachable := false
		for i := range rapid.IntRange(1, 40).Draw(t, "results") {
			address := rapid.SampledFrom(addresses).Draw(t, fmt.Sprintf("address %d", i))
			switch rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("result %d", i)) {
			case 0:
				f.now = f.now.Add(time.Millisecond)
				f.Received("s")
				if !unreachable {
					clear(failed)
				}
			case 1:
				f.connect("s", address, nil)
				reached[address] = true
				if !unreachable || len(reached) >= needed {
					unreachable = false
					clear(failed)
					clear(reached)
				}
			case 2:
				f.now = f.now.Add(time.Millisecond)
				f.connect("s", address, errConnect)
				failed[address] = true
				clear(reached)
				unreachable = unreachable || len(failed) >= needed
			}
			if !unreachable {
				clear(reached)
			}
			if f.Unreachable("s") != unreachable {
				t.Fatalf("unreachable is %t after result %d", !unreachable, i)
			}
		}
	})
}
