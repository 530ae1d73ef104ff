package standins3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a client has seen of a request.
type Answer struct {
	ID     string
	SentAt time.Time
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Client sends requests, each on a connection of its own.
type Client struct {
	Host, Key string
	// Prefix begins the IDs of the attempts.
	Prefix string
	n      atomic.Int64
}

// Do sends a request with a body to a machine and reads its answer. The client waits for the given time. The headers are lines
// that end with a line break.
func (c *Client) Do(address, method, path, headers, body string, wait time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("%s-%d", c.Prefix, c.n.Add(1))}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.SentAt, a.Err = time.Now(), err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sAttempt-Id: %s\r\n%sDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, c.Host, headerPrefix, a.ID, headerPrefix, wait.Milliseconds(), c.Key)
	text += headers
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.SentAt = time.Now()
	if _, a.Err = io.WriteString(conn, text+"\r\n"+body); a.Err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(data), err
	return a
}

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Line writes a line with the time since the start in seconds.
func (r *Record) Line(format string, args ...any) { r.LineAt(time.Now(), format, args...) }

// LineAt is Line for a given time.
func (r *Record) LineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
