package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a request that waits for a reader of the log, and against lines
// that are left out without a word.
func TestLineWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{release: make(chan struct{})}
	w := NewLineWriter(out, 1_000_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * lineQueue {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	close(out.release)
	w.Close()
	is.True(strings.Contains(out.out.String(), `"event":1613`))
}

// Guards against a log whose volume grows with the load.
func TestLineWriterBoundsTheVolume(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewLineWriter(&out, 1)
	for range 2 * lineBurst {
		_, _ = w.Write([]byte("line\n"))
		if len(w.queue) > lineQueue/2 {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	lines := strings.Count(out.String(), "line\n")
	is.True(lines >= lineBurst)
	is.True(lines < lineBurst+100)
}
