// Package membuf holds what upstreams send in buffers that share a limit of memory, so that upstreams which send without
// end cannot exhaust the memory of the process, and counts what callers send towards a limit of their own. Packages relay,
// upstream and httpapi use it.
package membuf

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of a Buffer.
var (
	// ErrLimit reports that the buffers of one upstream, or all buffers, have reached their limit.
	ErrLimit = errors.New("memory for responses is used up")
	// ErrTooLarge reports that the content of one buffer exceeds its maximum.
	ErrTooLarge = errors.New("content is too large")
)

const (
	// freeBytes is the size up to which a buffer does not count, so that small responses are received while large ones
	// use up the limit. The number of requests in progress limits their sum.
	freeBytes = 16 << 10
	// minBytes is the size of a buffer with content.
	minBytes = 512
	// ownerShare is the part of the limit, as its inverse, that the buffers of one owner may use.
	ownerShare = 2
)

// Limiter limits the memory of all its buffers. It is safe for concurrent use. A nil Limiter does not limit.
type Limiter struct {
	limit int64

	mu      sync.Mutex
	used    int64
	byOwner map[string]int64
}

// NewLimiter returns a limiter whose buffers use up to limit bytes together, and those of one owner up to half of that.
func NewLimiter(limit int64) *Limiter {
	return &Limiter{limit: limit, byOwner: make(map[string]int64)}
}

// Used returns the bytes that are in use.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Reserve counts n bytes of an owner that are held elsewhere. They count until Release is called.
func (l *Limiter) Reserve(owner string, n int64) error {
	if l == nil || n <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used+n > l.limit || l.byOwner[owner]+n > l.limit/ownerShare {
		return errors.Wrapf(ErrLimit, "%d bytes in use, %d of them by %s", l.used, l.byOwner[owner], owner)
	}
	l.used += n
	l.byOwner[owner] += n
	return nil
}

// Release stops counting n bytes of an owner.
func (l *Limiter) Release(owner string, n int64) {
	if l == nil || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
	if l.byOwner[owner] -= n; l.byOwner[owner] == 0 {
		delete(l.byOwner, owner)
	}
}

// Buffer holds bytes of one owner, which is an upstream. It is not safe for concurrent use.
type Buffer struct {
	limiter *Limiter
	owner   string
	max     int
	data    []byte
}

// NewBuffer returns an empty buffer for up to max bytes. It must be released after use.
func (l *Limiter) NewBuffer(owner string, max int) *Buffer {
	return &Buffer{limiter: l, owner: owner, max: max}
}

// charge returns the bytes that a buffer of a capacity counts for.
func charge(capacity int) int64 {
	if capacity <= freeBytes {
		return 0
	}
	return int64(capacity)
}

// Write appends to the buffer. It fails, and appends nothing, if the buffer or the limit is full.
func (b *Buffer) Write(p []byte) (int, error) {
	if err := b.grow(len(p)); err != nil {
		return 0, err
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// grow makes room for n more bytes. While the content is copied, the old and the new memory both count.
func (b *Buffer) grow(n int) error {
	need := len(b.data) + n
	if need > b.max {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", b.max)
	}
	if need <= cap(b.data) {
		return nil
	}
	capacity := min(b.max, max(minBytes, need, 2*cap(b.data)))
	if err := b.limiter.Reserve(b.owner, charge(capacity)); err != nil {
		return err
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.limiter.Release(b.owner, charge(cap(b.data)))
	b.data = data
	return nil
}

// ReadAll appends what r returns up to its end.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		// A full buffer grows only if there is more to read.
		var next [1]byte
		free := b.data[len(b.data):cap(b.data)]
		if len(free) == 0 {
			free = next[:]
		}
		n, err := r.Read(free)
		if len(b.data) < cap(b.data) {
			b.data = b.data[:len(b.data)+n]
		} else if _, writeErr := b.Write(next[:n]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Bytes returns the content. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the length of the content.
func (b *Buffer) Len() int { return len(b.data) }

// Reset empties the buffer. It keeps memory that does not count.
func (b *Buffer) Reset() {
	if charge(cap(b.data)) > 0 {
		b.Release()
		return
	}
	b.data = b.data[:0]
}

// Release empties the buffer and stops counting its memory. Releasing a nil buffer does nothing.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	b.limiter.Release(b.owner, charge(cap(b.data)))
	b.data = nil
}
