package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/replica"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// memberStream holds one record per router, which it renews while it lives.
var memberStream = keyedlog.Stream{Name: "routers"}

const (
	// memberInterval is the time between two renewals, and between two reads.
	memberInterval = 2 * time.Second
	// memberLife is the age of a record from which its router counts as gone.
	// Two renewals may be lost.
	memberLife = 7 * time.Second
	// memberCall bounds one renewal.
	memberCall = time.Second
)

// memberRecord is a router's record.
type memberRecord struct {
	Process string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	// Renewal counts the renewals of the process.
	Renewal uint64 `cbor:"4,keyasint"`
}

// seenMember is a router and when its record last changed.
type seenMember struct {
	memberRecord
	offset uint64
	at     time.Time
}

// members knows the live routers from the log. While the log is away, the last
// known ones count on.
type members struct {
	vm      string
	record  memberRecord
	log     keyedlog.Log
	replica *replica.Replica
	logger  logrus.FieldLogger
	started time.Time

	mu    sync.Mutex
	known map[string]seenMember
	live  int
}

func newMembers(cfg GatewayConfig, process string, log keyedlog.Log, logger logrus.FieldLogger) *members {
	m := &members{
		vm: cfg.VM, record: memberRecord{Process: process, Address: cfg.PeerListen, Zone: cfg.Zone}, log: log,
		logger: logger, started: time.Now(), known: make(map[string]seenMember), live: 1,
	}
	m.replica = replica.New(replica.Config{
		Log: log, Stream: memberStream, Interval: memberInterval / 2, Now: time.Now, Changed: m.update, Logger: logger,
	})
	return m
}

// run renews this router's record and follows the others.
func (m *members) run(ctx context.Context) {
	go m.replica.Run(ctx)
	m.renew(ctx)
	every(ctx, memberInterval, func() {
		m.renew(ctx)
		m.update()
	})
}

func (m *members) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCall)
	defer cancel()
	m.record.Renewal++
	value, err := cbor.Marshal(m.record)
	if err == nil {
		_, err = m.log.Append(ctx, memberStream, []keyedlog.Record{{Key: m.vm, Value: value}}, keyedlog.AnyOffset)
	}
	if err != nil {
		obs.MemberRenewalsFailed.Add(1)
	}
}

// leave removes this router's record.
func (m *members) leave(ctx context.Context) {
	_, err := m.log.Append(ctx, memberStream, []keyedlog.Record{{Key: m.vm}}, keyedlog.AnyOffset)
	if err != nil {
		// The others find out when the record is not renewed.
		obs.MemberRenewalsFailed.Add(1)
	}
}

// update counts the routers whose records are renewed.
func (m *members) update() {
	records := m.replica.Records()
	away := m.replica.Age(m.started)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for vm, rec := range records {
		known, ok := m.known[vm]
		if ok && known.offset == rec.Offset {
			continue
		}
		var r memberRecord
		if err := cbor.Unmarshal(rec.Value, &r); err != nil {
			obs.EventRecordMalformed.Log(m.logger, logrus.Fields{
				"stream": memberStream.Name, "key": vm, "offset": rec.Offset, "error": err.Error(),
			})
			continue
		}
		m.known[vm] = seenMember{r, rec.Offset, now}
	}
	live := 1
	for vm, known := range m.known {
		_, listed := records[vm]
		if !listed || now.Sub(known.at)-away > memberLife {
			delete(m.known, vm)
			continue
		}
		if vm != m.vm {
			live++
		}
	}
	if live != m.live {
		obs.EventMemberChanged.Log(m.logger, logrus.Fields{"routers": live, "before": m.live, "age_ms": away.Milliseconds()})
	}
	m.live = live
}

// routers returns the number of live routers, this one included.
func (m *members) routers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// addresses returns the peers' addresses of the other live routers.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for vm, known := range m.known {
		if _, _, err := net.SplitHostPort(known.Address); vm != m.vm && err == nil {
			out = append(out, known.Address)
		}
	}
	return out
}

// address returns the peers' address of a live router.
func (m *members) address(vm string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[vm]
	return known.Address, ok && known.Address != ""
}
