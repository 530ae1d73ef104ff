// Command 5 shows that requests run without a valid key once a configuration has taken the last tenant away.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/review/rig"
)

const (
	// apply is config_apply_ms.
	apply = 2 * time.Second
	// forged is a key that no configuration ever held.
	forged    = "a-key-that-was-never-given-to-anyone"
	sends     = 60
	sendEvery = 200 * time.Millisecond
	// changeAt is the number of sends after which the operator takes the tenant away.
	changeAt = 20
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	ran := make(map[string]string)
	handler := func(w *rig.Worker, c *rig.Call) {
		tenant := c.Req.Header.Get("X-Dotterelthread-Tenant")
		r.Logf("server %s runs %s from %s for tenant %q", w.ID(), c.ID, c.Router, tenant)
		mu.Lock()
		ran[c.ID] = tenant
		mu.Unlock()
		w.Begin(c)
		_, _ = fmt.Fprintf(c.W, "order %s posted", c.ID)
	}
	for i := range 4 {
		if _, err := r.AddWorker(fmt.Sprintf("i-%d", i+1), "shop-app", handler); err != nil {
			return 0, err
		}
	}
	routes := []map[string]any{
		rig.Route("work-order", "non_idempotent", "shop-app", 1, time.Second, 150*time.Millisecond, false),
	}
	if err := r.Publish(7, routes); err != nil {
		return 0, err
	}
	if err := r.AddRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var changed time.Time
	dropped, never := 0, 0
	statuses := make(map[string]int)
	for n := range sends {
		if n == changeAt && rig.Trouble() {
			if err := r.PublishFor(9, routes, []any{}); err != nil {
				return 0, err
			}
			changed = time.Now()
			r.Logf("configuration 9 has no tenant any more")
		}
		m := r.Routers[n%len(r.Routers)]
		inForce := !changed.IsZero() && time.Since(changed) > apply
		for _, key := range []string{rig.Key, forged} {
			id := rig.NewAttempt()
			answer := rig.Send(m, http.MethodPost, "/work-order/x", "regrind", id, time.Second, map[string]string{"Authorization": "Bearer " + key})
			mu.Lock()
			tenant, hasRun := ran[id]
			mu.Unlock()
			r.Logf("client at %s: %s with the key %s answered %d, error %v, run %v for tenant %q", m.Name, id, key, answer.Status, answer.Err, hasRun, tenant)
			statuses[fmt.Sprintf("%s %d", map[bool]string{true: "held key", false: "forged key"}[key == rig.Key], answer.Status)]++
			switch {
			case !hasRun:
			case key == forged:
				never++
			case inForce:
				dropped++
			}
		}
		time.Sleep(sendEvery)
	}
	r.Logf("requests that ran with a key that no configuration ever held: %d; that ran with a dropped key later than config_apply_ms after the ack: %d; statuses %v", never, dropped, statuses)
	fmt.Printf("requests that ran with a key that no configuration ever held: %d; with a dropped key later than config_apply_ms after the ack: %d; statuses %v\n", never, dropped, statuses)
	if never+dropped > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
