// Package orders reconciles the engines with the state that the catalogue declares. The routers elect one of
// them by a lease in the orders stream of the platform's log, and only this holder sends orders to engines.
// The epoch of the lease is the fencing token of each order. The daemon runs a Manager; package upstream
// implements Control over HTTP.
//
// An engine is an upstream that runs models. A catalogue.EngineOrder is the desired state of an engine; an
// Order is one change of its state that is sent to it.
package orders

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Durations of the lease.
const (
	// LeaseDuration is how long a lease is valid, counted from when its append was sent.
	LeaseDuration = 15 * time.Second
	// renewAfter is the age at which a lease is renewed. It leaves two thirds of the lease for a slow log.
	renewAfter = LeaseDuration / 3
	// OrderTimeout limits the time of one order, and the time to read the states of all engines. No order is
	// sent when less than this is left of the lease, so every order ends within the lease.
	OrderTimeout = 3 * time.Second
	// TakeoverWait is how long a new holder waits before it sends orders to an engine that ignores fencing
	// tokens. The old lease was sent before the new one was accepted, so it has expired by then. Engines that
	// check fencing tokens get orders at once.
	TakeoverWait = LeaseDuration
)

// Lease is the latest accepted lease.
type Lease struct {
	Epoch  uint64
	Holder record.HolderID
}

// Apply applies a lease record and reports whether it is accepted. It is accepted if its epoch is the next
// one. After a gap, which is a range of records that were trimmed unread, any higher epoch is accepted.
func (l *Lease) Apply(r record.OrderLease, afterGap bool) bool {
	next := r.Epoch == l.Epoch+1 || afterGap && r.Epoch > l.Epoch
	if !next || r.Holder == "" {
		return false
	}
	l.Epoch, l.Holder = r.Epoch, r.Holder
	return true
}

// Election decides when this process appends a lease and when it may send orders. It does no I/O and is not
// safe for concurrent use.
type Election struct {
	self  record.HolderID
	lease Lease
	// afterGap is true from a gap in the records until the next accepted lease.
	afterGap bool
	// leaseSeenAt is when the latest accepted lease was read, or when the last gap was found. At first it is
	// the start time of the Election.
	leaseSeenAt time.Time
	// sentEpoch is the epoch of this process's lease record that has been sent but not yet read back; 0 for
	// none.
	sentEpoch uint64
	sentAt    time.Time

	holding    bool
	validUntil time.Time
	// ordersWithoutFencingFrom is the time from which engines that ignore fencing tokens may get orders.
	ordersWithoutFencingFrom time.Time
	takeoverWait             time.Duration
}

// NewElection returns an Election that starts at the given time and has read no records.
func NewElection(self record.HolderID, now time.Time) *Election {
	return &Election{self: self, leaseSeenAt: now, takeoverWait: TakeoverWait}
}

// Lease returns the latest accepted lease.
func (e *Election) Lease() Lease { return e.lease }

// Observe applies the next record of the stream.
func (e *Election) Observe(now time.Time, r record.OrderLease) {
	before, gap := e.lease, e.afterGap
	if !e.lease.Apply(r, e.afterGap) {
		return
	}
	e.afterGap = false
	// The takeover wait begins when the lease passes to this process from another holder, or may have done so
	// in a gap. A renewal does not restart it, nor does taking the lease again after the response to an
	// append was lost.
	if r.Holder == e.self && (gap || before.Holder != "" && before.Holder != e.self) {
		e.ordersWithoutFencingFrom = now.Add(e.takeoverWait)
	}
	e.leaseSeenAt = now
	if r.Holder != e.self || r.Epoch != e.sentEpoch {
		e.StepDown()
		return
	}
	e.sentEpoch = 0
	e.holding, e.validUntil = true, e.sentAt.Add(LeaseDuration)
}

// ObserveGap tells the election that the log has trimmed records that it had not read, so it does not know
// the newest epoch. It then accepts the next lease with any epoch above the last known one. A process appends
// only the epoch after that of the newest lease it has read, so a refused record never has an epoch above the
// accepted one at its place in the stream. A process that has read to the end stops appending refused
// records, so a retained record is expected to have the accepted epoch at its place or the one below it.
func (e *Election) ObserveGap(now time.Time) {
	e.StepDown()
	e.afterGap, e.leaseSeenAt = true, now
}

// Next returns the lease record to append now, if any. A candidate takes the lease when it has seen no
// renewal for LeaseDuration, or at once when there is no lease yet or the holder has left the member table.
// The table may be wrong: if the old holder still runs, fencing tokens and the takeover wait make its orders
// harmless. After a gap Next returns no record until a lease is accepted.
func (e *Election) Next(now time.Time, candidate, holderGone bool) (record.OrderLease, bool) {
	if e.holding && !now.Before(e.validUntil) {
		e.StepDown()
	}
	if e.afterGap {
		// The latest epoch is not known. A record could repeat an epoch that others have already passed.
		return record.OrderLease{}, false
	}
	due := candidate && (e.lease.Holder == "" || holderGone || now.Sub(e.leaseSeenAt) >= LeaseDuration)
	if e.holding {
		due = now.Sub(e.sentAt) >= renewAfter
	}
	if !due || e.sentEpoch == e.lease.Epoch+1 && now.Sub(e.sentAt) < LeaseDuration {
		return record.OrderLease{}, false
	}
	e.sentEpoch, e.sentAt = e.lease.Epoch+1, now
	return record.OrderLease{Epoch: e.sentEpoch, Holder: e.self}, true
}

// StepDown ends this process's lease in memory: the process sends no more orders, and ignores its own lease
// record if it reads that record later. Nothing is written to the log. It is called when the lease has
// expired or another one was accepted, when the log has trimmed records unread, when an engine refuses a
// stale fencing token, and at the first error of the log, which may already have accepted another holder's
// lease.
func (e *Election) StepDown() { e.holding, e.sentEpoch = false, 0 }

// Holding reports whether the process holds the lease.
func (e *Election) Holding(now time.Time) bool { return e.holding && now.Before(e.validUntil) }

// MayOrder returns the fencing token for an order, and whether an order may be sent now. checksFencing tells
// whether the engine checks fencing tokens.
func (e *Election) MayOrder(now time.Time, checksFencing bool) (epoch uint64, ok bool) {
	if !e.holding || now.Add(OrderTimeout).After(e.validUntil) {
		return 0, false
	}
	if !checksFencing && now.Before(e.ordersWithoutFencingFrom) {
		return 0, false
	}
	return e.lease.Epoch, true
}
