package overload

import (
	"sync"
	"time"
)

const (
	// fullInbound is the fraction of the link's bandwidth from which no more connections are accepted, averaged over
	// fullInboundTime. Responses of the log, peers and upstreams arrive on the same link and need the rest.
	fullInbound     = 0.7
	fullInboundTime = 150 * time.Millisecond
	// busyInbound is the fraction from which new connections should go to other routers, averaged over busyInboundTime, and
	// busyInboundHold how long they should do so. A load balancer that returns sooner sends the same callers back.
	busyInbound     = 0.6
	busyInboundTime = 500 * time.Millisecond
	busyInboundHold = 5 * time.Second
)

// Inbound decides when a router takes no more connections because its network link receives too much. Refused requests do
// not relieve the link: their bodies have been sent when the refusal arrives. A caller whose connection is not accepted has
// sent nothing. It is safe for concurrent use.
type Inbound struct {
	bandwidth float64
	now       func() time.Time

	mu sync.Mutex
	// recent and lasting are the used fractions of the bandwidth, averaged over fullInboundTime and busyInboundTime.
	recent, lasting float64
	busyUntil       time.Time
}

// NewInbound returns an Inbound for a link with the given bandwidth in bytes per second. With 0, which means unknown, it is
// never full or busy.
func NewInbound(bandwidth float64, now func() time.Time) *Inbound {
	return &Inbound{bandwidth: bandwidth, now: now}
}

// Sample records the bytes received since the last call, elapsed ago.
func (i *Inbound) Sample(elapsed time.Duration, received int64) {
	if i.bandwidth <= 0 || elapsed <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	use := float64(received) / elapsed.Seconds() / i.bandwidth
	i.recent += (use - i.recent) * min(1, elapsed.Seconds()/fullInboundTime.Seconds())
	i.lasting += (use - i.lasting) * min(1, elapsed.Seconds()/busyInboundTime.Seconds())
	if i.lasting > busyInbound {
		i.busyUntil = i.now().Add(busyInboundHold)
	}
}

// Full reports whether no connection should be accepted at present.
func (i *Inbound) Full() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.recent > fullInbound
}

// Busy reports whether new connections should go to other routers.
func (i *Inbound) Busy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.now().Before(i.busyUntil)
}

// AcceptQueue returns the number of connections that may wait to be accepted, or 0 if the link does not limit it. The kernel
// receives what their callers send, up to a window each, so the queue of a small link is short: the requests of a full
// queue, of mean size meanRequest, take it queueTime.
func (i *Inbound) AcceptQueue() int {
	n := int(i.bandwidth * queueTime.Seconds() / meanRequest)
	if i.bandwidth <= 0 || n >= maxAcceptQueue {
		return 0
	}
	return max(minAcceptQueue, n)
}

const (
	queueTime   = 150 * time.Millisecond
	meanRequest = 3 << 10
	// minAcceptQueue and maxAcceptQueue bound AcceptQueue. From maxAcceptQueue on, the kernel's default is kept.
	minAcceptQueue = 32
	maxAcceptQueue = 1024
)
