package membuf

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against upstreams that send without end and together use more memory than the limit, and against one of them that
// uses all of it.
func TestEndlessContentsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	l := NewLimiter(limit)
	for i := range 100 {
		b := l.NewBuffer("faulty", 1<<30)
		is.True(errors.Is(b.ReadAll(endless{}), ErrLimit))
		is.True(l.Used() <= limit/ownerShare)
		if i%2 == 0 {
			b.Release()
		}
	}
	sound := l.NewBuffer("sound", 1<<20)
	is.NoErr(sound.ReadAll(strings.NewReader(strings.Repeat("x", 100<<10))))
	small := l.NewBuffer("faulty", 1<<20)
	is.NoErr(small.ReadAll(strings.NewReader(strings.Repeat("x", freeBytes))))
}

// Guards against memory that still counts after its buffer was released, or counts less than it is, for any order of
// operations, and against changed content.
func TestCountsWhatBuffersHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLimiter(200 << 10)
		var buffers []*Buffer
		var contents [][]byte
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(buffers) == 0 || rapid.Bool().Draw(rt, "new") {
				buffers = append(buffers, l.NewBuffer(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner"), 80<<10))
				contents = append(contents, nil)
			}
			i := rapid.IntRange(0, len(buffers)-1).Draw(rt, "buffer")
			data := bytes.Repeat([]byte{byte(i)}, rapid.IntRange(0, 40<<10).Draw(rt, "size"))
			switch rapid.IntRange(0, 3).Draw(rt, "operation") {
			case 0:
				if _, err := buffers[i].Write(data); err == nil {
					contents[i] = append(contents[i], data...)
				}
			case 1:
				if buffers[i].ReadAll(iotest.HalfReader(bytes.NewReader(data))) == nil {
					contents[i] = append(contents[i], data...)
				} else {
					contents[i] = bytes.Clone(buffers[i].Bytes())
				}
			case 2:
				buffers[i].Reset()
				contents[i] = nil
			default:
				buffers[i].Release()
				contents[i] = nil
			}
			held := int64(0)
			for j, b := range buffers {
				held += charge(cap(b.data))
				if !bytes.Equal(b.Bytes(), contents[j]) {
					rt.Fatalf("buffer %d has other content", j)
				}
			}
			if l.Used() != held {
				rt.Fatalf("%d bytes count, %d are held", l.Used(), held)
			}
		}
		for _, b := range buffers {
			b.Release()
		}
		if l.Used() != 0 || len(l.byOwner) != 0 {
			rt.Fatalf("%d bytes count after the release, owners %v", l.Used(), l.byOwner)
		}
	})
}

// Guards against content that is cut at the maximum of a buffer and taken for complete.
func TestMaximumIsExact(t *testing.T) {
	is := is.New(t)
	for _, r := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.DataErrReader} {
		var l *Limiter
		is.NoErr(l.NewBuffer("a", 1000).ReadAll(r(strings.NewReader(strings.Repeat("x", 1000)))))
		is.True(errors.Is(l.NewBuffer("a", 1000).ReadAll(r(strings.NewReader(strings.Repeat("x", 1001)))), ErrTooLarge))
	}
}
