package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

const (
	// loadInterval is the time between two reads of an upstream's load report. An upstream that starts to drain
	// may get new work until its next report has been read: for this interval and one response, or longer if
	// reads of other upstreams time out.
	loadInterval = time.Second
	// loadTimeout limits the read of one report or of one batch of cache events, so that an unresponsive
	// upstream does not delay others.
	loadTimeout = 500 * time.Millisecond
	// loadWorkers limits the upstreams that are read at a time.
	loadWorkers = 32
)

// readLoads passes the upstreams' load reports and the engines' cache events to the routing until the context
// ends. An upstream without reports is used as the configuration declares it.
func (d *Daemon) readLoads(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	caches := &cacheReader{client: d.engines, routing: d.routing, positions: make(map[string]cachePosition)}
	for {
		workers := pool.New().WithMaxGoroutines(loadWorkers)
		for u := range d.config.Current().Upstreams {
			workers.Go(func() {
				d.readLoad(ctx, u.Name, u.Address)
				if u.Kind == catalogue.KindEngine {
					caches.readEvents(ctx, u.Name, u.Address)
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
	sent := time.Now()
	report, err := d.engines.Load(ctx, address)
	if err != nil {
		return
	}
	// The upstream measured its load at some time between the request and the response. Assuming the earliest
	// time may count twice what this router has sent since; assuming a later one may miss it.
	d.routing.Report(routing.Report{
		Upstream: name, Age: time.Since(sent) + time.Duration(report.AgeMS)*time.Millisecond,
		Incarnation: report.Incarnation, Running: report.Running, Waiting: report.Waiting,
		Concurrency: report.Concurrency, Draining: report.Draining,
	})
}
