package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

const (
	// newConnectionPart is the part of a listener's connections, as its inverse, that is kept free for new ones.
	newConnectionPart = 16
	// roomCheckInterval is the time between two checks of that.
	roomCheckInterval = 20 * time.Millisecond
	// roomEventInterval is the shortest time between two events about ended requests.
	roomEventInterval = time.Second
)

// keepRoom closes connections that wait for a request, or whose requests make no progress, when there are hardly any left for new
// callers, who would otherwise wait until another caller closes its connection. It returns when the context ends.
func keepRoom(ctx context.Context, listener *netopt.LimitedListener, callers *httpapi.KeptConns, logger logrus.FieldLogger) {
	room := max(1, listener.Limit()/newConnectionPart)
	var loggedAt time.Time
	every(ctx, roomCheckInterval, func() {
		free := listener.Limit() - listener.Open()
		if free >= room {
			return
		}
		idle, stalled := callers.MakeRoom(room - free)
		obs.IdleConnectionsClosedTotal.Add(int64(idle))
		obs.StalledConnectionsClosedTotal.Add(int64(stalled))
		if stalled > 0 && time.Since(loggedAt) >= roomEventInterval {
			loggedAt = time.Now()
			obs.EventConnectionsUsedUp.Log(logger, logrus.Fields{
				"limit": listener.Limit(), "stalled": obs.StalledConnectionsClosedTotal.Value(), "idle": obs.IdleConnectionsClosedTotal.Value(),
			})
		}
	})
}
