package obs

import "github.com/sirupsen/logrus"

// Events of engine orders, numbers 1700 to 1799.
var (
	EventOrderLeaseAcquired = register(1700, logrus.InfoLevel, "engine order lease acquired",
		"This router sends the orders to the engines from now on. No action.")
	EventOrderLeaseLost = register(1701, logrus.InfoLevel, "engine order lease ended",
		"Another router has it, or the log accepted no renewal. No action unless no router acquires the lease.")
	EventOrderFailed = register(1702, logrus.WarnLevel, "engine order failed",
		"The engine refused it or did not respond. It is repeated while the engine differs from the catalogue.")
	EventEngineStateUnreadable = register(1703, logrus.WarnLevel, "engine state cannot be read",
		"The engine gets no orders until its state can be read again.")
)

var (
	// OrdersSentTotal counts orders to engines, OrdersFailedTotal those that failed, and OrdersFencedTotal those
	// that an engine refused because of a stale fencing token.
	OrdersSentTotal   = newMetric("engine_orders_sent_total")
	OrdersFailedTotal = newMetric("engine_orders_failed_total")
	OrdersFencedTotal = newMetric("engine_orders_fenced_total")
	// WeightPullsTotal counts orders that make an engine pull weights from the weight store.
	WeightPullsTotal = newMetric("weight_store_pulls_total")
)
