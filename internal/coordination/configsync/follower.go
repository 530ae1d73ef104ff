package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	pollWait      = 2 * time.Second
	pollBatch     = 256
	retryInterval = 200 * time.Millisecond
)

// Follower keeps the newest accepted configuration of the log in force.
type Follower struct {
	log    logstream.Log
	logger logrus.FieldLogger

	current atomic.Pointer[catalogue.Snapshot]

	mu       sync.Mutex
	fold     *Fold
	lastRead time.Time
}

// NewFollower returns a follower with version 0 in force.
func NewFollower(log logstream.Log, logger logrus.FieldLogger) *Follower {
	f := &Follower{log: log, logger: logger, fold: NewFold()}
	f.current.Store(f.fold.Snapshot())
	return f
}

// Current returns the version in force. It never goes back.
func (f *Follower) Current() *catalogue.Snapshot { return f.current.Load() }

// LastRead returns when the stream was last read to its end.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx, pollWait); err != nil {
			if ctx.Err() != nil {
				return
			}
			obs.EventConfigUnreachable.Log(f.logger, logrus.Fields{"error": err.Error()})
			sleep(ctx, retryInterval)
		}
	}
}

// CatchUp reads to the end of the stream once.
func (f *Follower) CatchUp(ctx context.Context) error {
	for {
		before := f.next()
		if err := f.poll(ctx, 0); err != nil {
			return err
		}
		if f.next() == before {
			return nil
		}
	}
}

func (f *Follower) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Next()
}

func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	page, err := f.log.Read(ctx, record.ConfigStream, f.next(), pollBatch, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range page.Records {
		switch f.fold.Apply(r.Offset, r.Data).Outcome {
		case Accepted:
			changed = true
		case Malformed:
			obs.ConfigRecordsSkipped.Add(1)
			obs.EventConfigMalformed.Log(f.logger, logrus.Fields{"offset": r.Offset})
		}
	}
	if f.fold.Next() >= page.Next {
		f.lastRead = time.Now()
	}
	if changed {
		f.current.Store(f.fold.Snapshot())
		obs.EventConfigApplied.Log(f.logger, logrus.Fields{"version": f.fold.Version()})
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
