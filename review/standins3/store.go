package standins3

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/platform/standin"
)

// Store is the platform's store. Each machine has an address of its own for it, where the entries of workers bear the
// addresses at which this machine reaches them.
type Store struct {
	log *standin.Store

	mu    sync.Mutex
	views []*View
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{log: standin.NewStore()} }

// View is the store as one machine sees it.
type View struct {
	store   *Store
	workers *standin.Store
	address string
	server  *http.Server

	mu sync.Mutex
	// busy makes the store answer this machine 503, and silent not at all. Nothing is done then.
	busy, silent bool
	// endReads ends the reads that wait; served counts the calls in progress.
	endReads context.CancelFunc
	reads    context.Context
	served   sync.WaitGroup
}

// NewView adds the view of one machine.
func (s *Store) NewView() (*View, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &View{store: s, workers: standin.NewStore(), address: l.Addr().String()}
	v.reads, v.endReads = context.WithCancel(context.Background())
	v.server = &http.Server{Handler: v}
	go func() { _ = v.server.Serve(l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, v)
	return v, nil
}

// Address is the store's address for the machine.
func (v *View) Address() string { return v.address }

// SetBusy sets whether the store turns the machine away with 503. Reads that wait are answered with what there is before.
func (v *View) SetBusy(busy bool) { v.set(busy, false) }

// SetSilent is SetBusy for a store that does not answer the machine.
func (v *View) SetSilent(silent bool) { v.set(false, silent) }

func (v *View) set(busy, silent bool) {
	v.mu.Lock()
	v.busy, v.silent = busy, silent
	v.endReads()
	v.reads, v.endReads = context.WithCancel(context.Background())
	v.mu.Unlock()
	if busy || silent {
		v.served.Wait()
	}
}

// Close ends the view.
func (v *View) Close() { _ = v.server.Close() }

// plainWriter leaves out the header that the store has on deployments that restore it, which these are not.
type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// ServeHTTP implements http.Handler.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	busy, silent, reads := v.busy, v.silent, v.reads
	if !busy && !silent {
		v.served.Add(1)
	}
	v.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.served.Done()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(reads, cancel)()
	r = r.WithContext(ctx)
	if r.URL.Query().Get("topic") == "keyed.servers" {
		v.workers.ServeHTTP(plainWriter{w}, r)
		return
	}
	v.store.log.ServeHTTP(plainWriter{w}, r)
}

// PutConfig writes a configuration, as the operator does, and returns when the store has accepted it.
func (s *Store) PutConfig(config any) (acknowledged time.Time, err error) {
	data, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	s.log.Put("op", "config", data)
	return time.Now(), nil
}

// Register writes the entry of a worker, as it does itself.
func (s *Store) Register(w *Worker, state string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, v := range s.views {
		data, err := json.Marshal(map[string]any{
			"service": w.Service, "address": w.Address(i), "zone": "mu-west-a", "version": "v1", "slots": w.Slots, "state": state,
			"cold_remaining_ms": 0, "sequence": 1, "born": w.born,
		})
		if err != nil {
			return err
		}
		v.workers.Put("servers", w.ID, data)
	}
	return nil
}

// Remove removes the entry of a worker.
func (s *Store) Remove(w *Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.views {
		v.workers.Put("servers", w.ID, nil)
	}
}
