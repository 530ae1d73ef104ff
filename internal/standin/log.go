// Package standin has small stand-ins for the systems around the routers: the
// platform's log and VM list, model engines and plain services. Tests, --dev
// and cmd/dotterelstandin use them.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
)

// Log is an in-memory append-only log with faults that tests switch on.
// It implements logstream.Log and is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	late    []lateAppend
	now     func() time.Time
}

// lateAppend is an append whose caller was told that its outcome is unknown.
type lateAppend struct {
	stream string
	data   []byte
}

// LogFaults are the faults of a Log.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseResponses makes that many appends take effect and then fail.
	LoseResponses int `json:"lose_answers"`
	// LateAppends makes that many appends fail with an unknown outcome and take
	// effect right after the next append that succeeds.
	LateAppends int `json:"late_appends"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
	// Retain is the number of records kept per stream; 0 keeps all.
	Retain int `json:"retain"`
	// RetainAge is the age up to which records are kept; 0 keeps all.
	RetainAge time.Duration `json:"retain_age"`
}

type stream struct {
	first   uint64
	records []logstream.Record
	changed chan struct{}
}

// NewLog returns an empty log without faults.
func NewLog() *Log { return NewLogAt(time.Now) }

// NewLogAt returns an empty log whose records carry the times of the given clock.
func NewLogAt(now func() time.Time) *Log {
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

func (l *Log) begin(ctx context.Context) error {
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
	if err := l.begin(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LateAppends > 0 {
		l.faults.LateAppends--
		l.late = append(l.late, lateAppend{stream: name, data: append([]byte(nil), data...)})
		return 0, logstream.ErrOutcomeUnknown
	}
	offset := l.add(name, data)
	for _, late := range l.late {
		l.add(late.stream, late.data)
	}
	l.late = nil
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, logstream.ErrOutcomeUnknown
	}
	return offset, nil
}

func (l *Log) add(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, logstream.Record{Offset: offset, Time: l.now(), Data: append([]byte(nil), data...)})
	l.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Read implements logstream.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := l.begin(ctx); err != nil {
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
	if err := l.begin(ctx); err != nil {
		return logstream.Page{}, err
	}
	page, _, err = l.read(name, from, limit)
	return page, err
}

func (l *Log) read(name string, from uint64, limit int) (logstream.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	page := logstream.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return page, nil, logstream.ErrTrimmed
	}
	if from >= s.next() {
		return page, s.changed, nil
	}
	rest := s.records[from-s.first:]
	page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	return page, s.changed, nil
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// trim drops the records of a stream that are beyond the retention.
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
		s.first += uint64(excess)
	}
}
