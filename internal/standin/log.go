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
}

// LogFaults are the faults of a Log.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers makes that many appends take effect and then fail.
	LoseAnswers int `json:"lose_answers"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
	// Retain is the number of records kept per stream; 0 keeps all.
	Retain int `json:"retain"`
}

type stream struct {
	first   uint64
	records []logstream.Record
	changed chan struct{}
}

// NewLog returns an empty log without faults.
func NewLog() *Log { return &Log{streams: make(map[string]*stream)} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.trim(f.Retain)
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
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, logstream.Record{Offset: offset, Time: time.Now(), Data: append([]byte(nil), data...)})
	s.trim(l.faults.Retain)
	close(s.changed)
	s.changed = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, logstream.ErrOutcomeUnknown
	}
	return offset, nil
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

func (s *stream) trim(retain int) {
	if excess := len(s.records) - retain; retain > 0 && excess > 0 {
		s.records = append([]logstream.Record(nil), s.records[excess:]...)
		s.first += uint64(excess)
	}
}
