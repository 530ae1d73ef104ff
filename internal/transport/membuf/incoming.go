package membuf

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled reports a request that was ended before it was complete, because it made no progress while others needed its memory
// or its connection.
var ErrStalled = errors.New("the request made no progress while others needed its memory or its connection")

const (
	// stallTime is how long an incomplete request may make no progress before it is ended for others. A caller whose packets
	// are retransmitted twice is slower than that only for a moment, and loses nothing while memory is left.
	stallTime = 500 * time.Millisecond
	// progressBytes is what counts as progress, so that a caller which sends single bytes counts as stalled.
	progressBytes = 4 << 10
	// scanInterval is the shortest time between two searches for stalled requests.
	scanInterval = 20 * time.Millisecond
	// releaseTimeout is how long a request waits for the memory of those that were ended for it. Their goroutines only have to
	// return from a read.
	releaseTimeout = 250 * time.Millisecond
)

// bodyPart is the largest body as a part of the limit, as its inverse: one that grows is held twice while it is copied, and
// its content may be held once more while it is parsed.
const bodyPart = 3

// Incoming limits the memory of the requests of all callers together, from their first bytes until they are answered. It is safe
// for concurrent use. A nil Incoming does not limit.
type Incoming struct {
	limit int64
	now   func() time.Time

	mu   sync.Mutex
	used int64
	// ending is the part of used that belongs to requests that were ended and have not released it.
	ending     int64
	incomplete map[*Hold]struct{}
	nextScan   time.Time
	// freed is closed when memory is released.
	freed chan struct{}
}

// NewIncoming returns an Incoming for up to limit bytes.
func NewIncoming(limit int64, now func() time.Time) *Incoming {
	return &Incoming{limit: limit, now: now, incomplete: make(map[*Hold]struct{}), freed: make(chan struct{})}
}

// Used returns the bytes that are in use.
func (in *Incoming) Used() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used
}

// MaxBody returns the largest body that a request may have without being refused in an idle process, at most the given size.
func (in *Incoming) MaxBody(size int64) int64 {
	if in == nil {
		return size
	}
	return min(size, in.limit/bodyPart)
}

// Hold is the memory of one request. Its methods are safe for concurrent use, and do nothing on a nil Hold.
type Hold struct {
	in *Incoming
	// end makes the reads of the request fail.
	end func()

	// The fields are protected by in.mu.
	used       int64
	progressed time.Time
	// unmarked is what has arrived since progressed.
	unmarked int64
	// waiting is true while the request waits for memory; it cannot make progress then.
	waiting, ended bool
}

// NewHold returns the memory of a request that is complete until Begin is called. end makes the reads of the request fail. It
// may be called by any goroutine, and must not call a method of the Hold.
func (in *Incoming) NewHold(end func()) *Hold {
	if in == nil {
		return nil
	}
	return &Hold{in: in, end: end}
}

