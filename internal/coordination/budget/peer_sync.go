package budget

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/share"
)

// peerTimeoutDivisor bounds one call to a peer to a fraction (1/3) of the time left before the refusal. A paused
// peer accepts calls without responding; the rest of the time is for the log and the other holders.
const peerTimeoutDivisor = 3

func (m *Manager) peerTimeout(a *Attempt) time.Duration {
	return max(0, a.Deadline().Sub(m.cfg.Now())/peerTimeoutDivisor)
}

// reserveAtPeer asks another holder to reserve for the attempt.
func (m *Manager) reserveAtPeer(ctx context.Context, a *Attempt, step Step) (Reservation, bool) {
	lender := step.Holders[0]
	res := Reservation{
		RequestID: a.Request.RequestID, Entry: a.Request.Entry, Holder: lender, Amount: a.Request.Amount,
	}
	callCtx, cancel := context.WithTimeout(ctx, m.peerTimeout(a))
	defer cancel()
	result, err := m.peers.Reserve(callCtx, lender, ReserveParams{
		From: m.cfg.Holder, RequestID: a.Request.RequestID, Entry: a.Request.Entry, Class: a.Request.Class,
		Amount: a.Request.Amount, ShareOnly: step.Kind == StepBorrow,
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.node.QueueRemoteRelease(a, lender)
		return Reservation{}, false
	}
	if !result.Reserved {
		m.node.ReserveRefused(a, result.Exhausted)
	}
	return res, result.Reserved
}

// requestReturns asks holders for returns, all at once.
func (m *Manager) requestReturns(ctx context.Context, a *Attempt, holders []record.HolderID) {
	if m.peers == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.peerTimeout(a))
	defer cancel()
	var calls conc.WaitGroup
	for _, h := range holders {
		calls.Go(func() {
			sent := m.cfg.Now()
			r, err := m.peers.Return(callCtx, h, ReturnParams{Entry: a.Request.Entry})
			if err != nil {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.node.RecordHolderReport(sent, a.Request.Entry, h, r.Counters)
		})
	}
	calls.Wait()
}

// triggerPeerSync declares a backup if that is due and sends journal batches and remote settlements, in the
// background, unless that is in progress.
func (m *Manager) triggerPeerSync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil || m.peerSyncRunning || m.ctx.Err() != nil {
		return
	}
	m.peerSyncRunning = true
	m.background.Go(m.runPeerSync)
}

func (m *Manager) runPeerSync() {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.peerSyncRunning = false
		m.replicated.broadcast()
	}()
	if err := m.declareBackup(m.ctx); err != nil {
		obs.EventBackupDeclarationFailed.Log(m.logger, logrus.Fields{"error": err.Error()})
	}
	m.sendJournal(m.ctx)
	m.sendRemoteSettlements(m.ctx)
}

// declareBackup chooses a backup if there is none, appends the declaration that is due and reads the members
// stream to its end if a declaration is due or shares are being reclaimed.
func (m *Manager) declareBackup(ctx context.Context) error {
	m.mu.Lock()
	m.node.ChooseBackup(m.peers.Backup())
	d := m.node.NextBackupDeclaration()
	from, reclaiming := m.node.NextMembersOffset(), len(m.terminated) > 0
	m.mu.Unlock()
	if d != nil {
		// A lost response does not matter: the members stream shows whether the append took effect.
		_ = m.appendItems(ctx, record.MembersStream, []record.Item{{Backup: d}})
	}
	if d == nil && !reclaiming {
		return nil
	}
	for {
		began := m.cfg.Now()
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := m.log.Read(readCtx, record.MembersStream, from, maxReadRecords, 0)
		cancel()
		if err != nil {
			return err
		}
		m.mu.Lock()
		end := m.node.ApplyMembersPage(began, page)
		from = m.node.NextMembersOffset()
		m.mu.Unlock()
		if end {
			return nil
		}
	}
}

// peerSyncTimeout bounds a call to the backup, which requests wait for, and to a lender. It leaves an
// interactive request enough time to continue with another backup; the round trip between availability zones
// is 3 ms.
const peerSyncTimeout = 300 * time.Millisecond

func (m *Manager) sendJournal(ctx context.Context) {
	for {
		batch, to := m.node.NextJournalBatch()
		if batch == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, peerSyncTimeout)
		err := m.peers.Journal(callCtx, to, *batch)
		cancel()
		if err != nil {
			m.node.ReplaceBackup(m.peers.Backup())
			return
		}
		m.node.JournalBatchDone(batch)
		m.mu.Lock()
		m.replicated.broadcast()
		m.mu.Unlock()
	}
}

