package keyedlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Memory is an in-memory Log for tests and for the stand-in of the platform's store.
type Memory struct {
	// FaultHook, if set, is called before each Append, AppendAs, Read and Newest, and after each successful
	// Append and AppendAs. call is "append" (for Append and AppendAs), "read" or "newest". An error before
	// the call prevents it (done is false); an error after it simulates a lost response (done is true).
	FaultHook func(call string, s Stream, done bool) error

	mu sync.Mutex
	// era counts the restorations.
	era     uint64
	streams map[Stream]*memoryStream
}

// MemoryCopy is the content of a Memory at one time.
type MemoryCopy struct{ streams map[Stream]*memoryStream }

// Copy returns a copy of the log.
func (m *Memory) Copy() MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryCopy{cloneStreams(m.streams)}
}

// Restore replaces the content by that of a copy. What was appended since is lost.
func (m *Memory) Restore(c MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams = cloneStreams(c.streams)
	m.era++
}

// CurrentEra returns the number of restorations so far.
func (m *Memory) CurrentEra() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

func cloneStreams(streams map[Stream]*memoryStream) map[Stream]*memoryStream {
	out := make(map[Stream]*memoryStream, len(streams))
	for name, s := range streams {
		c := &memoryStream{
			first: s.first, records: slices.Clone(s.records), newest: maps.Clone(s.newest),
			producers: make(map[string]*memoryProducer, len(s.producers)),
		}
		for id, p := range s.producers {
			c.producers[id] = &memoryProducer{epoch: p.epoch, sequence: p.sequence, ends: maps.Clone(p.ends)}
		}
		out[name] = c
	}
	return out
}

// inEra returns records with their offsets in the present era. The caller holds m.mu.
func (m *Memory) inEra(records []Record) []Record {
	out := slices.Clone(records)
	for i := range out {
		out[i].Offset = OffsetIn(m.era, out[i].Offset)
	}
	return out
}

// memoryStream holds the records of a stream with their positions as offsets.
type memoryStream struct {
	first     uint64
	records   []Record
	newest    map[string]Record
	producers map[string]*memoryProducer
}

// memoryProducer holds the epoch and the sequence number of a producer's last append and, by sequence number,
// the end of the stream after each of its recent appends.
type memoryProducer struct {
	epoch, sequence uint64
	ends            map[uint64]uint64
}

// dedupWindow is the number of a producer's most recent appends for which a retry is detected.
const dedupWindow = 5

// NewMemory returns an empty log.
func NewMemory() *Memory { return &Memory{streams: make(map[Stream]*memoryStream)} }

func (m *Memory) stream(s Stream) *memoryStream {
	if m.streams[s] == nil {
		m.streams[s] = &memoryStream{newest: make(map[string]Record), producers: make(map[string]*memoryProducer)}
	}
	return m.streams[s]
}

func (s *memoryStream) end() uint64 { return s.first + uint64(len(s.records)) }

func (m *Memory) injectFault(call string, s Stream, done bool) error {
	if m.FaultHook == nil {
		return nil
	}
	return m.FaultHook(call, s, done)
}

// Append implements Log.
func (m *Memory) Append(_ context.Context, stream Stream, records []Record, at uint64) (uint64, error) {
	if err := m.injectFault("append", stream, false); err != nil {
		return 0, err
	}
	end, err := m.append(stream, records, at)
	if err != nil {
		return 0, err
	}
	return end, m.injectFault("append", stream, true)
}

// AppendUnconditionally appends records at the end of the stream, without calling the fault hook.
func (m *Memory) AppendUnconditionally(stream Stream, records ...Record) uint64 {
	end, _ := m.append(stream, records, AnyOffset)
	return end
}

func (m *Memory) append(stream Stream, records []Record, at uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	if at != AnyOffset && at != OffsetIn(m.era, s.end()) {
		return 0, ErrConflict
	}
	return OffsetIn(m.era, s.add(records)), nil
}

// AppendAs implements Log. The first append of an epoch may have any sequence number.
func (m *Memory) AppendAs(_ context.Context, stream Stream, records []Record, p Producer) (uint64, error) {
	if err := m.injectFault("append", stream, false); err != nil {
		return 0, err
	}
	end, err := m.appendAs(stream, records, p)
	if err != nil {
		return 0, err
	}
	return end, m.injectFault("append", stream, true)
}

func (m *Memory) appendAs(stream Stream, records []Record, p Producer) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	producer, ok := s.producers[p.ID]
	switch {
	case !ok || p.Epoch > producer.epoch:
		producer = &memoryProducer{epoch: p.Epoch, ends: make(map[uint64]uint64)}
		s.producers[p.ID] = producer
	case p.Epoch < producer.epoch:
		return 0, ErrFenced
	default:
		if end, repeated := producer.ends[p.Sequence]; repeated {
			return OffsetIn(m.era, end), nil
		}
		if p.Sequence != producer.sequence+1 {
			return 0, ErrFenced
		}
	}
	producer.sequence = p.Sequence
	producer.ends[p.Sequence] = s.add(records)
	delete(producer.ends, p.Sequence-dedupWindow)
	return OffsetIn(m.era, s.end()), nil
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

// Trim drops the records before an offset. Newest still returns the newest record of each key.
func (m *Memory) Trim(stream Stream, before uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	if n := min(Position(before), s.end()); n > s.first {
		s.records = slices.Clone(s.records[n-s.first:])
		s.first = n
	}
}

// Read implements Log. It never waits.
func (m *Memory) Read(_ context.Context, stream Stream, from uint64, _ time.Duration) (Page, error) {
	if err := m.injectFault("read", stream, false); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	position, end := Position(from), OffsetIn(m.era, s.end())
	if Era(from) != m.era || position < s.first || position > s.end() {
		return Page{}, ErrTrimmed
	}
	return Page{Records: m.inEra(s.records[position-s.first:]), Next: end, End: end}, nil
}

// Newest implements Log.
func (m *Memory) Newest(_ context.Context, stream Stream) (Page, error) {
	if err := m.injectFault("newest", stream, false); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	end := OffsetIn(m.era, s.end())
	return Page{Records: m.inEra(slices.Collect(maps.Values(s.newest))), Next: end, End: end}, nil
}
