package standins3

import (
	"errors"
	"fmt"
	"time"
)

// MemoryMB is the memory limit in the settings of machines; 0 means that of the small deployments.
var MemoryMB int

// Fleet is the store, the workers and the machines of a case.
type Fleet struct {
	Store   *Store
	Views   []*View
	Routers []*Router
	workers []*Worker
}

// StartFleet starts the store and prepares machines, which are not started.
func StartFleet(folder string, machines int) (*Fleet, error) {
	f := &Fleet{Store: NewStore()}
	ips := IPs(machines)
	for i, ip := range ips {
		v, err := f.Store.NewView()
		if err != nil {
			return nil, err
		}
		r, err := NewRouter(folder, RouterConfig{
			Name: fmt.Sprintf("edge-mu-west-a-%d", i+1), IP: ip, Zone: "mu-west-a", Store: v.Address(), Seeds: Control(ips[:min(3, len(ips))]...), MemoryMB: MemoryMB,
		})
		if err != nil {
			return nil, err
		}
		f.Views, f.Routers = append(f.Views, v), append(f.Routers, r)
	}
	return f, nil
}

// AddWorker starts a worker and registers it as healthy.
func (f *Fleet) AddWorker(id, service string, onRun func(Run)) (*Worker, error) {
	w, err := NewWorker(id, service, len(f.Routers))
	if err != nil {
		return nil, err
	}
	w.OnRun = onRun
	f.workers = append(f.workers, w)
	return w, f.Store.Register(w, "healthy")
}

// StartRouters starts the processes and waits until all are ready.
func (f *Fleet) StartRouters(timeout time.Duration) error {
	for _, r := range f.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.Routers {
			if r.Ready() {
				ready++
			}
		}
		if ready == len(f.Routers) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the machines are not ready in time")
		}
	}
}

// Close ends all that was started.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Kill()
	}
	for _, w := range f.workers {
		w.Close()
	}
	for _, v := range f.Views {
		v.Close()
	}
}
