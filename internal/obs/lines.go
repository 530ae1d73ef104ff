package obs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// DefaultLinesPerSecond bounds the log of a process in the long run.
const DefaultLinesPerSecond = 150

const (
	// lineBurst lets an incident be logged in full.
	lineBurst = 3000
	// lineQueue is the number of lines that wait for a slow reader.
	lineQueue = 2048
)

// LineWriter passes on log lines without ever blocking its caller. Lines over
// the bound, and those that a slow reader does not take, are left out and
// counted; the count is written with the next line.
type LineWriter struct {
	out     io.Writer
	limit   *rate.Limiter
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewLineWriter returns a writer that writes at most linesPerSecond to out.
func NewLineWriter(out io.Writer, linesPerSecond int) *LineWriter {
	w := &LineWriter{
		out: out, limit: rate.NewLimiter(rate.Limit(linesPerSecond), lineBurst),
		queue: make(chan []byte, lineQueue), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It always succeeds.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *LineWriter) drop() {
	w.dropped.Add(1)
	LogLinesDroppedTotal.Add(1)
}

func (w *LineWriter) run() {
	defer close(w.done)
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"event\":%d,\"level\":\"warning\",\"msg\":%q,\"lines\":%d}\n",
				EventLinesDropped.ID, EventLinesDropped.Message, n)
		}
		_, _ = w.out.Write(line) // there is nowhere to report a broken log
	}
}

// Close writes what waits. Nothing may be written after it.
func (w *LineWriter) Close() {
	w.once.Do(func() { close(w.queue) })
	<-w.done
}

// LogLinesDroppedTotal counts the lines that were left out.
var LogLinesDroppedTotal = Counter("log_lines_dropped_total")
