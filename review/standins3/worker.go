package standins3

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const headerPrefix = "X-Dotterelthread-"

// Run is a request that a worker has begun to work on.
type Run struct {
	ID, Worker, Service string
	// Machine is the index of the machine that has sent it.
	Machine int
	At      time.Time
	Body    string
	URI     string
	// Input is the number of prompt tokens that the request states.
	Input int64
}

// Worker is one worker of a service. Each machine reaches it at an address of its own, so that the path of one machine can
// be cut.
type Worker struct {
	ID, Service string
	Slots       int
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// EventTime is the time between two events of a stream.
	EventTime time.Duration
	// TokensPerEvent is the number of tokens in an event.
	TokensPerEvent int64
	// Leaving makes the worker say in all its answers that it leaves.
	Leaving atomic.Bool
	// OnArrival is called for each request that reaches the worker.
	OnArrival func(Run)
	// OnRun is called for each request that the worker begins to work on.
	OnRun func(Run)

	born   int64
	active atomic.Int64
	// firstEvent is the time until the first event of a stream, in nanoseconds.
	firstEvent atomic.Int64
	paths      []*path
}

// path is the way of one machine to the worker.
type path struct {
	worker  *Worker
	machine int
	address string

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
}

type machineKey struct{}

// NewWorker returns a worker that the given number of machines reach.
func NewWorker(id, service string, machines int) (*Worker, error) {
	w := &Worker{ID: id, Service: service, Slots: 64, WorkTime: 15 * time.Millisecond, born: time.Now().UnixMilli()}
	for i := range machines {
		p := &path{worker: w, machine: i, conns: make(map[net.Conn]struct{})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p.address = l.Addr().String()
		p.serve(l)
		w.paths = append(w.paths, p)
	}
	return w, nil
}

// SetFirstEvent sets the time until the first event of a stream.
func (w *Worker) SetFirstEvent(d time.Duration) { w.firstEvent.Store(int64(d)) }

// Address is the worker's address for a machine.
func (w *Worker) Address(machine int) string { return w.paths[machine].address }

func (p *path) serve(l net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = &http.Server{
		Handler: p.worker,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, machineKey{}, p.machine)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			p.mu.Lock()
			defer p.mu.Unlock()
			switch s {
			case http.StateNew:
				p.conns[c] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(p.conns, c)
			}
		},
	}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
}

// Cut ends the path of a machine to the worker: open connections are reset, and new ones are refused.
func (w *Worker) Cut(machine int) {
	p := w.paths[machine]
	p.mu.Lock()
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	server := p.server
	p.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
}

// Restore ends the cut of a path.
func (w *Worker) Restore(machine int) error {
	l, err := net.Listen("tcp", w.paths[machine].address)
	if err != nil {
		return err
	}
	w.paths[machine].serve(l)
	return nil
}

// Exit ends the worker as the end of its process does.
func (w *Worker) Exit() {
	for machine := range w.paths {
		w.Cut(machine)
	}
}

// Close ends the worker.
func (w *Worker) Close() {
	for _, p := range w.paths {
		_ = p.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	machine, _ := r.Context().Value(machineKey{}).(int)
	id := r.Header.Get(headerPrefix + "Attempt-Id")
	h := rw.Header()
	h.Set(headerPrefix+"Attempt-Id", id)
	h.Set(headerPrefix+"Instance-Id", w.ID)
	h.Set("Keep-Alive", "timeout=15")
	if w.Leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	input, output, streams := tokenUsage(r)
	run := Run{ID: id, Worker: w.ID, Service: w.Service, Machine: machine, At: time.Now(), Body: string(body), URI: r.RequestURI, Input: input}
	if w.OnArrival != nil {
		w.OnArrival(run)
	}
	if expected := r.Header.Get(headerPrefix + "Expected-Instance"); expected != "" && expected != w.ID {
		h.Set(headerPrefix+"Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	active := w.active.Add(1)
	defer w.active.Add(-1)
	h.Set(headerPrefix+"Instance-Load", fmt.Sprintf("%d,0,%d", min(active, int64(w.Slots)), w.Slots))
	if active > int64(w.Slots) {
		h.Set(headerPrefix+"Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if w.OnRun != nil {
		w.OnRun(run)
	}
	if streams {
		w.stream(rw, r, output)
		return
	}
	select {
	case <-time.After(w.WorkTime):
	case <-r.Context().Done():
		return
	}
	text := "done by " + w.ID
	h.Set(headerPrefix+"Response-Signature", "3e1b."+w.ID)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// tokenUsage returns the numbers of prompt tokens and of output tokens at most that a request states.
func tokenUsage(r *http.Request) (input, output int64, ok bool) {
	in, out, ok := strings.Cut(r.Header.Get(headerPrefix+"Token-Usage"), ",")
	input, errIn := strconv.ParseInt(in, 10, 64)
	output, errOut := strconv.ParseInt(out, 10, 64)
	return input, output, ok && errIn == nil && errOut == nil
}

// stream sends the events of a stream, with numbers from 1, behind the last one that the request names.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, output int64) {
	first, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // 0 for a new stream
	pause := time.Duration(w.firstEvent.Load())
	rw.Header().Set(headerPrefix+"Response-Signature", "3e1b."+w.ID)
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= max(1, output/w.TokensPerEvent); i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		pause = w.EventTime
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, r.Header.Get(headerPrefix+"Attempt-Id")); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}
