package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: &l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Bytes and CPU time of one HTTP call of the log, without the overhead of TCP. Client and stand-in run in the
// same process, so the CPU time is the sum of both.
func BenchmarkLogCall(b *testing.B) {
	ctx := context.Background()
	data := make([]byte, 900)
	calls := []struct {
		name string
		call func(*logclient.Client) error
	}{
		{"read at the end", func(c *logclient.Client) error {
			_, err := c.Read(ctx, "ledger-12", 2, 256, 0)
			return err
		}},
		{"read one record of 900 bytes", func(c *logclient.Client) error {
			_, err := c.Read(ctx, "ledger-12", 1, 256, 0)
			return err
		}},
		{"append 900 bytes", func(c *logclient.Client) error {
			_, err := c.Append(ctx, "bills-12", data)
			return err
		}},
	}
	for _, call := range calls {
		b.Run(call.name, func(b *testing.B) {
			log := NewLog()
			if _, err := log.Append(ctx, "ledger-12", data); err != nil {
				b.Fatal(err)
			}
			benchmarkCalls(b, LogHandler(log), call.call)
		})
	}
}

// Bytes and CPU time of one read of the VM list, which each router reads every 2 s.
func BenchmarkVMListCall(b *testing.B) {
	for _, vms := range []int{9, 380} { // a small fleet and the target fleet size
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			list := NewVMList(0, time.Now)
			for i := range vms {
				list.Put(vmlist.VM{
					ID: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.1.%d.%d", i/250, i%250),
					Zone: fmt.Sprintf("mu-west-%d", i%4), Region: "mu-west", State: vmlist.StateLive,
				})
			}
			benchmarkCalls(b, list.Handler(), func(c *logclient.Client) error {
				_, err := c.VMs(context.Background())
				return err
			})
		})
	}
}

// benchmarkCalls reports the bytes and the CPU time of one call of a handler.
func benchmarkCalls(b *testing.B, handler http.Handler, call func(*logclient.Client) error) {
	server := httptest.NewUnstartedServer(handler)
	counter := &countingListener{Listener: server.Listener}
	server.Listener = counter
	server.Start()
	defer server.Close()
	client := logclient.New(server.URL)
	began := cpuTime(b)
	for b.Loop() {
		if err := call(client); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N)/1000, "cpu-us/call")
	b.ReportMetric(float64(counter.bytes.Load())/float64(b.N), "B/call")
}
