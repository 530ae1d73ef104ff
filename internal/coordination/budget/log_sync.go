package budget

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// logSync is the state of one partition's appends and reads. Manager.mu guards it.
type logSync struct {
	changed *signal
	running bool
	// rerun is set when new work arrived during a run.
	rerun bool
	// peerAppends holds other nodes' items for the next append; this node is the home of the partition.
	peerAppends []peerAppend
	// failing is set after a failed run, so that an outage is logged once.
	failing bool
	// bypassHome is set when the home failed; it makes the next append go directly to the log.
	bypassHome bool
}

type peerAppend struct {
	items []record.Item
	done  chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// triggerLogSync starts a sync of a partition with the log, or makes a running one run again. Concurrent
// requests thus need one append, and at most one goroutine per partition waits for the log.
func (m *Manager) triggerLogSync(p int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.logSyncs[p]
	if s.running {
		s.rerun = true
		return
	}
	if m.ctx.Err() != nil {
		return
	}
	s.running = true
	m.background.Go(func() { m.runLogSync(p) })
}

func (m *Manager) runLogSync(p int) {
	for {
		err := m.syncPartition(m.ctx, p)
		m.mu.Lock()
		s := m.logSyncs[p]
		if err != nil && !s.failing && m.ctx.Err() == nil {
			obs.EventLedgerUnreachable.Log(m.logger, logrus.Fields{"partition": p, "error": err.Error()})
		}
		s.failing = err != nil
		s.changed.broadcast()
		if !s.rerun || m.ctx.Err() != nil {
			s.running = false
			m.mu.Unlock()
			return
		}
		s.rerun = false
		m.mu.Unlock()
	}
}

// syncPartition writes the bills and the due items of a partition and reads the partition to its end.
func (m *Manager) syncPartition(ctx context.Context, p int) error {
	err := m.writeBills(ctx, p)
	if err != nil && !m.failing(p) {
		obs.EventBillsDelayed.Log(m.logger, logrus.Fields{"partition": p, "error": err.Error()})
	}
	err = errors.CombineErrors(err, m.writeLedger(ctx, p))
	return errors.CombineErrors(err, m.readLedger(ctx, p))
}

func (m *Manager) failing(p int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logSyncs[p].failing
}

func (m *Manager) writeBills(ctx context.Context, p int) error {
	bills := m.node.NextBills(p)
	if len(bills) == 0 {
		return nil
	}
	items := make([]record.Item, len(bills))
	for i := range bills {
		items[i].Bill = &bills[i]
	}
	err := m.appendVerified(ctx, record.BillStream(p), items)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.BillsDone(p, err == nil)
	return err
}

var errAppendNotFound = errors.New("log does not return the appended record at its offset")

// appendVerified appends the items and reads the record back, because an acknowledged bill that is missing
// from the log would be lost.
func (m *Manager) appendVerified(ctx context.Context, stream string, items []record.Item) error {
	data, err := record.Encode(items)
	if err != nil {
		return err
	}
	offset, err := m.append(ctx, stream, data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := m.log.Read(ctx, stream, offset, 1, 0)
	if err != nil {
		return err
	}
	if len(page.Records) == 0 || !bytes.Equal(page.Records[0].Data, data) {
		return errAppendNotFound
	}
	return nil
}

func (m *Manager) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obs.LogAppendsTotal.Add(1)
	return m.log.Append(ctx, stream, data)
}

func (m *Manager) writeLedger(ctx context.Context, p int) error {
	m.mu.Lock()
	s := m.logSyncs[p]
	own := m.node.NextAppend(m.cfg.Now(), p)
	fromPeers := s.peerAppends
	s.peerAppends = nil
	home := m.home(p)
	throughHome := m.cfg.AppendThroughHome && home != m.cfg.Holder && home != "" && !s.bypassHome && len(fromPeers) == 0
	m.mu.Unlock()
	items := own
	for _, peer := range fromPeers {
		items = append(items, peer.items...)
	}
	if len(items) == 0 {
		return nil
	}
	var r appendResult
	if throughHome {
		r = m.appendAtHome(ctx, home, p, items)
	} else {
		r = m.appendItems(ctx, record.LedgerStream(p), items)
	}
	for _, peer := range fromPeers {
		peer.done <- r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.bypassHome = throughHome && r.err != nil
	if len(own) > 0 {
		m.node.AppendDone(m.cfg.Now(), p, r.offset, r.err)
	}
	return r.err
}

func (m *Manager) appendItems(ctx context.Context, stream string, items []record.Item) appendResult {
	data, err := record.Encode(items)
	if err != nil {
		return appendResult{err: err}
	}
	offset, err := m.append(ctx, stream, data)
	return appendResult{offset: offset, err: err}
}

// readLedger reads the partition to its end.
func (m *Manager) readLedger(ctx context.Context, p int) error {
	for {
		m.mu.Lock()
		from := m.node.NextLedgerOffset(p)
		began := m.cfg.Now()
		m.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := m.log.Read(readCtx, record.LedgerStream(p), from, maxReadRecords, 0)
		cancel()
		if errors.Is(err, logstream.ErrTrimmed) {
			err = errors.CombineErrors(m.loadSnapshot(ctx, p), m.checkReached(p, from+1))
			if err == nil {
				continue
			}
		}
		m.mu.Lock()
		if err != nil {
			m.node.LogFailed(m.cfg.Now(), p)
			m.mu.Unlock()
			return err
		}
		end := m.node.ApplyLedgerPage(began, p, page)
		m.mu.Unlock()
		if end {
			return nil
		}
	}
}

// loadSnapshot replaces the ledger of a partition by its newest snapshot.
func (m *Manager) loadSnapshot(ctx context.Context, p int) error {
	accept := func(s snapshot.Snapshot) error {
		_, err := ledger.Decode(s.Data)
		return err
	}
	s, err := snapshot.Load(ctx, m.log, record.LedgerSnapshotStream(p), record.LedgerStream(p), accept)
	if err != nil {
		return err
	}
	l, err := ledger.Decode(s.Data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.LoadLedger(p, l)
	return nil
}

// checkReached returns an error if the ledger of a partition has not reached the offset. It ends a read that
// a snapshot did not advance.
func (m *Manager) checkReached(p int, offset uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node.NextLedgerOffset(p) < offset {
		return snapshot.ErrTooOld
	}
	return nil
}

// CatchUp reads every partition to its end once, starting from its newest snapshot if there is one.
func (m *Manager) CatchUp(ctx context.Context) error {
	for p := range m.logSyncs {
		if err := m.loadSnapshot(ctx, p); err != nil && !errors.IsAny(err, snapshot.ErrNoSnapshot, snapshot.ErrTooOld) {
			return err
		}
		if err := m.readLedger(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Flush writes the bills and the due items of every partition. A bill is written before the settle item that
// includes it, so a reader of the log never sees spent tokens without their bills.
func (m *Manager) Flush(ctx context.Context) error {
	var err error
	for p := range m.logSyncs {
		m.mu.Lock()
		busy := m.logSyncs[p].running
		m.logSyncs[p].running = true
		m.node.partitions[p].urgent = true
		m.mu.Unlock()
		if busy {
			m.waitIdle(ctx, p)
			continue
		}
		err = errors.CombineErrors(err, m.syncPartition(ctx, p))
		m.mu.Lock()
		m.logSyncs[p].running = false
		m.logSyncs[p].changed.broadcast()
		m.mu.Unlock()
	}
	return err
}

// waitIdle waits until the running sync of a partition ends.
func (m *Manager) waitIdle(ctx context.Context, p int) {
	for {
		m.mu.Lock()
		s := m.logSyncs[p]
		running, changed := s.running, s.changed.wait()
		m.mu.Unlock()
		if !running {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

var errSharesOpen = errors.New("shares are still open")

// Close writes the last bills and closes every share, which returns the unspent tokens to the free budget, so
// that other routers can use them at once. The caller has ended all requests and Run. If the log is
// unreachable, the shares stay open and count as spent until this process is proven to have terminated.
func (m *Manager) Close(ctx context.Context) error {
	defer func() {
		m.cancel()
		m.background.Wait()
	}()
	for {
		m.mu.Lock()
		done := m.node.CloseShares() && m.node.BillSlotsInUse() == 0
		m.mu.Unlock()
		if done {
			return nil
		}
		m.triggerPeerSync()
		err := m.Flush(ctx)
		if ctx.Err() != nil {
			return errors.CombineErrors(errSharesOpen, err)
		}
		if err != nil {
			m.waitUntil(ctx, nil, m.cfg.Now().Add(m.cfg.Policy.RetryInterval))
		}
	}
}
