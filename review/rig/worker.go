package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Worker is a server of a service. It registers itself in the store and serves one handler.
type Worker struct {
	Service, Address string

	rig     *Rig
	handler func(*Worker, *Call)

	mu sync.Mutex
	// id changes with each lifetime.
	id       string
	server   *http.Server
	stop     chan struct{}
	born     time.Time
	sequence int
	conns    map[net.Conn]struct{}
}

// Call is a request that a Worker has read and that is meant for it.
type Call struct {
	W    http.ResponseWriter
	Req  *http.Request
	Body string
	// ID is the ID of the client attempt.
	ID string
	// Router is the machine that sent the request.
	Router string
}

// ID is the ID of the worker's present lifetime.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// Begin sets the headers of the worker's response.
func (w *Worker) Begin(c *Call) {
	c.W.Header().Set("X-Dotterelthread-Attempt-Id", c.ID)
	c.W.Header().Set("X-Dotterelthread-Response-Signature", "mac."+w.ID()+"."+c.ID)
}

// AddWorker starts a worker and registers it.
func (r *Rig) AddWorker(id, service string, handler func(*Worker, *Call)) (*Worker, error) {
	w := &Worker{id: id, Service: service, rig: r, handler: handler}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.Address = l.Addr().String()
	w.serve(l)
	r.Defer(w.Exit)
	return w, nil
}

// serve begins a lifetime of the worker: it listens and writes its entry about every BeatInterval.
func (w *Worker) serve(l net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.sequence, w.stop, w.conns = time.Now(), 0, make(chan struct{}), make(map[net.Conn]struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serveHTTP), ConnState: w.trackConn}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.beat(w.stop)
}

func (w *Worker) trackConn(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

func (w *Worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": w.Service, "address": w.Address, "zone": Zone, "version": "v1", "slots": 64, "state": "healthy",
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		if stop == w.stop {
			w.rig.Store.Put("servers", w.id, entry)
		}
		w.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(BeatInterval):
		}
	}
}

func (w *Worker) serveHTTP(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	c := &Call{W: rw, Req: req, Body: string(body), ID: req.Header.Get("X-Dotterelthread-Attempt-Id"), Router: req.Header.Get("Via-Router")}
	rw.Header().Set("Keep-Alive", "timeout=15")
	if req.URL.Path == "/healthz" {
		rw.Header().Set("X-Dotterelthread-Instance-Id", w.ID())
		return
	}
	if expected := req.Header.Get("X-Dotterelthread-Expected-Instance"); expected != "" && expected != w.ID() {
		rw.Header().Set("X-Dotterelthread-Attempt-Id", c.ID)
		rw.Header().Set("X-Dotterelthread-Instance-Id", w.ID())
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.handler(w, c)
}

// Unregister ends the entry of the worker in the store. The worker continues to serve.
func (w *Worker) Unregister() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.stop = nil
	w.rig.Store.Put("servers", w.id, nil)
}

// Crash ends the worker: its address refuses connections and its open ones are reset. Its entry goes after three liveness
// intervals. The worker is back with a new lifetime after the given time.
func (w *Worker) Crash(back time.Duration) {
	w.mu.Lock()
	server, old := w.server, w.id
	if w.stop == nil {
		// It has crashed already.
		w.mu.Unlock()
		return
	}
	close(w.stop)
	w.stop = nil
	conns := make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	w.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	expire := time.AfterFunc(3*BeatInterval, func() { w.rig.Store.Put("servers", old, nil) })
	time.AfterFunc(back, func() {
		l, err := net.Listen("tcp", w.Address)
		if err != nil {
			w.rig.Logf("worker %s does not come back: %v", old, err)
			return
		}
		if expire.Stop() {
			w.rig.Store.Put("servers", old, nil)
		}
		w.mu.Lock()
		w.id = fmt.Sprintf("%s'", old)
		w.mu.Unlock()
		w.serve(l)
		w.rig.Logf("worker %s is back as %s'", old, old)
	})
}

// Exit ends the worker for good.
func (w *Worker) Exit() {
	w.mu.Lock()
	server := w.server
	if w.stop != nil {
		close(w.stop)
		w.stop = nil
	}
	w.mu.Unlock()
	_ = server.Close()
}
