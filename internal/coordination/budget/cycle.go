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

// cycle is the state of one partition's log traffic. Manager.mu guards it.
type cycle struct {
	changed *signal
	running bool
	// again is set when something came up while a cycle was running.
	again bool
	// foreign holds other nodes' records for the next batch of this home.
	foreign []foreignItems
	// failing is set after a failed cycle, so that an outage is reported once.
	failing bool
	// direct is set when the home failed, for the next append.
	direct bool
}

type foreignItems struct {
	items []record.Item
	done  chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// kick starts a cycle of a partition unless one is running, which then runs
// again. So concurrent requests share an append, and at most one goroutine per
// partition waits for the log.
func (m *Manager) kick(p int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.cycles[p]
	if c.running {
		c.again = true
		return
	}
	if m.ctx.Err() != nil {
		return
	}
	c.running = true
	m.calls.Go(func() { m.runCycles(p) })
}

func (m *Manager) runCycles(p int) {
	for {
		err := m.cycle(m.ctx, p)
		m.mu.Lock()
		c := m.cycles[p]
		if err != nil && !c.failing && m.ctx.Err() == nil {
			obs.EventLedgerUnreachable.Log(m.logger, logrus.Fields{"partition": p, "error": err.Error()})
		}
		c.failing = err != nil
		c.changed.wake()
		if !c.again || m.ctx.Err() != nil {
			c.running = false
			m.mu.Unlock()
			return
		}
		c.again = false
		m.mu.Unlock()
	}
}

// cycle writes the partition's bills and due records and reads it to its end.
func (m *Manager) cycle(ctx context.Context, p int) error {
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
	return m.cycles[p].failing
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
	err := m.appendReadBack(ctx, record.BillStream(p), items)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.BillsDone(p, err == nil)
	return err
}

var errNotReadBack = errors.New("the log does not return the appended record")

// appendReadBack appends and reads the record again, because an acknowledged
// bill that is not in the log would be lost.
func (m *Manager) appendReadBack(ctx context.Context, stream string, items []record.Item) error {
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
		return errNotReadBack
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
	c := m.cycles[p]
	own := m.node.NextAppend(m.cfg.Now(), p)
	foreign := c.foreign
	c.foreign = nil
	home := m.home(p)
	throughHome := m.cfg.AppendThroughHome && home != m.cfg.Holder && home != "" && !c.direct && len(foreign) == 0
	m.mu.Unlock()
	items := own
	for _, f := range foreign {
		items = append(items, f.items...)
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
	for _, f := range foreign {
		f.done <- r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.direct = throughHome && r.err != nil
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
		page, err := m.log.Read(readCtx, record.LedgerStream(p), from, readBatch, 0)
		cancel()
		if errors.Is(err, logstream.ErrTrimmed) {
			err = errors.CombineErrors(m.loadSnapshot(ctx, p), m.notBefore(p, from+1))
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

// loadSnapshot replaces the fold of a partition by its newest snapshot.
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

// notBefore returns an error when the fold of a partition has not reached the
// offset. It ends a read that a snapshot did not take further.
func (m *Manager) notBefore(p int, offset uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node.NextLedgerOffset(p) < offset {
		return snapshot.ErrTooOld
	}
	return nil
}

// CatchUp reads every partition to its end once, from its newest snapshot when
// there is one.
func (m *Manager) CatchUp(ctx context.Context) error {
	for p := range m.cycles {
		if err := m.loadSnapshot(ctx, p); err != nil && !errors.IsAny(err, snapshot.ErrNoSnapshot, snapshot.ErrTooOld) {
			return err
		}
		if err := m.readLedger(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// Flush writes the bills and records that are due on every partition. A bill
// is written before the settle that contains it, so a reader of the log never
// sees spent tokens without their bills.
func (m *Manager) Flush(ctx context.Context) error {
	var err error
	for p := range m.cycles {
		m.mu.Lock()
		busy := m.cycles[p].running
		m.cycles[p].running = true
		m.node.parts[p].urgent = true
		m.mu.Unlock()
		if busy {
			m.waitIdle(ctx, p)
			continue
		}
		err = errors.CombineErrors(err, m.cycle(ctx, p))
		m.mu.Lock()
		m.cycles[p].running = false
		m.cycles[p].changed.wake()
		m.mu.Unlock()
	}
	return err
}

// waitIdle lets the running cycle of a partition run once more and end.
func (m *Manager) waitIdle(ctx context.Context, p int) {
	for {
		m.mu.Lock()
		c := m.cycles[p]
		running, changed := c.running, c.changed.wait()
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

// Close writes the last bills and closes every share, so that the rest is free
// for others at once. The caller has ended all requests and Run. Without the
// log the shares stay open, and counted as spent, until this VM's death is proven.
func (m *Manager) Close(ctx context.Context) error {
	defer func() {
		m.cancel()
		m.calls.Wait()
	}()
	for {
		m.mu.Lock()
		done := m.node.CloseShares() && m.node.BillSlotsInUse() == 0
		m.mu.Unlock()
		if done {
			return nil
		}
		m.kickPeers()
		err := m.Flush(ctx)
		if ctx.Err() != nil {
			return errors.CombineErrors(errSharesOpen, err)
		}
		if err != nil {
			m.pause(ctx, nil, m.cfg.Now().Add(m.cfg.Policy.RetryInterval))
		}
	}
}
