package membuf

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// stoppedBody is a body that stops short of its end until its reads are ended.
type stoppedBody struct {
	sent  io.Reader
	ended chan struct{}
}

func (s stoppedBody) Read(p []byte) (int, error) {
	if n, _ := s.sent.Read(p); n > 0 {
		return n, nil
	}
	<-s.ended
	return 0, io.ErrUnexpectedEOF
}

// Guards against a crowd of stopped bodies that holds the memory, and against one that makes progress and is ended for others.
func TestStalledBodiesAreEndedForOthers(t *testing.T) {
	is := is.New(t)
	const size, limit = 64 << 10, 1 << 20
	var mu sync.Mutex
	now := time.Unix(0, 0)
	in := NewIncoming(limit, func() time.Time { mu.Lock(); defer mu.Unlock(); return now })
	var bodies sync.WaitGroup
	results := make(chan error, 100)
	for in.Used()+2*size <= limit { // a body that grows counts twice
		before, body := in.Used(), stoppedBody{strings.NewReader(strings.Repeat("x", size-1)), make(chan struct{})}
		h := in.NewHold(func() { close(body.ended) })
		bodies.Go(func() {
			_, err := h.ReadBody(body, size, size)
			results <- err
		})
		for range 1000 {
			if in.Used() == before+size {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	read := func() error {
		body, err := in.NewHold(func() {}).ReadBody(strings.NewReader(strings.Repeat("x", size)), size, -1)
		body.Release()
		return err
	}
	is.True(errors.Is(read(), ErrLimit)) // none has stalled yet
	_, err := in.NewHold(nil).ReadBody(strings.NewReader(strings.Repeat("x", freeBytes)), size, -1)
	is.NoErr(err) // a small body does not count
	mu.Lock()
	now = now.Add(stallTime)
	mu.Unlock()
	is.NoErr(read())
	is.True(errors.Is(<-results, ErrStalled))
	in.mu.Lock()
	left := slices.Collect(maps.Keys(in.incomplete))
	in.mu.Unlock()
	for _, h := range left {
		h.end()
	}
	bodies.Wait()
	is.Equal(in.Used(), int64(0))
	is.Equal(in.ending, int64(0))
}

// Guards against memory that still counts after a request, or that exceeds the limit, for any sizes, announced lengths and
// ends of requests, and against changed content or a body over the maximum.
func TestIncomingCountsWhatBodiesHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit, largest = 400 << 10, 100 << 10
		in := NewIncoming(limit, time.Now)
		var bodies []*Body
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			content := bytes.Repeat([]byte{byte(len(bodies))}, rapid.IntRange(0, 120<<10).Draw(rt, "size"))
			announced := rapid.SampledFrom([]int64{-1, int64(len(content)), 1, largest}).Draw(rt, "announced")
			h := in.NewHold(func() {})
			body, err := h.ReadBody(iotest.HalfReader(bytes.NewReader(content)), largest, announced)
			switch {
			case len(content) > largest && err == nil, announced > largest && !errors.Is(err, ErrTooLarge):
				rt.Fatalf("%d bytes, %d announced: %v", len(content), announced, err)
			case err == nil && !bytes.Equal(body.Bytes(), content):
				rt.Fatal("other content")
			case err == nil:
				bodies = append(bodies, body)
			}
			held := int64(0)
			for _, b := range bodies {
				held += charge(cap(b.data))
			}
			if in.Used() != held || held > limit {
				rt.Fatalf("%d bytes count, %d are held", in.Used(), held)
			}
			if len(bodies) > 0 && rapid.Bool().Draw(rt, "release") {
				bodies[0].Release()
				bodies = bodies[1:]
			}
		}
		for _, b := range bodies {
			b.Release()
		}
		if in.Used() != 0 || len(in.incomplete) != 0 {
			rt.Fatalf("%d bytes count after the release, %d requests are incomplete", in.Used(), len(in.incomplete))
		}
	})
}

// Guards against a body of the largest legal size that is refused although nothing else is in progress, and against memory that
// an announced length alone takes.
func TestLargestBodyFitsAlone(t *testing.T) {
	is := is.New(t)
	const limit = 36 << 20
	in := NewIncoming(limit, time.Now)
	largest := in.MaxBody(1 << 40)
	for _, announced := range []int64{-1, largest} {
		body, err := in.NewHold(nil).ReadBody(strings.NewReader(strings.Repeat("x", int(largest))), largest, announced)
		is.NoErr(err)
		release, err := body.GrowCopies(bodyPart - 1)
		is.NoErr(err)
		release()
		body.Release()
	}
	body, err := in.NewHold(nil).ReadBody(strings.NewReader("x"), largest, largest)
	is.NoErr(err)
	is.Equal(in.Used(), int64(0))
	body.Release()
}
