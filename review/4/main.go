// Command 4 shows that a request which crashes the servers that begin to run it is sent on without end, if the crash comes
// after the second event of the stream.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/review/rig"
)

const (
	servers = 6
	// crashAfter is the number of events after which the deadly request crashes the server, and eventEvery the time
	// between two events. An engine of the site makes an event of 7 tokens in 20 ms or more.
	crashAfter = 4
	eventEvery = 25 * time.Millisecond
	events     = 12
	// back is how long a crashed server is away: some seconds.
	back = 4 * time.Second
	// sends is how often the deadly request comes, every sendEvery, at one machine after the other.
	sends     = 24
	sendEvery = 1500 * time.Millisecond
	// allowed is the number of retries that may reach servers later than contact_ms after the third crash.
	allowed = 3
	deadly  = "deadly"
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	var arrivals, crashes []time.Duration
	handler := func(w *rig.Worker, c *rig.Call) {
		crashing := rig.Trouble() && c.Body == deadly
		r.Logf("server %s begins to run %s (%s) from %s", w.ID(), c.ID, c.Body, c.Router)
		if c.Body == deadly {
			mu.Lock()
			arrivals = append(arrivals, r.Since())
			mu.Unlock()
		}
		w.Begin(c)
		c.W.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(c.W)
		for i := 1; i <= events; i++ {
			time.Sleep(eventEvery)
			if crashing && i > crashAfter {
				mu.Lock()
				crashes = append(crashes, r.Since())
				mu.Unlock()
				r.Logf("server %s crashes as it runs %s", w.ID(), c.ID)
				w.Crash(back)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(c.W, "id: %d\ndata: %s %d\n\n", i, c.ID, i)
			if control.Flush() != nil {
				return
			}
		}
	}
	for i := range servers {
		if _, err := r.AddWorker(fmt.Sprintf("i-%d", i+1), "setter-llm", handler); err != nil {
			return 0, err
		}
	}
	if err := r.Publish(7, []map[string]any{
		rig.Route("bench-query", "streaming", "setter-llm", 1, 12*time.Second, 500*time.Millisecond, false),
	}); err != nil {
		return 0, err
	}
	if err := r.AddRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	answers := make(map[string]int)
	for n := range sends {
		m := r.Routers[n%len(r.Routers)]
		id := rig.NewAttempt()
		answer := rig.Send(m, http.MethodPost, "/bench-query/ask", deadly, id, 12*time.Second, rig.Prompt(628, 300, "5c1e07a2:119,91bd3f06:79,e4402b7d:430"))
		got, _ := rig.Events(answer.Body)
		r.Logf("client at %s: the deadly request, as %s, answered %d with %d events, error %v", m.Name, id, answer.Status, len(got), answer.Err)
		answers[fmt.Sprint(answer.Status)]++
		time.Sleep(sendEvery)
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
	r.Logf("%d sends, %d arrivals, %d crashes; arrivals later than contact_ms after the third crash: %d, allowed %d; statuses %v",
		sends, len(arrivals), len(crashes), late, allowed, answers)
	fmt.Printf("%d crashes; arrivals later than contact_ms after the third crash: %d, allowed %d; statuses %v\n", len(crashes), late, allowed, answers)
	if late > allowed {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
