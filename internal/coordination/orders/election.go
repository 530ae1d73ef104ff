// Package orders brings the engines to the state that the catalogue declares.
// One holder of a lease in the log gives the orders. The lease's epoch is the
// fencing number of each order.
package orders

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// Times of the lease.
const (
	// LeaseTime is how long a lease is valid, from the time of sending it.
	LeaseTime = 15 * time.Second
	// renewAfter leaves two thirds of the lease for a slow log.
	renewAfter = LeaseTime / 3
	// OrderTimeout bounds one order. No order is sent when less than this is
	// left of the lease, so an order that is sent in time also ends in time.
	OrderTimeout = 3 * time.Second
	// TakeoverWait is how long a new holder waits before it gives orders to an
	// engine that ignores fencing numbers. The old lease was sent before the new
	// one was accepted, so it has ended by then. Engines that check get orders
	// at once.
	TakeoverWait = LeaseTime
)

// Lease is the newest accepted lease.
type Lease struct {
	Epoch  uint64
	Holder record.HolderID
}

// Apply folds a lease record: it is accepted if its epoch is the next one. After
// a gap in what was read, any higher epoch is taken over.
func (l *Lease) Apply(r record.OrderLease, afterGap bool) bool {
	next := r.Epoch == l.Epoch+1 || afterGap && r.Epoch > l.Epoch
	if !next || r.Holder == "" {
		return false
	}
	l.Epoch, l.Holder = r.Epoch, r.Holder
	return true
}

// Election decides when this process appends a lease and when it may give
// orders. It does no I/O and is not safe for concurrent use.
type Election struct {
	self  record.HolderID
	lease Lease
	gap   bool
	// seenAt is when the newest lease was read.
	seenAt time.Time
	// sent is the epoch of the own record whose outcome is open, 0 for none.
	sent   uint64
	sentAt time.Time

	holding    bool
	validUntil time.Time
	// orderFrom is when engines that ignore fencing numbers may get orders.
	orderFrom    time.Time
	takeoverWait time.Duration
}

// NewElection returns an election that has read nothing at the given time.
func NewElection(self record.HolderID, now time.Time) *Election {
	return &Election{self: self, seenAt: now, takeoverWait: TakeoverWait}
}

// Lease returns the newest accepted lease.
func (e *Election) Lease() Lease { return e.lease }

// Observe takes a record of the stream in order.
func (e *Election) Observe(now time.Time, r record.OrderLease) {
	before, gap := e.lease, e.gap
	if !e.lease.Apply(r, e.gap) {
		return
	}
	e.gap = false
	// The wait counts from the end of the other holder's time, also when the
	// answer to the own first lease was lost and it is taken again.
	if r.Holder == e.self && (gap || before.Holder != "" && before.Holder != e.self) {
		e.orderFrom = now.Add(e.takeoverWait)
	}
	e.seenAt = now
	if r.Holder != e.self || r.Epoch != e.sent {
		e.StepDown()
		return
	}
	e.sent = 0
	e.holding, e.validUntil = true, e.sentAt.Add(LeaseTime)
}

// Resume tells the election that records were lost to retention. Appends of
// refused leases stop as soon as their senders have read the stream, so a
// record that is retained names the newest epoch or one below it.
func (e *Election) Resume(now time.Time) {
	e.StepDown()
	e.gap, e.seenAt = true, now
}

// Next returns the record to append now, if any. A candidate takes the lease when
// it has seen no renewal for a lease's time, or at once when the holder is gone
// from the member table. The table may be wrong: fencing numbers and the wait
// keep an old holder that still runs harmless.
func (e *Election) Next(now time.Time, candidate, holderGone bool) (record.OrderLease, bool) {
	if e.holding && !now.Before(e.validUntil) {
		e.StepDown()
	}
	if e.gap {
		// The newest epoch is not known, so any record could be a second lease
		// of an epoch that others have passed.
		return record.OrderLease{}, false
	}
	due := candidate && (e.lease.Holder == "" || holderGone || now.Sub(e.seenAt) >= LeaseTime)
	if e.holding {
		due = now.Sub(e.sentAt) >= renewAfter
	}
	if !due || e.sent == e.lease.Epoch+1 && now.Sub(e.sentAt) < LeaseTime {
		return record.OrderLease{}, false
	}
	e.sent, e.sentAt = e.lease.Epoch+1, now
	return record.OrderLease{Epoch: e.sent, Holder: e.self}, true
}

// StepDown ends the holding at once. It is called on the first failed renewal:
// a log that takes no renewal may already have taken another holder's lease.
func (e *Election) StepDown() { e.holding, e.sent = false, 0 }

// Holding reports whether the process holds the lease.
func (e *Election) Holding(now time.Time) bool { return e.holding && now.Before(e.validUntil) }

// MayOrder returns the fencing number when an order may be sent now.
func (e *Election) MayOrder(now time.Time, checksFencing bool) (epoch uint64, ok bool) {
	if !e.holding || now.Add(OrderTimeout).After(e.validUntil) {
		return 0, false
	}
	if !checksFencing && now.Before(e.orderFrom) {
		return 0, false
	}
	return e.lease.Epoch, true
}
