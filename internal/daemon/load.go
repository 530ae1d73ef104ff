package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// loadInterval is the time between two load reports of an upstream. A leaving
	// upstream gets no new work within it and one answer.
	loadInterval = time.Second
	// loadTimeout bounds one report, so that a dead upstream does not delay others.
	loadTimeout = 500 * time.Millisecond
	// loadWorkers bounds the reports read at a time.
	loadWorkers = 32
)

// readLoads passes the upstreams' load reports to the routing until the context
// ends. An upstream that reports none is used as the configuration declares it.
func (d *Daemon) readLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	caches := &cacheReader{client: d.engines, routing: d.routing, last: make(map[string]cachePosition)}
	for {
		workers := pool.New().WithMaxGoroutines(loadWorkers)
		for u := range d.config.Current().Upstreams {
			workers.Go(func() {
				d.readLoad(ctx, u.Name, u.Address)
				if u.Kind == catalogue.KindEngine {
					caches.read(ctx, u.Name, u.Address)
				}
			})
		}
		workers.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) readLoad(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := time.Now()
	report, err := d.engines.Load(ctx, address)
	if err != nil {
		return
	}
	// The upstream measured at some time between question and answer; the earlier
	// one counts what this router sent since twice rather than not at all.
	d.routing.Report(routing.Report{
		Upstream: name, Age: time.Since(asked) + time.Duration(report.AgeMS)*time.Millisecond,
		Incarnation: report.Incarnation, Running: report.Running, Waiting: report.Waiting,
		Concurrency: report.Concurrency, Draining: report.Draining,
	})
}
