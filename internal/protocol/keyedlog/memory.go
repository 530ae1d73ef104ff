package keyedlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Memory is a Log in memory, for tests and for a router that runs alone.
type Memory struct {
	// Fault, when set, is asked before and after each append and read. An error
	// before means that nothing is done; an error after means that the answer is
	// lost.
	Fault func(call string, s Stream, done bool) error

	mu      sync.Mutex
	streams map[Stream]*memoryStream
}

type memoryStream struct {
	first   uint64
	records []Record
	newest  map[string]Record
}

// NewMemory returns an empty log.
func NewMemory() *Memory { return &Memory{streams: make(map[Stream]*memoryStream)} }

func (m *Memory) stream(s Stream) *memoryStream {
	if m.streams[s] == nil {
		m.streams[s] = &memoryStream{newest: make(map[string]Record)}
	}
	return m.streams[s]
}

func (s *memoryStream) end() uint64 { return s.first + uint64(len(s.records)) }

func (m *Memory) fault(call string, s Stream, done bool) error {
	if m.Fault == nil {
		return nil
	}
	return m.Fault(call, s, done)
}

// Append implements Log.
func (m *Memory) Append(_ context.Context, name Stream, records []Record, at uint64) (uint64, error) {
	if err := m.fault("append", name, false); err != nil {
		return 0, err
	}
	end, err := m.append(name, records, at)
	if err != nil {
		return 0, err
	}
	return end, m.fault("append", name, true)
}

// Publish appends without a condition.
func (m *Memory) Publish(name Stream, records ...Record) uint64 {
	end, _ := m.append(name, records, Anywhere)
	return end
}

func (m *Memory) append(name Stream, records []Record, at uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	if at != Anywhere && at != s.end() {
		return 0, ErrConflict
	}
	for _, r := range records {
		r.Offset = s.end()
		s.records = append(s.records, r)
		if r.Value == nil {
			delete(s.newest, r.Key)
		} else {
			s.newest[r.Key] = r
		}
	}
	return s.end(), nil
}

// Trim drops the records before an offset; the newest of each key stays.
func (m *Memory) Trim(name Stream, before uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	if n := min(before, s.end()); n > s.first {
		s.records = slices.Clone(s.records[n-s.first:])
		s.first = n
	}
}

// Read implements Log. It does not wait.
func (m *Memory) Read(_ context.Context, name Stream, from uint64, _ time.Duration) (Page, error) {
	if err := m.fault("read", name, false); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	if from < s.first {
		return Page{}, ErrTrimmed
	}
	from = min(from, s.end())
	return Page{Records: slices.Clone(s.records[from-s.first:]), Next: s.end(), End: s.end()}, nil
}

// Newest implements Log.
func (m *Memory) Newest(_ context.Context, name Stream) (Page, error) {
	if err := m.fault("newest", name, false); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	return Page{Records: slices.Collect(maps.Values(s.newest)), Next: s.end(), End: s.end()}, nil
}
