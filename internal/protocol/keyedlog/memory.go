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
	// FaultHook, when set, is asked before and after each append and read. An error
	// before means that nothing is done; an error after means that the answer is
	// lost.
	FaultHook func(call string, s Stream, done bool) error

	mu      sync.Mutex
	streams map[Stream]*memoryStream
}

type memoryStream struct {
	first     uint64
	records   []Record
	newest    map[string]Record
	producers map[string]*memoryProducer
}

// memoryProducer is the last append of a producer, and the ends after its recent
// ones.
type memoryProducer struct {
	epoch, sequence uint64
	ends            map[uint64]uint64
}

// repeats is the number of a producer's appends of which a repeat is known.
const repeats = 5

// NewMemory returns an empty log.
func NewMemory() *Memory { return &Memory{streams: make(map[Stream]*memoryStream)} }

func (m *Memory) stream(s Stream) *memoryStream {
	if m.streams[s] == nil {
		m.streams[s] = &memoryStream{newest: make(map[string]Record), producers: make(map[string]*memoryProducer)}
	}
	return m.streams[s]
}

func (s *memoryStream) end() uint64 { return s.first + uint64(len(s.records)) }

func (m *Memory) fault(call string, s Stream, done bool) error {
	if m.FaultHook == nil {
		return nil
	}
	return m.FaultHook(call, s, done)
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

// AppendUnconditionally appends without a condition.
func (m *Memory) AppendUnconditionally(name Stream, records ...Record) uint64 {
	end, _ := m.append(name, records, AnyOffset)
	return end
}

func (m *Memory) append(name Stream, records []Record, at uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	if at != AnyOffset && at != s.end() {
		return 0, ErrConflict
	}
	return s.add(records), nil
}

// AppendAs implements Log.
func (m *Memory) AppendAs(_ context.Context, name Stream, records []Record, p Producer) (uint64, error) {
	if err := m.fault("append", name, false); err != nil {
		return 0, err
	}
	end, err := m.appendAs(name, records, p)
	if err != nil {
		return 0, err
	}
	return end, m.fault("append", name, true)
}

func (m *Memory) appendAs(name Stream, records []Record, p Producer) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(name)
	known, ok := s.producers[p.ID]
	switch {
	case !ok || p.Epoch > known.epoch:
		known = &memoryProducer{epoch: p.Epoch, ends: make(map[uint64]uint64)}
		s.producers[p.ID] = known
	case p.Epoch < known.epoch:
		return 0, ErrFenced
	default:
		if end, repeated := known.ends[p.Sequence]; repeated {
			return end, nil
		}
		if p.Sequence != known.sequence+1 {
			return 0, ErrFenced
		}
	}
	known.sequence = p.Sequence
	known.ends[p.Sequence] = s.add(records)
	delete(known.ends, p.Sequence-repeats)
	return s.end(), nil
}

func (s *memoryStream) add(records []Record) uint64 {
	for _, r := range records {
		r.Offset = s.end()
		s.records = append(s.records, r)
		if r.Value == nil {
			delete(s.newest, r.Key)
		} else {
			s.newest[r.Key] = r
		}
	}
	return s.end()
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
