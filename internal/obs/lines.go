package obs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// DefaultLinesPerSecond limits the average rate of log lines of a process.
const DefaultLinesPerSecond = 150

const (
	// lineBurstSize is the number of lines above the average rate that an incident can log without losses.
	lineBurstSize = 3000
	// lineQueueSize is the number of lines that can wait for a slow reader.
	lineQueueSize = 2048
)

// LineWriter writes log lines in the background and never blocks its caller. It drops lines above the rate
// limit and lines that do not fit into the queue because the reader is slow. The number of dropped lines is
// written before the next line; lines dropped after the last written line appear only in LogLinesDroppedTotal.
type LineWriter struct {
	out       io.Writer
	limiter   *rate.Limiter
	queue     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewLineWriter returns a writer that writes linesPerSecond lines to out on average, at most.
func NewLineWriter(out io.Writer, linesPerSecond int) *LineWriter {
	w := &LineWriter{
		out: out, limiter: rate.NewLimiter(rate.Limit(linesPerSecond), lineBurstSize),
		queue: make(chan []byte, lineQueueSize), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It returns no error, even if it drops the line.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *LineWriter) countDropped() {
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
		_, _ = w.out.Write(line) // there is nowhere to report a failed write to the log
	}
}

// Close writes the queued lines and returns. Write must not be called afterwards.
func (w *LineWriter) Close() {
	w.closeOnce.Do(func() { close(w.queue) })
	<-w.done
}

// LogLinesDroppedTotal counts the lines that a LineWriter dropped.
var LogLinesDroppedTotal = newMetric("log_lines_dropped_total")
