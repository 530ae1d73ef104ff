// Command 2 shows that a machine sends requests to a server for good that has left the service, if it has read of the
// removal only through another machine that deferred it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/review/rig"
)

const (
	// cutB and cutA are how long the two machines are partitioned from the store. The site's list says 5.5 s.
	cutB = 5500 * time.Millisecond
	cutA = 3300 * time.Millisecond
	// lingers is how long the leaving server serves after its entry was removed: drain_timeout_ms and "at times many
	// seconds".
	lingers = 22 * time.Second
	work    = 200 * time.Millisecond
)

func main() { rig.Main(run) }

type arrival struct {
	at     time.Duration
	router string
}

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	var atLeaving []arrival
	handler := func(w *rig.Worker, c *rig.Call) {
		at := r.Since()
		r.Logf("server %s runs %s from %s", w.ID(), c.ID, c.Router)
		if w.ID() == "i-leaving" {
			mu.Lock()
			atLeaving = append(atLeaving, arrival{at, c.Router})
			mu.Unlock()
		}
		time.Sleep(work)
		w.Begin(c)
		_, _ = fmt.Fprintf(c.W, "order %s posted", c.ID)
	}
	var leaving *rig.Worker
	for _, id := range []string{"i-leaving", "i-stays-1", "i-stays-2", "i-stays-3"} {
		w, err := r.AddWorker(id, "shop-app", handler)
		if err != nil {
			return 0, err
		}
		if id == "i-leaving" {
			leaving = w
		}
	}
	if err := r.Publish(7, []map[string]any{
		rig.Route("work-order", "non_idempotent", "shop-app", 1, time.Second, 150*time.Millisecond, false),
	}); err != nil {
		return 0, err
	}
	if err := r.AddRouters(2); err != nil {
		return 0, err
	}
	a, b := r.Routers[0], r.Routers[1]

	stop := make(chan struct{})
	var clients sync.WaitGroup
	failed := make(map[string]int)
	for _, m := range r.Routers {
		clients.Go(func() {
			var open sync.WaitGroup
			defer open.Wait()
			for n := 0; n < 1200; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				open.Go(func() {
					id := rig.NewAttempt()
					answer := rig.Send(m, http.MethodPost, "/work-order/x", "regrind", id, time.Second, nil)
					r.Logf("client at %s: %s answered %d, error %v", m.Name, id, answer.Status, answer.Err)
					if answer.Status != http.StatusOK || answer.Err != nil {
						mu.Lock()
						failed[fmt.Sprintf("%s status %d", m.Name, answer.Status)]++
						mu.Unlock()
					}
				})
			}
		})
	}

	time.Sleep(2 * time.Second)
	cut := func(m *rig.Router, d time.Duration) {
		if rig.Trouble() {
			m.CutFromStore(d)
		}
	}
	began := r.Since()
	cut(b, cutB)
	time.Sleep(300 * time.Millisecond)
	cut(a, cutA)
	time.Sleep(cutA + 600*time.Millisecond)
	leaving.Unregister()
	acked := r.Since()
	r.Logf("the entry of i-leaving is removed; the store, which is undisturbed, acknowledges it")
	inTouch := began + cutB + rig.Contact
	time.Sleep(lingers)
	leaving.Exit()
	r.Logf("i-leaving exits")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	late := make(map[string]int)
	mu.Lock()
	defer mu.Unlock()
	for _, x := range atLeaving {
		if x.at > max(acked+rig.DrainTimeout, inTouch) {
			late[x.router]++
		}
	}
	r.Logf("requests that reached i-leaving later than %s, when all machines had been in touch and drain_timeout_ms had passed: %v",
		max(acked+rig.DrainTimeout, inTouch), late)
	r.Logf("requests without success: %v", failed)
	fmt.Printf("late arrivals at the server that has left: %v; requests without success: %v\n", late, failed)
	if late[a.Name]+late[b.Name] > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
