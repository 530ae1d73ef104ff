package callrate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

type priorityKey struct{}

// WithPriority returns a context that overrides the priority of the calls made with it. The function is called, possibly
// several times, while a call waits, since a caller may begin to wait for it later. It must not call the log.
func WithPriority(ctx context.Context, priority func() Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

// Always returns a priority that does not change.
func Always(p Priority) func() Priority { return func() Priority { return p } }

// limitedLog is a Log behind a Limiter.
type limitedLog struct {
	keyedlog.Log
	limiter       *Limiter
	writes, reads Priority
}

// Wrap returns the log with its calls limited. The given priorities are those of calls whose context has none. A read
// that waits at the log is one call.
func (l *Limiter) Wrap(log keyedlog.Log, writes, reads Priority) keyedlog.Log {
	return &limitedLog{Log: log, limiter: l, writes: writes, reads: reads}
}

type permitKey struct{}

// permit is a write call that the rate already allows.
type permit struct{ used atomic.Bool }

// ReserveWrite waits until the rate allows a write call. The first write call with the returned context does not wait, so
// that a conditional append can follow its read at once. release must be called after that; it gives back an unused permit.
func (l *limitedLog) ReserveWrite(ctx context.Context) (permitted context.Context, release func(), err error) {
	if err := l.acquire(ctx, Write, l.writes); err != nil {
		return nil, nil, err
	}
	p := &permit{}
	return context.WithValue(ctx, permitKey{}, p), func() {
		if p.used.CompareAndSwap(false, true) {
			l.limiter.putBack(Write)
		}
	}, nil
}

func (l *limitedLog) acquire(ctx context.Context, kind Kind, otherwise Priority) error {
	if p, ok := ctx.Value(permitKey{}).(*permit); ok && kind == Write && p.used.CompareAndSwap(false, true) {
		return nil
	}
	priority, ok := ctx.Value(priorityKey{}).(func() Priority)
	if !ok {
		priority = Always(otherwise)
	}
	return l.limiter.acquire(ctx, kind, priority)
}

// Append implements keyedlog.Log.
func (l *limitedLog) Append(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, at uint64) (uint64, error) {
	if err := l.acquire(ctx, Write, l.writes); err != nil {
		return 0, err
	}
	end, err := l.Log.Append(ctx, s, records, at)
	l.limiter.noteResult(Write, err)
	return end, err
}

// AppendAs implements keyedlog.Log.
func (l *limitedLog) AppendAs(ctx context.Context, s keyedlog.Stream, records []keyedlog.Record, p keyedlog.Producer) (uint64, error) {
	if err := l.acquire(ctx, Write, l.writes); err != nil {
		return 0, err
	}
	end, err := l.Log.AppendAs(ctx, s, records, p)
	l.limiter.noteResult(Write, err)
	return end, err
}

// Read implements keyedlog.Log.
func (l *limitedLog) Read(ctx context.Context, s keyedlog.Stream, from uint64, wait time.Duration) (keyedlog.Page, error) {
	if err := l.acquire(ctx, Read, l.reads); err != nil {
		return keyedlog.Page{}, err
	}
	page, err := l.Log.Read(ctx, s, from, wait)
	l.limiter.noteResult(Read, err)
	return page, err
}

// Newest implements keyedlog.Log. A listing of several pages counts as one call here.
func (l *limitedLog) Newest(ctx context.Context, s keyedlog.Stream) (keyedlog.Page, error) {
	if err := l.acquire(ctx, Read, l.reads); err != nil {
		return keyedlog.Page{}, err
	}
	page, err := l.Log.Newest(ctx, s)
	l.limiter.noteResult(Read, err)
	return page, err
}
