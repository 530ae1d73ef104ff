package budget

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// Config holds the settings of a Manager.
type Config struct {
	Holder     record.HolderID
	Partitions int
	// BillBuffer is the number of bills kept in memory while the log is down.
	BillBuffer int
	// FlushInterval is the time between two appends of settles and bills.
	FlushInterval time.Duration
	// GrantSize is the smallest grant asked for, in tokens.
	GrantSize int64
}

const (
	readBatch     = 256
	retryInterval = 100 * time.Millisecond
	retryAfter    = 2 * time.Second
)

// Manager reserves from this process's shares and keeps them filled.
type Manager struct {
	cfg    Config
	log    logstream.Log
	logger logrus.FieldLogger
	shares *share.Table

	// mu guards the fields below. It is taken after a share's mutex is released
	// and is never held across I/O.
	mu       sync.Mutex
	ledgers  []*ledger.Ledger
	grantSeq map[record.EntryKey]uint64
	settled  map[record.EntryKey]share.Counters
	seq      uint64
	bills    []record.Bill
}

// NewManager returns a manager that has not read the log yet.
func NewManager(cfg Config, log logstream.Log, logger logrus.FieldLogger) *Manager {
	m := &Manager{
		cfg: cfg, log: log, logger: logger, shares: share.NewTable(),
		grantSeq: make(map[record.EntryKey]uint64),
		settled:  make(map[record.EntryKey]share.Counters),
	}
	for range cfg.Partitions {
		m.ledgers = append(m.ledgers, ledger.New())
	}
	return m
}

// Reserve takes the amount from this process's share and asks the log for a
// larger share when it does not cover it.
func (m *Manager) Reserve(ctx context.Context, req ReserveRequest) (Reservation, error) {
	if m.billBufferFull() {
		return Reservation{}, ErrBillingUnavailable
	}
	s := m.shares.Get(req.Entry)
	res := Reservation{RequestID: req.RequestID, Entry: req.Entry, Holder: m.cfg.Holder, Amount: req.Amount}
	if s.Reserve(req.Amount) {
		return res, nil
	}
	if err := m.acquire(ctx, req.Entry, m.grantAmount(req)); err != nil {
		return Reservation{}, &UnavailableError{RetryAfter: retryAfter, Cause: err}
	}
	if s.Reserve(req.Amount) {
		return res, nil
	}
	return Reservation{}, m.refusal(req)
}

// freeFraction bounds a grant to a part of what is free, so that one router
// does not take the whole rest of a small budget.
const freeFraction = 8

func (m *Manager) grantAmount(req ReserveRequest) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.ledger(req.Entry).Account(req.Entry)
	if a == nil {
		return req.Amount
	}
	return max(req.Amount, min(m.cfg.GrantSize, a.Free/freeFraction))
}

// refusal tells an exhausted budget from one whose rest other holders have.
func (m *Manager) refusal(req ReserveRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.ledger(req.Entry).Account(req.Entry)
	if a == nil || a.Prepaid-a.Spent() < req.Amount {
		return ErrExhausted
	}
	return &UnavailableError{RetryAfter: retryAfter, Cause: errors.New("other routers hold the rest of the budget")}
}

func (m *Manager) billBufferFull() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.bills) >= m.cfg.BillBuffer
}

// acquire appends a grant and reads it back. A grant exists only once the fold
// has passed it.
func (m *Manager) acquire(ctx context.Context, key record.EntryKey, amount int64) error {
	m.mu.Lock()
	m.grantSeq[key]++
	item := record.Item{Grant: &record.Grant{Entry: key, Holder: m.cfg.Holder, Seq: m.grantSeq[key], Amount: amount}}
	m.mu.Unlock()
	data, err := record.Encode([]record.Item{item})
	if err != nil {
		return err
	}
	p := record.Partition(key.Name, m.cfg.Partitions)
	obs.LogAppendsTotal.Add(1)
	if _, err := m.log.Append(ctx, record.LedgerStream(p), data); err != nil {
		return err
	}
	return m.catchUpPartition(ctx, p)
}

// Settle ends a reservation, bills it, and returns the balance.
func (m *Manager) Settle(res Reservation, st Settlement) Balance {
	charged := min(st.Charged, res.Amount)
	m.shares.Get(res.Entry).Settle(res.Amount, charged)
	obs.BillsTotal.Add(1)
	obs.ChargedTokensTotal.Add(charged)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bills = append(m.bills, record.Bill{
		RequestID: res.RequestID, Entry: res.Entry, Holder: res.Holder, Target: st.Target,
		InputTokens: st.InputTokens, OutputTokens: st.OutputTokens, Charged: charged,
		UnixMilli: time.Now().UnixMilli(), Outcome: st.Outcome,
	})
	return m.balance(res.Entry)
}

// Release ends a reservation of a request that was never sent. Nothing is billed.
func (m *Manager) Release(res Reservation) {
	m.shares.Get(res.Entry).Settle(res.Amount, 0)
}

