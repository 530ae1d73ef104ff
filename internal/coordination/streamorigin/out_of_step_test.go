package streamorigin

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// TestOnlyVersionOfAnOldListIsNotTrusted guards against a router without the log that takes the only version that it has seen for
// the only one, while others have begun streams at a newer one: whatever joined before the request may have begun its stream. A
// single failure of the log must not refuse a stream.
func TestOnlyVersionOfAnOldListIsNotTrusted(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	r := newTestRegistry(log, "vm-1", time.Now)
	since := time.Now().Add(-retention - 10*time.Second) // else nothing tells of the time before its start
	r.cfg.Listed = func() (time.Time, time.Time) { return since, time.Now() }
	r.SetListed(listed(v1))
	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	o, _, err := resolve(r, "of another router")
	is.NoErr(err)
	is.Equal(o, v1)
	r.Begin("own", v1)
	for _, age := range []time.Duration{time.Millisecond, logAwayAfter / 2, logAwayAfter + time.Second} {
		before := time.Now().Add(-age)
		r.cfg.Listed = func() (time.Time, time.Time) { return since, before }
		_, _, err = resolve(r, "of another router")
		is.True(errors.Is(err, ErrUnknown))
		o, _, err = resolve(r, "own")
		is.NoErr(err)
		is.Equal(o, v1)
	}
}

// TestUnknownStreamIsNotGuessedFromAnOldList guards against a router that has not learned of a version yet and takes the other one
// for that of a stream which nobody knows.
func TestUnknownStreamIsNotGuessedFromAnOldList(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	other := newTestRegistry(log, "vm-1", time.Now)
	other.SetListed(listed(v1, v2))
	is.NoErr(other.step(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go other.Run(ctx)

	r := newTestRegistry(log, "vm-2", time.Now)
	r.SetListed(listed(v1))
	is.NoErr(r.step(context.Background()))
	_, _, err := resolve(r, "of nobody")
	is.True(errors.Is(err, ErrUnknown))
}

// TestVersionMayHaveComeAndGoneUnseen guards against a router without the log that takes the only version that it has seen for the only
// one, although it was out of step for a part of the retention time.
func TestVersionMayHaveComeAndGoneUnseen(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	r := newTestRegistry(log, "vm-1", time.Now)
	r.SetListed(listed(v1))
	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	since := time.Now().Add(-retention + time.Second)
	r.cfg.Listed = func() (time.Time, time.Time) { return since, time.Now() }
	_, _, err := resolve(r, "of another router")
	is.True(errors.Is(err, ErrUnknown))
}

// TestTakeUpWaitsForTheLog guards against refusing a stream because one listing failed, or because the list of upstreams was read just
// before the request, while the log responds.
func TestTakeUpWaitsForTheLog(t *testing.T) {
	is := is.New(t)
	log := keyedlog.NewMemory()
	r := newTestRegistry(log, "vm-1", time.Now)
	since := time.Now().Add(-retention - 10*time.Second)
	r.SetListed(listed(v1))
	is.NoErr(r.step(context.Background()))
	read := time.Now()
	r.cfg.Listed = func() (time.Time, time.Time) { return since, read }
	failures := 1
	log.FaultHook = func(string, keyedlog.Stream, bool) error {
		if failures--; failures >= 0 {
			return keyedlog.ErrUnavailable
		}
		return nil
	}
	o, _, err := resolve(r, "of another router")
	is.NoErr(err)
	is.Equal(o, v1)

	log.FaultHook = func(string, keyedlog.Stream, bool) error { return keyedlog.ErrUnavailable }
	arrived := time.Now()
	r.cfg.Listed = func() (time.Time, time.Time) {
		if now := time.Now(); now.Sub(arrived) > 100*time.Millisecond {
			return since, now
		}
		return since, arrived.Add(-time.Millisecond)
	}
	o, _, err = resolve(r, "of another router")
	is.NoErr(err)
	is.Equal(o, v1)
}
