package daemon

import (
	"context"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/admission"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

// admissionAdapter adapts an admission.Controller to httpapi.Admission.
type admissionAdapter struct{ *admission.Controller }

// Admit implements httpapi.Admission.
func (a admissionAdapter) Admit(ctx context.Context, req admission.Request) (httpapi.Ticket, error) {
	ticket, err := a.Controller.Admit(ctx, req)
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

// routingAdapter adapts a routing.Router to httpapi.Routing.
type routingAdapter struct{ *routing.Router }

// Pick implements httpapi.Routing.
func (c routingAdapter) Pick(req routing.Request) (httpapi.Attempt, error) {
	attempt, err := c.Router.Pick(req)
	if err != nil {
		return nil, err
	}
	return attempt, nil
}

// newAdmission returns a controller for this router's quota of the upstreams' capacity.
func (d *Daemon) newAdmission() *admission.Controller {
	return admission.New(admission.Config{Now: time.Now, Capacity: d.capacity, Quotas: equalQuotas{d.memberIndex}})
}

// capacityFactor multiplies a router's equal quota of the capacity, so that a router with more than its quota
// of the traffic can use capacity that the others leave unused. Upstreams queue requests above their
// capacity.
const capacityFactor = 2

// capacity returns how many concurrent requests this router may have at a pool of upstreams.
func (d *Daemon) capacity(pool string) int {
	total, routers := d.routing.Capacity(httpapi.ParsePoolName(pool)), d.routers()
	if routers == 1 {
		return total
	}
	return min(total, (total*capacityFactor+routers-1)/routers)
}

// updateInterval is the time between two checks for a new configuration and for requests that no longer have
// to wait for a rate limit.
const updateInterval = 20 * time.Millisecond

// runUpdates updates routing and admission until the context ends.
func (d *Daemon) runUpdates(ctx context.Context) {
	current := d.config.Current()
	every(ctx, updateInterval, func() {
		current = d.updateRouting(current)
		d.admission.Advance()
	})
}

// updateRouting applies the active configuration if it is not the previous one, and returns it.
func (d *Daemon) updateRouting(previous *catalogue.Snapshot) *catalogue.Snapshot {
	current := d.config.Current()
	if current != previous {
		d.routing.Update(current)
	}
	return current
}

// equalQuotas gives each live router the same quota of a fleet-wide limit. The remainder of an integer limit
// goes to the first routers in order of VM ID, so that routers with the same view of the fleet stay within
// the limit together. A router whose quota of a small limit is 0 admits none of that entry's requests.
type equalQuotas struct{ memberIndex func() (index, routers int) }

// Fraction implements admission.Quotas.
func (q equalQuotas) Fraction(admission.Scope) float64 {
	_, routers := q.memberIndex()
	return 1 / float64(routers)
}

// Count implements admission.Quotas.
func (q equalQuotas) Count(_ admission.Scope, limit int) int {
	index, routers := q.memberIndex()
	quota := limit / routers
	if index < limit%routers {
		quota++
	}
	return quota
}
