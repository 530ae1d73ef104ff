// Package standin implements small stand-ins (fakes) for the systems around the routers: the platform's log
// and VM list (those that package logclient calls), model engines, the weight store and plain services.
// Tests, the --dev mode of the router and cmd/dotterelstandin use them. It also simulates the load of a fleet
// on model engines, to compare routing policies.
package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
)

// Log is an in-memory append-only log that can inject faults. It implements logstream.Log and is safe for
// concurrent use.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	faults      LogFaults
	lateAppends []lateAppend
	// era counts the restorations.
	era uint64
	now func() time.Time
}

// LogCopy is the content of a Log at one time.
type LogCopy struct{ streams map[string]*stream }

// Copy returns a copy of the log.
func (l *Log) Copy() LogCopy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogCopy{cloneStreams(l.streams)}
}

// Restore replaces the content by that of a copy. What was appended since is lost, and the offsets are given out again.
func (l *Log) Restore(c LogCopy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		close(s.changed)
	}
	l.streams = cloneStreams(c.streams)
	l.era++
}

// Era returns the number of restorations so far.
func (l *Log) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

func cloneStreams(streams map[string]*stream) map[string]*stream {
	out := make(map[string]*stream, len(streams))
	for name, s := range streams {
		out[name] = &stream{firstOffset: s.firstOffset, records: slices.Clone(s.records), changed: make(chan struct{})}
	}
	return out
}

// lateAppend is an append that takes effect later. Its caller got ErrOutcomeUnknown.
type lateAppend struct {
	stream string
	data   []byte
}

// LogFaults are faults that a Log injects.
type LogFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// LoseResponses is the number of appends that take effect and then fail with an unknown outcome.
	LoseResponses int `json:"lose_answers"`
	// LateAppends is the number of appends that fail with an unknown outcome and take effect right after the
	// next append that takes effect.
	LateAppends int `json:"late_appends"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
	// Retain is the number of records retained per stream; 0 retains all.
	Retain int `json:"retain"`
	// RetainAge is the age up to which records are retained; 0 retains all.
	RetainAge time.Duration `json:"retain_age"`
}

type stream struct {
	firstOffset uint64
	records     []logstream.Record
	changed     chan struct{}
}

// NewLog returns an empty log without faults.
func NewLog() *Log { return NewLogWithClock(time.Now) }

// NewLogWithClock returns an empty log without faults that calls now for the time of each record.
func NewLogWithClock(now func() time.Time) *Log {
	return &Log{streams: make(map[string]*stream), now: now}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		l.trim(s)
	}
}

// applyCallFaults applies the faults that concern every call, Delay and Down.
func (l *Log) applyCallFaults(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(faults.Delay):
		}
	}
	if faults.Down {
		return logstream.ErrUnavailable
	}
	return ctx.Err()
}

// Append implements logstream.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if err := l.applyCallFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LateAppends > 0 {
		l.faults.LateAppends--
		l.lateAppends = append(l.lateAppends, lateAppend{stream: name, data: append([]byte(nil), data...)})
		return 0, logstream.ErrOutcomeUnknown
	}
	offset := l.add(name, data)
	for _, late := range l.lateAppends {
		l.add(late.stream, late.data)
	}
	l.lateAppends = nil
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, logstream.ErrOutcomeUnknown
	}
	return offset, nil
}

// add appends a record, trims the stream and wakes the calls of Read that wait for it.
func (l *Log) add(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.nextOffset()
	s.records = append(s.records, logstream.Record{Offset: offset, Time: l.now(), Data: append([]byte(nil), data...)})
	l.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Read implements logstream.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := l.applyCallFaults(ctx); err != nil {
		return logstream.Page{}, err
	}
	page, changed, err := l.read(name, from, limit)
	if err != nil || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return logstream.Page{}, ctx.Err()
	case <-timer.C:
	case <-changed:
	}
	if err := l.applyCallFaults(ctx); err != nil {
		return logstream.Page{}, err
	}
	page, _, err = l.read(name, from, limit)
	return page, err
}

// read returns a page, and a channel that is closed at the next append to the stream.
func (l *Log) read(name string, from uint64, limit int) (logstream.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	page := logstream.Page{First: s.firstOffset, Next: s.nextOffset()}
	if from < s.firstOffset {
		return page, nil, logstream.ErrTrimmed
	}
	if from >= s.nextOffset() {
		return page, s.changed, nil
	}
	rest := s.records[from-s.firstOffset:]
	page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	return page, s.changed, nil
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{firstOffset: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }

// trim drops the records of a stream that exceed the retention.
func (l *Log) trim(s *stream) {
	excess := 0
	if l.faults.Retain > 0 {
		excess = max(0, len(s.records)-l.faults.Retain)
	}
	if l.faults.RetainAge > 0 {
		oldest := l.now().Add(-l.faults.RetainAge)
		for excess < len(s.records) && s.records[excess].Time.Before(oldest) {
			excess++
		}
	}
	if excess > 0 {
		s.records = append([]logstream.Record(nil), s.records[excess:]...)
		s.firstOffset += uint64(excess)
	}
}
