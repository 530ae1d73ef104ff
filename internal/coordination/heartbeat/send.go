package heartbeat

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Gaps are the times since the heartbeats of which a successor may find either to be the last one. Which of them it finds is
// not known to the process, so that it must not use more than it may after each of them.
type Gaps struct {
	// SinceConfirmed is the time since the last heartbeat that the log has confirmed. Without one, Confirmed is false: a
	// successor that finds none concludes nothing from it.
	SinceConfirmed time.Duration
	Confirmed      bool
	// SincePending is the time since the heartbeat that is being sent or may still take effect. Without one, Pending is
	// false.
	SincePending time.Duration
	Pending      bool
}

// pendingHeartbeat is a heartbeat that the log has neither confirmed nor refused.
type pendingHeartbeat struct {
	record Record
	// at is when it was created, by the monotonic clock.
	at time.Time
	// mayTakeEffect is true once an attempt to send it had no response.
	mayTakeEffect bool
	// resolve is that of Config.HeartbeatUsage.
	resolve func(tookEffect bool)
}

// Gaps returns the present gaps.
func (m *Monitor) Gaps() (g Gaps) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	if !m.confirmedAt.IsZero() {
		g.SinceConfirmed, g.Confirmed = now.Sub(m.confirmedAt), true
	}
	if m.pending != nil {
		g.SincePending, g.Pending = now.Sub(m.pending.at), true
	}
	return g
}

// send appends one heartbeat, unless the process has left.
func (m *Monitor) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	producer, ok := m.nextProducer()
	if !ok {
		return nil
	}
	next := m.nextHeartbeat()
	value, err := cbor.Marshal(next.record)
	if err != nil {
		m.drop(next)
		return errors.Wrap(err, "encode heartbeat")
	}
	end, err := m.cfg.Log.AppendAs(ctx, m.cfg.Stream, []keyedlog.Record{{Key: m.cfg.VM, Value: value}}, producer)
	if err == nil {
		m.confirm(next, producer, end)
		return nil
	}
	obs.HeartbeatsFailedTotal.Add(1)
	switch {
	case errors.Is(err, keyedlog.ErrFenced):
		m.raiseEpoch(producer)
	case !errors.Is(err, keyedlog.ErrUnavailable):
		m.noteUnknownOutcome(next, err)
	case !next.mayTakeEffect:
		m.drop(next)
	}
	return err
}

// nextProducer returns the producer for the pending heartbeat or the next one. ok is false once the process has left.
func (m *Monitor) nextProducer() (p keyedlog.Producer, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.producer
	p.Sequence++
	return p, !m.hasLeft
}

// raiseEpoch raises the epoch after the log has refused it. The time of day was set back, or the log was restored from a copy
// that lacks the last heartbeats.
func (m *Monitor) raiseEpoch(refused keyedlog.Producer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasLeft {
		m.producer = refused.Raised(m.refusals)
		m.refusals++
	}
}

// nextHeartbeat returns the heartbeat to send, which counts as pending from then on. One without a response may still take
// effect, so it is sent again unchanged: the gap that a successor measures from it must not be shorter than
// Gaps.SincePending.
//
// The heartbeat counts as pending before HeartbeatUsage is called. Once the usage is collected, the process can thus use no
// more than that and what the time since then allows.
func (m *Monitor) nextHeartbeat() *pendingHeartbeat {
	m.mu.Lock()
	if m.pending != nil {
		defer m.mu.Unlock()
		return m.pending
	}
	next := &pendingHeartbeat{record: m.cfg.Self, at: m.cfg.Now(), resolve: func(bool) {}}
	next.record.Timestamp = m.cfg.Timestamp()
	m.pending = next
	m.mu.Unlock()
	if m.cfg.HeartbeatUsage != nil {
		next.record.Usage, next.resolve = m.cfg.HeartbeatUsage()
	}
	next.record.Notice = m.notice()
	if m.cfg.Unreachable != nil {
		next.record.Unreachable = m.cfg.Unreachable()
	}
	if m.cfg.Demand != nil {
		next.record.Demand = m.cfg.Demand()
	}
	return next
}

func (m *Monitor) notice() []byte {
	if m.cfg.Notice == nil {
		return nil
	}
	return m.cfg.Notice()
}

// confirm records that the pending heartbeat took effect. The usage is resolved before the gap, so that at no time the usage of
// an earlier heartbeat counts with the gap of this one.
func (m *Monitor) confirm(h *pendingHeartbeat, producer keyedlog.Producer, end uint64) {
	h.resolve(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt, m.pending, m.refusals = h.at, nil, 0
	if !m.hasLeft {
		m.producer = producer
	}
	m.cfg.Self.Previous, m.cfg.Self.PreviousEnd = h.record.Timestamp, end
}

// drop records that the pending heartbeat took no effect and never will.
func (m *Monitor) drop(h *pendingHeartbeat) {
	h.resolve(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
}

// noteUnknownOutcome records that the pending heartbeat may have taken effect, or may still do so.
func (m *Monitor) noteUnknownOutcome(h *pendingHeartbeat, err error) {
	if !h.mayTakeEffect {
		gaps := m.Gaps()
		obs.EventHeartbeatUnconfirmed.Log(m.cfg.Logger, logrus.Fields{
			"pending_ms": gaps.SincePending.Milliseconds(), "confirmed": gaps.Confirmed,
			"confirmed_ms": gaps.SinceConfirmed.Milliseconds(), "reported": len(h.record.Usage), "error": err.Error(),
		})
	}
	h.mayTakeEffect = true
}
