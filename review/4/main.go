// Command 4 shows that a request which crashes the servers that begin to run it reaches servers too often, if copies of it
// come at the same time: of crashes at the same time only one counts.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/review/rig"
)

const (
	servers = 12
	// copies is how often the client repeats the deadly request at once, each time at another machine, and waves how often
	// it comes back.
	copies    = 4
	waves     = 4
	waveEvery = 5 * time.Second
	// begins is the time from the arrival to the first event, at which a request starts to run.
	begins = 30 * time.Millisecond
	// back is how long a crashed server is away: some seconds.
	back = 4 * time.Second
	// allowed is the number of retries that may reach servers later than contact_ms after the third crash.
	allowed = 3
	deadly  = "deadly"
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	var arrivals, crashes []time.Duration
	// crashed holds the lifetimes that have crashed. Copies that run at the same server crash it once.
	crashed := make(map[string]bool)
	handler := func(w *rig.Worker, c *rig.Call) {
		r.Logf("server %s gets %s (%s) from %s", w.ID(), c.ID, c.Body, c.Router)
		if c.Body == deadly {
			mu.Lock()
			arrivals = append(arrivals, r.Since())
			mu.Unlock()
		}
		time.Sleep(begins)
		if rig.Trouble() && c.Body == deadly {
			mu.Lock()
			if !crashed[w.ID()] {
				crashed[w.ID()] = true
				crashes = append(crashes, r.Since())
			}
			mu.Unlock()
			r.Logf("server %s begins to run %s and crashes", w.ID(), c.ID)
			w.Crash(back)
			panic(http.ErrAbortHandler)
		}
		w.Begin(c)
		_, _ = fmt.Fprintf(c.W, "order %s posted", c.ID)
	}
	for i := range servers {
		if _, err := r.AddWorker(fmt.Sprintf("i-%d", i+1), "shop-app", handler); err != nil {
			return 0, err
		}
	}
	if err := r.Publish(7, []map[string]any{
		rig.Route("work-order", "non_idempotent", "shop-app", 1, time.Second, 150*time.Millisecond, false),
	}); err != nil {
		return 0, err
	}
	if err := r.AddRouters(copies); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	answers := make(map[string]int)
	for range waves {
		var wave sync.WaitGroup
		for _, m := range r.Routers {
			wave.Go(func() {
				id := rig.NewAttempt()
				answer := rig.Send(m, http.MethodPost, "/work-order/x", deadly, id, time.Second, nil)
				r.Logf("client at %s: the deadly request, as %s, answered %d, error %v", m.Name, id, answer.Status, answer.Err)
				mu.Lock()
				answers[fmt.Sprint(answer.Status)]++
				mu.Unlock()
			})
		}
		wave.Wait()
		time.Sleep(waveEvery)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at > crashes[2]+rig.Contact {
				late++
			}
		}
	}
	r.Logf("%d arrivals, %d crashes; arrivals later than contact_ms after the third crash: %d, allowed %d; statuses %v",
		len(arrivals), len(crashes), late, allowed, answers)
	fmt.Printf("%d crashes; arrivals later than contact_ms after the third crash: %d, allowed %d; statuses %v\n", len(crashes), late, allowed, answers)
	if late > allowed {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
