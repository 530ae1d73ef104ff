package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a slow reader of the log that blocks requests, and against dropped lines that are not
// reported.
func TestLineWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewLineWriter(out, 1_000_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * lineQueueSize {
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

// Guards against a log volume that grows with the load.
func TestLineWriterBoundsTheVolume(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewLineWriter(&out, 1)
	for range 2 * lineBurstSize {
		_, _ = w.Write([]byte("line\n"))
		// Wait for the writer, so that lines are dropped only because of the rate limit.
		if len(w.queue) > lineQueueSize/2 {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	lines := strings.Count(out.String(), "line\n")
	is.True(lines >= lineBurstSize)
	is.True(lines < lineBurstSize+100) // the limit adds one line for each second of the test
}
