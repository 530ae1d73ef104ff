package obs

import "github.com/sirupsen/logrus"

// Events of engine orders, numbers 1700 to 1799.
var (
	EventOrderLeaseAcquired = register(1700, logrus.InfoLevel, "engine order lease taken",
		"This router gives orders to the engines from now on. No action.")
	EventOrderLeaseLost = register(1701, logrus.InfoLevel, "engine order lease ended",
		"Another router takes over, or the log took no renewal. No action unless no router takes the lease.")
	EventOrderFailed = register(1702, logrus.WarnLevel, "engine order failed",
		"The engine refused an order or did not answer. It is repeated while the engine differs from the catalogue.")
	EventEngineStateUnreadable = register(1703, logrus.WarnLevel, "engine state cannot be read",
		"The engine gets no orders until it can be read again.")
)

// Counters of engine orders.
var (
	OrdersSentTotal   = Counter("engine_orders_sent_total")
	OrdersFailedTotal = Counter("engine_orders_failed_total")
	OrdersFencedTotal = Counter("engine_orders_fenced_total")
	WeightPullsTotal  = Counter("weight_store_pulls_total")
)
