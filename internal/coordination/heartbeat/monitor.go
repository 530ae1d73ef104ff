// Package heartbeat sends the heartbeats of a router to a keyed log, tracks which routers are
// alive, and bounds the last heartbeat gap of the process that ran on the VM before. daemon.Gateway
// runs a Monitor; package prepaid uses the gaps.
//
// Each router renews one record, its heartbeat, in a keyed stream. Every router reads the live
// routers from the stream. A process that starts on a VM finds the last heartbeat of its
// predecessor, the process that ran on the VM before, in the stream. The clocks and the other
// routers bound the time for which the predecessor can have continued after it. This time is the
// predecessor's last heartbeat gap.
package heartbeat

import (
	"bytes"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Record is a router's heartbeat.
type Record struct {
	Process string `cbor:"1,keyasint"`
	// Address is the address of the router for its peers.
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	// Timestamp is not later than the append.
	Timestamp Timestamp `cbor:"4,keyasint"`
	// Previous is the timestamp of the process's previous heartbeat, and PreviousEnd the end of the
	// stream after it.
	Previous    Timestamp `cbor:"5,keyasint"`
	PreviousEnd uint64    `cbor:"6,keyasint,omitempty"`
	// Usage is what Config.HeartbeatUsage returned for this heartbeat.
	Usage map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Notice is what Config.Notice returned for this heartbeat.
	Notice []byte `cbor:"8,keyasint,omitempty"`
	// Left is true in the last record of a process that has returned its shares. It replaces the removal of the
	// record if there is a notice.
	Left bool `cbor:"9,keyasint,omitempty"`
	// HopAddress is where the router accepts requests that other routers pass on; empty if it does not.
	HopAddress string `cbor:"10,keyasint,omitempty"`
	// Unreachable is what Config.Unreachable returned for this heartbeat.
	Unreachable []string `cbor:"11,keyasint,omitempty"`
	// Demand is what Config.Demand returned for this heartbeat. Any CBOR item is accepted here, so that a malformed demand
	// does not make the record malformed.
	Demand cbor.RawMessage `cbor:"12,keyasint,omitempty"`
}

// Config configures a Monitor.
type Config struct {
	Log    keyedlog.Log
	Stream keyedlog.Stream
	// VM is the name of this VM. At most one process of a VM runs at a time.
	VM string
	// Self is this process's record without timestamps.
	Self Record
	// Interval is the least time between two heartbeats. In a large fleet it is longer, see
	// fleetHeartbeatsPerSecond.
	Interval time.Duration
	// MaxProvableGap limits the proof: an upper bound of the predecessor's last gap is used only if
	// it is lower.
	MaxProvableGap time.Duration
	// Timestamp reads the clocks of the VM.
	Timestamp func() Timestamp
	Now       func() time.Time
	// HeartbeatUsage returns the usage that a heartbeat reports: the used tokens of each share of
	// which more is used than a base limit that a successor may find in the log, which only a gap allows. It is called when the
	// heartbeat counts as pending. resolve is called once it is known whether the heartbeat took effect. The function
	// may be nil.
	HeartbeatUsage func() (usage map[string]int64, resolve func(tookEffect bool))
	// Notice returns data for the other routers, which a heartbeat carries, and OnNotice is called with that of
	// each other router, and of a predecessor of this process, when it changes. Both may be nil.
	Notice   func() []byte
	OnNotice func(notice []byte)
	// Unreachable returns the services of which the router reaches no upstream. It may be nil.
	Unreachable func() []string
	// Demand returns this router's demand for the other routers, as one CBOR item. It may be nil.
	Demand func() []byte
	// QueryAge asks the other routers for the age of the heartbeat at an offset.
	QueryAge func(ctx context.Context, offset uint64) []AgeBounds
	Logger   logrus.FieldLogger
}

const (
	// appendTimeout bounds the append of one heartbeat.
	appendTimeout = 1200 * time.Millisecond
	// fleetHeartbeatsPerSecond bounds the heartbeats of the whole fleet.
	fleetHeartbeatsPerSecond = 50
	// expiryIntervals is the number of intervals without a heartbeat after which a router counts as
	// gone.
	expiryIntervals = 5
	// minExpiry is the least time without a heartbeat after which a router counts as gone.
	minExpiry = 6 * time.Second
	// retryDelay follows a heartbeat that the log did not confirm.
	retryDelay = 200 * time.Millisecond
	// silentRetention is how long a router that sends no heartbeats may still send requests, as one that is
	// disconnected from the log does.
	silentRetention = time.Minute
)

// member is a router and when its record was last seen to change.
type member struct {
	Record
	offset    uint64
	changedAt time.Time
}

// Monitor sends this router's heartbeats and tracks those of the others. It is safe for concurrent
// use.
type Monitor struct {
	cfg     Config
	replica *replica.Replica
	// startTimestamp is the reading of the clocks at the start of the process.
	startTimestamp Timestamp
	started        time.Time

	mu      sync.Mutex
	members map[string]member
	// left holds the offsets of the last records of routers that have left.
	left map[string]uint64
	// malformed holds the offsets of records that cannot be decoded, so that each is logged once.
	malformed map[string]uint64
	live      int
	// silent holds the routers that expired without having left, and when.
	silent map[string]time.Time
	// confirmedAt is when the last heartbeat that the log has confirmed was created, by the monotonic clock.
	confirmedAt time.Time
	// pending is the heartbeat that is being sent, or may still take effect; nil if there is none.
	pending *pendingHeartbeat
	// producer orders the heartbeats of this VM's processes, so that one that is executed late does not replace a later one.
	// Its sequence number is that of the last confirmed one. refusals counts its epochs that the log has refused in a row.
	producer keyedlog.Producer
	refusals int
	// hasLeft is true once the process has sent its last record.
	hasLeft     bool
	predecessor predecessor
	reads       readHistory
}

// New returns a Monitor that has not started.
func New(cfg Config) *Monitor {
	m := &Monitor{
		cfg: cfg, startTimestamp: cfg.Timestamp(), started: cfg.Now(), members: make(map[string]member), left: make(map[string]uint64), live: 1,
		malformed: make(map[string]uint64), silent: make(map[string]time.Time), predecessor: predecessor{provenCh: make(chan struct{})},
		producer: keyedlog.Producer{ID: cfg.VM, Epoch: uint64(cfg.Now().UnixMicro())},
	}
	m.replica = replica.New(replica.Config{
		Log: cfg.Log, Stream: cfg.Stream, Interval: cfg.Interval, Now: cfg.Now, OnChange: m.update, Logger: cfg.Logger,
		ReadClock: func() int64 { return cfg.Timestamp().BootMillis }, OnRead: m.recordRead, IntervalFunc: m.interval,
	})
	return m
}

// Replica returns the replica of the stream, for the exchange with peers.
func (m *Monitor) Replica() *replica.Replica { return m.replica }

// Run sends heartbeats and tracks the routers until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	go m.replica.Run(ctx)
	go m.queryPeers(ctx)
	for ctx.Err() == nil {
		pause := m.interval()
		// The predecessor's heartbeat must be read before it is overwritten.
		if !m.replica.Loaded() || m.send(ctx) != nil {
			pause = retryDelay
		}
		m.update()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// interval returns the time between two heartbeats, which grows with the fleet.
func (m *Monitor) interval() time.Duration {
	return max(m.cfg.Interval, time.Duration(m.Routers())*time.Second/fleetHeartbeatsPerSecond)
}

// Leave removes this router's record, or leaves its notice behind if it has one. No heartbeat follows, and one that is still
// under way is fenced.
func (m *Monitor) Leave(ctx context.Context) {
	m.mu.Lock()
	m.hasLeft = true
	m.producer = m.producer.Raised(0)
	producer := m.producer
	m.mu.Unlock()
	last := keyedlog.Record{Key: m.cfg.VM}
	if notice := m.notice(); len(notice) > 0 {
		value, err := cbor.Marshal(Record{Process: m.cfg.Self.Process, Notice: notice, Left: true})
		if err != nil {
			obs.HeartbeatsFailedTotal.Add(1)
		} else {
			last.Value = value
		}
	}
	if _, err := m.cfg.Log.AppendAs(ctx, m.cfg.Stream, []keyedlog.Record{last}, producer); err != nil {
		// The other routers notice that no heartbeat follows.
		obs.HeartbeatsFailedTotal.Add(1)
	}
}

// update applies changed records and counts the live routers. While the log does not respond, the
// last known routers stay live.
func (m *Monitor) update() {
	// OnNotice is called without the lock, because it may ask for the live routers.
	for _, notice := range m.applyRecords(m.replica.Records(), m.replica.Staleness(m.started)) {
		if m.cfg.OnNotice != nil {
			m.cfg.OnNotice(notice)
		}
	}
}

// applyRecords applies changed records, counts the live routers, and returns changed notices.
func (m *Monitor) applyRecords(records map[string]keyedlog.Record, staleness time.Duration) (notices [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	for vm, rec := range records {
		if notice := m.applyRecord(vm, rec, now); len(notice) > 0 {
			notices = append(notices, notice)
		}
	}
	expiry := max(minExpiry, expiryIntervals*max(m.cfg.Interval, time.Duration(m.live)*time.Second/fleetHeartbeatsPerSecond))
	live := 1
	for vm, other := range m.members {
		_, listed := records[vm]
		if !listed || now.Sub(other.changedAt)-staleness > expiry {
			delete(m.members, vm)
			if listed {
				m.silent[vm] = now
			}
			continue
		}
		if vm != m.cfg.VM {
			live++
		}
	}
	maps.DeleteFunc(m.silent, func(vm string, since time.Time) bool {
		_, live := m.members[vm]
		return live || now.Sub(since) > silentRetention
	})
	if live != m.live {
		obs.EventMemberChanged.Log(m.cfg.Logger, logrus.Fields{"routers": live, "before": m.live, "age_ms": staleness.Milliseconds()})
	}
	m.live = live
	return notices
}

// applyRecord applies the newest record of a VM if it has changed, and returns its notice if that has changed.
// The caller holds m.mu.
func (m *Monitor) applyRecord(vm string, rec keyedlog.Record, now time.Time) (notice []byte) {
	known, ok := m.members[vm]
	if offset, left := m.left[vm]; ok && known.offset == rec.Offset || left && offset == rec.Offset {
		return nil
	}
	if offset, malformed := m.malformed[vm]; malformed && offset == rec.Offset {
		return nil
	}
	var r Record
	if err := cbor.Unmarshal(rec.Value, &r); err != nil {
		m.malformed[vm] = rec.Offset
		obs.EventRecordMalformed.Log(m.cfg.Logger, logrus.Fields{
			"stream": m.cfg.Stream.Name, "key": vm, "offset": rec.Offset, "error": err.Error(),
		})
		return nil
	}
	if r.Process != m.cfg.Self.Process && !bytes.Equal(r.Notice, known.Notice) {
		notice = r.Notice
	}
	if r.Left {
		delete(m.members, vm)
		m.left[vm] = rec.Offset
		return notice
	}
	delete(m.left, vm)
	if vm == m.cfg.VM && r.Process != m.cfg.Self.Process {
		m.setPredecessor(r, rec.Offset)
	}
	m.members[vm] = member{r, rec.Offset, now}
	return notice
}

// Routers returns the number of live routers, including this one.
func (m *Monitor) Routers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// fleetSettleTime is the time after the start of a process until it has read the first heartbeats of routers that started
// at the same time.
const fleetSettleTime = 3 * time.Second

// FleetSize returns the number of live routers as Routers does. known is false until the heartbeats were read and
// fleetSettleTime has passed. A process that follows another one on its VM need not wait: the log has the heartbeats of the
// fleet from before, also if all routers restart at once.
func (m *Monitor) FleetSize() (routers int, known bool) {
	loaded := m.replica.Loaded()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live, loaded && (m.predecessor.known || m.cfg.Now().Sub(m.started) >= fleetSettleTime)
}

// Position returns the index of this router, in order of VM names, among those that may send requests: the live ones and
// those that have been silent for less than silentRetention. known is false before any heartbeat was read.
func (m *Monitor) Position() (index, routers int, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers = 1
	count := func(vm string) {
		if vm == m.cfg.VM {
			return
		}
		routers++
		if vm < m.cfg.VM {
			index++
		}
	}
	for vm := range m.members {
		count(vm)
	}
	for vm := range m.silent {
		if _, live := m.members[vm]; !live {
			count(vm)
		}
	}
	return index, routers, len(m.members) > 0
}

// Addresses returns the peer addresses of the other live routers by VM.
func (m *Monitor) Addresses() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.members))
	for vm, other := range m.members {
		if vm != m.cfg.VM && other.Address != "" {
			out[vm] = other.Address
		}
	}
	return out
}
