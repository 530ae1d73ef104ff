package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

// admitter makes a controller an httpapi.Admission.
type admitter struct{ *admission.Controller }

// Admit implements httpapi.Admission.
func (a admitter) Admit(ctx context.Context, req admission.Request) (httpapi.Ticket, error) {
	ticket, err := a.Controller.Admit(ctx, req)
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

// chooser makes a router an httpapi.Routing.
type chooser struct{ *routing.Router }

// Pick implements httpapi.Routing.
func (c chooser) Pick(req routing.Request) (httpapi.Attempt, error) {
	attempt, err := c.Router.Pick(req)
	if err != nil {
		return nil, err
	}
	return attempt, nil
}

// newAdmission returns a controller for this router's part of the capacity.
func (d *Daemon) newAdmission() *admission.Controller {
	return admission.New(admission.Config{Now: time.Now, Capacity: d.capacity, Quotas: equalParts{d.place}})
}

// capacitySlack lets a router that gets more than its part of the traffic use
// what the others leave; the upstreams queue what comes together.
const capacitySlack = 2

// capacity returns how many requests this router may have at a pool at a time.
func (d *Daemon) capacity(pool string) int {
	all, routers := d.routing.Capacity(httpapi.ParsePoolName(pool)), d.routers()
	if routers == 1 {
		return all
	}
	return min(all, (all*capacitySlack+routers-1)/routers)
}

// advanceInterval is the time between two looks at a new configuration and at
// requests that wait for a rate limit.
const advanceInterval = 20 * time.Millisecond

// advance keeps routing and admission up to date until the context ends.
func (d *Daemon) advance(ctx context.Context) {
	current := d.config.Current()
	every(ctx, advanceInterval, func() {
		current = d.updateRouting(current)
		d.admission.Advance()
	})
}

// updateRouting takes over a configuration that is newer than the given one.
func (d *Daemon) updateRouting(known *catalogue.Snapshot) *catalogue.Snapshot {
	current := d.config.Current()
	if current != known {
		d.routing.Update(current)
	}
	return current
}

// equalParts gives each live router the same part of a fleet-wide limit. The
// rest of a limit on a number goes to the first routers in order of VM id, so
// that routers with the same view stay within the limit together. A router
// whose part of a small limit is 0 admits none of that entry's requests.
type equalParts struct{ place func() (index, routers int) }

// Fraction implements admission.Parts.
func (p equalParts) Fraction(admission.Scope) float64 {
	_, routers := p.place()
	return 1 / float64(routers)
}

// Count implements admission.Parts.
func (p equalParts) Count(_ admission.Scope, limit int) int {
	index, routers := p.place()
	part := limit / routers
	if index < limit%routers {
		part++
	}
	return part
}