func (m *Manager) sendRemoteSettlements(ctx context.Context) {
	m.mu.Lock()
	settlements := append([]RemoteSettlement(nil), m.node.RemoteSettlements()...)
	m.mu.Unlock()
	failed := make(map[record.HolderID]bool)
	for _, s := range settlements {
		if failed[s.Lender] {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerSyncTimeout)
		err := m.peers.Settle(callCtx, s.Lender, s.Params)
		cancel()
		if err != nil {
			failed[s.Lender] = true
			continue
		}
		m.mu.Lock()
		m.node.RemoteSettlementDone(s)
		m.mu.Unlock()
	}
}

// appendAtHome lets the home append this node's items with its own batch. They are the same items as in a direct
// append, so a repeated append of either kind counts once.
func (m *Manager) appendAtHome(ctx context.Context, home record.HolderID, p int, items []record.Item) appendResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := m.peers.Acquire(ctx, home, AcquireParams{From: m.cfg.Holder, Partition: p, Items: items})
	return appendResult{offset: r.Offset, err: err}
}

// ErrForeignItem reports an item of another holder than the calling router, or an unknown partition, in
// budget.acquire.
var ErrForeignItem = errors.New("records name another holder")

// ServeAcquire handles budget.acquire: it appends the calling router's items with the next batch of this node.
func (m *Manager) ServeAcquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	if p.Partition < 0 || p.Partition >= len(m.logSyncs) || !hasOnlyOwnItems(p) {
		return AcquireResult{}, ErrForeignItem
	}
	pending := peerAppend{items: p.Items, done: make(chan appendResult, 1)}
	m.mu.Lock()
	s := m.logSyncs[p.Partition]
	s.peerAppends = append(s.peerAppends, pending)
	m.mu.Unlock()
	m.triggerLogSync(p.Partition)
	select {
	case <-ctx.Done():
		return AcquireResult{}, ctx.Err()
	case r := <-pending.done:
		return AcquireResult{Offset: r.offset}, r.err
	}
}

// hasOnlyOwnItems reports whether all items are grants and settles of the calling router.
func hasOnlyOwnItems(p AcquireParams) bool {
	for _, item := range p.Items {
		grant := item.Grant != nil && item.Grant.Holder == p.From
		settle := item.Settle != nil && item.Settle.Holder == p.From
		if !grant && !settle {
			return false
		}
	}
	return true
}

// ServeReserve handles budget.reserve.
func (m *Manager) ServeReserve(ctx context.Context, p ReserveParams) (ReserveResult, error) {
	m.mu.Lock()
	lent := m.node.HasLoan(p)
	m.mu.Unlock()
	if lent {
		return ReserveResult{Reserved: true}, nil
	}
	if !m.node.AcquireBillSlot() {
		return ReserveResult{}, nil
	}
	err := m.reserveForPeer(ctx, p)
	if err != nil {
		return ReserveResult{Exhausted: errors.Is(err, ErrExhausted)}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return ReserveResult{Reserved: m.node.AddLoan(p)}, nil
}

// reserveForPeer reserves for a request of another node, with p.ShareOnly only from the current share. If it
// fails, it has released the request's slot in the bill buffer.
func (m *Manager) reserveForPeer(ctx context.Context, p ReserveParams) error {
	req := ReserveRequest{RequestID: p.RequestID, Entry: p.Entry, Class: p.Class, Amount: p.Amount, Dispatcher: p.From}
	m.mu.Lock()
	a := m.node.Begin(m.cfg.Now(), req, true)
	covered := p.ShareOnly && a.ShareOnly(m.node)
	m.mu.Unlock()
	if covered {
		_, err := m.awaitReplication(ctx, m.node.Reservation(req), a.JournalPosition(), a.Deadline())
		return err
	}
	if p.ShareOnly {
		m.node.ReleaseBillSlot()
		return &UnavailableError{RetryAfter: m.cfg.Policy.RetryAfter, Cause: errHeldByOthers}
	}
	_, err := m.runAttempt(ctx, a)
	return err
}

// ServeSettle handles budget.settle.
func (m *Manager) ServeSettle(p SettleParams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.ServeSettle(m.cfg.Now(), p)
}

// ServeReturn handles budget.return.
func (m *Manager) ServeReturn(p ReturnParams) ReturnResult {
	m.mu.Lock()
	counters := m.node.ServeReturn(p.Entry)
	m.mu.Unlock()
	m.triggerLogSync(m.node.Partition(p.Entry))
	return ReturnResult{Counters: counters}
}

// ServeJournal handles budget.journal.
func (m *Manager) ServeJournal(b JournalBatch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.ServeJournal(b)
}

// Counters returns the counters of this process's share of an entry.
func (m *Manager) Counters(key record.EntryKey) share.Counters {
	return m.node.Shares().Get(key).Counters()
}
