// Package testcrowd plays callers that exhaust a server's memory, for tests that run the server in a process of its own.
// Packages platform and e2e use it.
package testcrowd

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Crowd is a number of callers that send bodies at once and stay connected.
type Crowd struct {
	Address string
	// Callers is the number of connections, and BodyBytes the length of each body.
	Callers, BodyBytes int
	// AnnouncedBytes is the length that is announced, if it is not that of the body.
	AnnouncedBytes int
	// HeadOnly leaves the head of each request without its end.
	HeadOnly bool
	// Piece is the number of bytes per write.
	Piece int
	// ChunkBytes is the size of a chunk; 0 means that the length is announced.
	ChunkBytes int
	// WholeEvery is the interval of callers that send all of their body; the others stop UnsentBytes before its end. 0 means that
	// none does.
	WholeEvery int
	// Head returns the request line and the headers, without those of the body's length, and the first bytes of the body. Both
	// are for the caller with the given number.
	Head func(caller int) (head, bodyStart string)
	// BodyEnd is what a complete body ends with.
	BodyEnd string
}

const (
	// UnsentBytes is how much most callers leave out.
	UnsentBytes = 10
	// sendTimeout ends the sending of a caller whose server does not read.
	sendTimeout = 4 * time.Second
)

// Send connects all callers and lets them send. It returns when each one has sent what it shall, or the server has closed its
// connection, or has not read for sendTimeout. The connections stay open until the returned function is called.
func (c Crowd) Send() (closeAll func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var sends sync.WaitGroup
	for i := range c.Callers {
		sends.Go(func() {
			conn, err := net.Dial("tcp", c.Address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			c.send(conn, i)
		})
	}
	sends.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// send writes one request. An error ends it: the server may refuse the body or close the connection.
func (c Crowd) send(conn net.Conn, caller int) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	head, start := c.Head(caller)
	length := "Content-Length: " + strconv.Itoa(cmp.Or(c.AnnouncedBytes, c.BodyBytes))
	if c.ChunkBytes > 0 {
		length = "Transfer-Encoding: chunked"
	}
	if c.HeadOnly {
		_, _ = io.WriteString(conn, head)
		return
	}
	if _, err := io.WriteString(conn, head+length+"\r\n\r\n"); err != nil {
		return
	}
	body := start + strings.Repeat("x", max(0, c.BodyBytes-len(start)-len(c.BodyEnd))) + c.BodyEnd
	if c.WholeEvery == 0 || caller%c.WholeEvery != 0 {
		body = body[:len(body)-UnsentBytes]
	}
	whole := c.WholeEvery > 0 && caller%c.WholeEvery == 0
	for len(body) > 0 {
		piece := body[:min(len(body), c.Piece)]
		body = body[len(piece):]
		if c.ChunkBytes > 0 {
			piece = chunked(piece, c.ChunkBytes)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	if whole && c.ChunkBytes > 0 {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

func chunked(data string, size int) string {
	var b strings.Builder
	for len(data) > 0 {
		chunk := data[:min(len(data), size)]
		data = data[len(chunk):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return b.String()
}

// Process is a process under test.
type Process struct{ PID int }

// PeakMemory returns the largest resident memory of the process so far, in bytes. It fails once the process has ended.
func (p Process) PeakMemory() (int64, error) { return p.status("VmHWM:") }

// status returns a size from the status of the process, in bytes.
func (p Process) status(name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", p.PID)
}

// Exclusive waits until no other test of this machine that calls it runs, and excludes others until the test ends. Tests of
// several packages run at the same time in processes of their own.
func Exclusive(t testing.TB) {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "dotterelthread-testcrowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() }) // which unlocks it
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}