// Begin notes that the request is incomplete, so that it may be ended for others.
func (h *Hold) Begin() {
	if h == nil {
		return
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	if _, ok := h.in.incomplete[h]; !ok && !h.ended {
		h.in.incomplete[h] = struct{}{}
		h.progressed, h.unmarked = h.in.now(), 0
	}
}

// Complete notes that all of the request has arrived. It returns ErrStalled if the request has been ended before.
func (h *Hold) Complete() error {
	if h == nil {
		return nil
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	delete(h.in.incomplete, h)
	if h.ended {
		return ErrStalled
	}
	return nil
}

// Ended reports whether the request was ended for others.
func (h *Hold) Ended() bool {
	if h == nil {
		return false
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	return h.ended
}

// Stalled reports whether the request is incomplete and has made no progress for stallTime, and since when.
func (h *Hold) Stalled() (since time.Time, stalled bool) {
	if h == nil {
		return time.Time{}, false
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	_, incomplete := h.in.incomplete[h]
	return h.progressed, incomplete && h.stalled(h.in.now())
}

// stalled is called with the lock held. A request that waits for memory cannot make progress.
func (h *Hold) stalled(now time.Time) bool {
	return !h.waiting && now.Sub(h.progressed) >= stallTime
}

// EndStalled ends the request for others if it has stalled, and reports whether it has.
func (h *Hold) EndStalled() bool {
	if h == nil || !h.markStalled() {
		return false
	}
	h.end()
	return true
}

func (h *Hold) markStalled() bool {
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	_, incomplete := h.in.incomplete[h]
	if !incomplete || !h.stalled(h.in.now()) {
		return false
	}
	h.markEnded()
	return true
}

// markEnded is called with the lock held, before end.
func (h *Hold) markEnded() {
	h.ended = true
	h.in.ending += h.used
	delete(h.in.incomplete, h)
}

// Progress notes that bytes of the request have arrived.
func (h *Hold) Progress(n int) {
	if h == nil || n <= 0 {
		return
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	if h.unmarked += int64(n); h.unmarked >= progressBytes {
		h.progressed, h.unmarked = h.in.now(), 0
	}
}

// Grow counts n more bytes. If the memory is used up, it ends requests that make no progress and waits for their memory. Its
// errors are ErrLimit and, if the request itself was ended, ErrStalled.
func (h *Hold) Grow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	defer h.setWaiting(false)
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	for {
		granted, ended, freed, err := h.tryGrow(n)
		for _, other := range ended {
			other.end()
		}
		if granted || err != nil {
			return err
		}
		select {
		case <-freed:
		case <-timeout.C:
			return errors.Wrap(ErrLimit, "memory of ended requests is not released")
		}
	}
}

// tryGrow counts n more bytes if there is room. Otherwise it returns the requests to end, whose memory leaves enough once freed
// has been closed, or an error.
func (h *Hold) tryGrow(n int64) (granted bool, ended []*Hold, freed <-chan struct{}, err error) {
	in := h.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if h.ended {
		return false, nil, nil, ErrStalled
	}
	if in.used+n <= in.limit {
		in.used += n
		h.used += n
		return true, nil, nil, nil
	}
	h.waiting = true
	if in.used-in.ending+n > in.limit {
		ended = in.endStalled(n)
	}
	if in.used-in.ending+n > in.limit {
		err = errors.Wrapf(ErrLimit, "%d bytes of callers' requests are in use", in.used)
	}
	return false, ended, in.freed, err
}

// endStalled marks requests without progress as ended, those without it for longest first, until there is room for n bytes or
// none is left. It is called with the lock held.
func (in *Incoming) endStalled(n int64) (ended []*Hold) {
	now := in.now()
	if now.Before(in.nextScan) {
		return nil
	}
	in.nextScan = now.Add(scanInterval)
	var stalled []*Hold
	for h := range in.incomplete {
		if h.used > 0 && h.stalled(now) {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(a, b *Hold) int { return a.progressed.Compare(b.progressed) })
	for _, h := range stalled {
		if in.used-in.ending+n <= in.limit {
			break
		}
		h.markEnded()
		ended = append(ended, h)
	}
	return ended
}

func (h *Hold) setWaiting(waiting bool) {
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	h.waiting = waiting
}

// Release stops counting n bytes.
func (h *Hold) Release(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.in.mu.Lock()
	defer h.in.mu.Unlock()
	h.release(n)
}

// release is called with the lock held.
func (h *Hold) release(n int64) {
	h.in.used -= n
	h.used -= n
	if h.ended {
		h.in.ending -= n
	}
	close(h.in.freed)
	h.in.freed = make(chan struct{})
}

// Body is the complete body of a request. A nil Body is empty.
type Body struct {
	hold    *Hold
	data    []byte
	charged int64
}

// ReadBody reads a body of up to limit bytes. announced is the length that the caller states, which only limits what is allocated
// in advance; -1 means that it states none. Bodies up to freeBytes do not count. Its errors are those of r, ErrTooLarge, ErrLimit
// and ErrStalled; after an error the memory is released. An error of r after the request was ended is an ErrStalled.
func (h *Hold) ReadBody(r io.Reader, limit, announced int64) (*Body, error) {
	h.Begin()
	b := &Body{hold: h}
	err := b.read(r, limit, announced)
	if stalled := h.Complete(); stalled != nil {
		err = errors.CombineErrors(stalled, err)
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) read(r io.Reader, limit, announced int64) error {
	if announced > limit {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	for !b.hold.Ended() {
		// A full buffer grows only if there is more to read.
		var next [1]byte
		free := b.data[len(b.data):cap(b.data)]
		if len(free) == 0 {
			free = next[:]
		}
		n, err := r.Read(free)
		b.hold.Progress(n)
		if len(b.data) < cap(b.data) {
			b.data = b.data[:len(b.data)+n]
		} else if n > 0 {
			if growErr := b.grow(limit, announced); growErr != nil {
				return growErr
			}
			b.data = append(b.data, next[0])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ErrStalled
}

// grow makes room for at least one more byte. While the content is copied, the old and the new memory both count.
func (b *Body) grow(limit, announced int64) error {
	need := int64(len(b.data)) + 1
	if need > limit {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	capacity := min(limit, max(minBytes, 2*int64(cap(b.data))))
	if announced >= need {
		capacity = min(capacity, announced)
	}
	if err := b.hold.Grow(charge(int(capacity))); err != nil {
		return err
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.hold.Release(b.charged)
	b.data, b.charged = data, charge(int(capacity))
	return nil
}

// Bytes returns the content.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// GrowCopies counts copies of the content that are made of it, until the returned function is called. Its error is ErrLimit.
func (b *Body) GrowCopies(copies int64) (release func(), err error) {
	n := copies * charge(len(b.Bytes()))
	if n == 0 {
		return func() {}, nil
	}
	if err := b.hold.Grow(n); err != nil {
		return nil, err
	}
	return func() { b.hold.Release(n) }, nil
}

// Release empties the body and stops counting its memory.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.hold.Release(b.charged)
	b.data, b.charged = nil, 0
}