// Balance returns what is left of an entry's budget.
func (m *Manager) Balance(key record.EntryKey) Balance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.balance(key)
}

func (m *Manager) balance(key record.EntryKey) Balance {
	a := m.ledger(key).Account(key)
	if a == nil {
		return Balance{}
	}
	c := m.shares.Get(key).Counters()
	reported := a.Shares[m.cfg.Holder]
	left := a.Prepaid - a.Spent() - c.Reserved - c.Spent
	if reported != nil {
		left += reported.Spent
	}
	return Balance{Remaining: left}
}

func (m *Manager) ledger(key record.EntryKey) *ledger.Ledger {
	return m.ledgers[record.Partition(key.Name, m.cfg.Partitions)]
}

// CatchUp reads every partition to its end once.
func (m *Manager) CatchUp(ctx context.Context) error {
	for p := range m.cfg.Partitions {
		if err := m.catchUpPartition(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) catchUpPartition(ctx context.Context, p int) error {
	for {
		m.mu.Lock()
		from := m.ledgers[p].Next()
		m.mu.Unlock()
		page, err := m.log.Read(ctx, record.LedgerStream(p), from, readBatch, 0)
		if err != nil {
			return err
		}
		m.applyPage(p, page)
		if len(page.Records) == 0 {
			return nil
		}
	}
}

func (m *Manager) applyPage(p int, page logstream.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range page.Records {
		m.ledgers[p].ApplyRecord(r.Offset, r.Data)
		m.updateShares(r.Data)
	}
}

// updateShares takes over this process's grants named in a folded record.
func (m *Manager) updateShares(data []byte) {
	items, _, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, item := range items {
		if item.Grant == nil || item.Grant.Holder != m.cfg.Holder {
			continue
		}
		key := item.Grant.Entry
		if own := m.ledger(key).Account(key).Shares[m.cfg.Holder]; own != nil {
			m.shares.Get(key).SetGranted(own.Granted)
		}
	}
}

// Run flushes settles and bills until the context ends, then returns all
// unreserved shares and flushes once more.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := m.Flush(ctx); err != nil {
				obs.EventBillsDelayed.Log(m.logger, logrus.Fields{"error": err.Error()})
			}
		}
	}
}

// Close returns every unreserved share to the log and writes the last bills.
// The caller has ended all requests.
func (m *Manager) Close(ctx context.Context) error {
	m.shares.Each(func(_ record.EntryKey, s *share.Share) bool {
		s.Return(s.Counters().Free())
		return true
	})
	return m.Flush(ctx)
}

// Flush writes pending bills, then the counters that changed. A bill is
// written before the settle that contains it, so a reader of the log never
// sees spent tokens without their bills.
func (m *Manager) Flush(ctx context.Context) error {
	if err := m.flushBills(ctx); err != nil {
		return err
	}
	return m.flushSettles(ctx)
}

func (m *Manager) flushBills(ctx context.Context) error {
	m.mu.Lock()
	pending := m.bills
	m.mu.Unlock()
	byPartition := make(map[int][]record.Item)
	for i := range pending {
		p := record.Partition(pending[i].Entry.Name, m.cfg.Partitions)
		byPartition[p] = append(byPartition[p], record.Item{Bill: &pending[i]})
	}
	for p, items := range byPartition {
		if err := m.append(ctx, record.BillStream(p), items); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bills = m.bills[len(pending):]
	return nil
}

func (m *Manager) flushSettles(ctx context.Context) error {
	byPartition := make(map[int][]record.Item)
	counters := make(map[record.EntryKey]share.Counters)
	m.shares.Each(func(key record.EntryKey, s *share.Share) bool {
		counters[key] = s.Counters()
		return true
	})
	m.mu.Lock()
	for key, c := range counters {
		last := m.settled[key]
		if c.Spent == last.Spent && c.Returned == last.Returned {
			continue
		}
		m.seq++
		p := record.Partition(key.Name, m.cfg.Partitions)
		byPartition[p] = append(byPartition[p], record.Item{Settle: &record.Settle{
			Entry: key, Holder: m.cfg.Holder, Seq: m.seq, Spent: c.Spent, Returned: c.Returned,
		}})
	}
	m.mu.Unlock()
	for p, items := range byPartition {
		if err := m.append(ctx, record.LedgerStream(p), items); err != nil {
			return err
		}
		m.mu.Lock()
		for _, item := range items {
			m.settled[item.Settle.Entry] = counters[item.Settle.Entry]
		}
		m.mu.Unlock()
		if err := m.catchUpPartition(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) append(ctx context.Context, stream string, items []record.Item) error {
	data, err := record.Encode(items)
	if err != nil {
		return err
	}
	obs.LogAppendsTotal.Add(1)
	_, err = m.log.Append(ctx, stream, data)
	return err
}
