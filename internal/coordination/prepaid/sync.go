package prepaid

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/callrate"
	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

const (
	// logCallTimeout bounds one append to the log.
	logCallTimeout = 1200 * time.Millisecond
	// maxReadTime bounds the reads of one sync. A read in which nothing arrives fails earlier, see
	// keyedlog.Log. The listing of thousands of budgets takes long over a small link.
	maxReadTime = 8 * time.Second
	// minSyncInterval is the least time between two syncs, so that requests that arrive together
	// share one.
	minSyncInterval = 15 * time.Millisecond
	// retryDelay follows a failed call to the log.
	retryDelay = 100 * time.Millisecond
	// maxConflictRetries bounds the immediate retries after a conflict.
	maxConflictRetries = 6
	// conflictBackoff is the initial bound of the random delay after a conflict, which spreads the
	// writers that conflicted. It doubles with each conflict.
	conflictBackoff = 3 * time.Millisecond
)

// run syncs in every interval, and at once when woken.
func (p *partition) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := minSyncInterval
		if err := p.sync(ctx, false); err != nil {
			pause = retryDelay
			p.noteOutage(err)
		}
		follow.Sleep(ctx, pause)
		timer := time.NewTimer(p.interval())
		select {
		case <-ctx.Done():
		case <-p.trigger:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// interval returns a random time around Config.Interval, which spreads the reports of many VMs.
func (p *partition) interval() time.Duration {
	return time.Duration(float64(p.cfg.Interval) * (0.75 + 0.5*rand.Float64()))
}

// sync writes this VM's records and answers the waiters. While the records of the other VMs are
// recent, it does nothing if no request waits and no record is to be appended, and appends records
// that raise no share without a read. If the records are older, or if the shares do not cover the
// waiters, it first reads the stream to its end. With returnUnused, shares are reduced to what was
// used.
func (p *partition) sync(ctx context.Context, returnUnused bool) error {
	p.syncMu.Lock()
	defer p.syncMu.Unlock()
	// The calls of Close have the priority of its context.
	p.closing.Store(returnUnused)
	if !returnUnused {
		ctx = callrate.WithPriority(ctx, func() callrate.Priority { return p.priority(callrate.ShareRaise) })
	}
	if err := p.sendReport(ctx); err != nil {
		return err
	}
	if done, err := p.syncWithoutRead(ctx, returnUnused); done || err != nil {
		return err
	}
	for conflict := range maxConflictRetries {
		err := p.readAndAppend(ctx, returnUnused)
		if !errors.Is(err, keyedlog.ErrConflict) {
			return err
		}
		obs.ShareConflictsTotal.Add(1)
		if p.deferRaise() {
			return nil
		}
		follow.Sleep(ctx, time.Duration(rand.Int64N(int64(p.conflictBackoff()<<conflict))))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	// Other VMs appended first each time; the next sync tries again.
	p.wake()
	return nil
}

// readAndAppend reads the stream, appends the records that are due and answers the waiters. It fails with
// keyedlog.ErrConflict if another VM appended in between.
func (p *partition) readAndAppend(ctx context.Context, returnUnused bool) error {
	appendCtx, release := ctx, func() {}
	defer func() { release() }()
	reserver, reserves := p.cfg.Log.(writeReserver)
	reserves = reserves && p.bulk() && !returnUnused
	reserve := func() (err error) {
		if appendCtx, release, err = reserver.ReserveWrite(ctx); err != nil {
			appendCtx, release = ctx, func() {}
			return err
		}
		reserves = false
		return nil
	}
	if reserves && p.epochAcquired && p.priority(callrate.ShareRaise) == callrate.Caller {
		if err := reserve(); err != nil {
			return err
		}
	}
	for {
		readBegan := p.cfg.Now()
		if err := p.read(ctx); err != nil {
			return err
		}
		records, at := p.plan(returnUnused)
		raises := raisesShare(records)
		if len(records) > 0 && !p.epochAcquired || raises && reserves {
			// Nothing may be appended before earlier processes are fenced, and a raise that waits for the rate of calls would
			// come after those of others. The stream is read again after that.
			p.restoreLimits()
			if err := p.acquireEpoch(ctx); err != nil {
				return err
			}
			if raises && reserves {
				if err := reserve(); err != nil {
					return err
				}
			}
			continue
		}
		var err error
		switch {
		case len(records) == 0:
		case raises:
			err = p.appendIfUnchanged(appendCtx, records, at)
		default:
			err = p.report(appendCtx, records)
		}
		if err == nil {
			p.answerAllWaiters(readBegan)
		}
		return err
	}
}

// writeReserver is implemented by logs whose rate of calls is limited, see package callrate.
type writeReserver interface {
	ReserveWrite(ctx context.Context) (permitted context.Context, release func(), err error)
}

// priority is the priority of a call: callrate.Caller while a caller, here or at a VM that wants to borrow, waits for a
// larger share, else the given one.
func (p *partition) priority(otherwise callrate.Priority) callrate.Priority {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if len(a.waiters) > 0 || a.lendShort > 0 {
			return callrate.Caller
		}
	}
	return otherwise
}

// recordAgeLimit is the age from which the records of the other VMs are read again. The caller holds
// p.mu.
func (p *partition) recordAgeLimit() time.Duration {
	if p.cfg.Now().Sub(p.lastReservation) > maxRecordAge {
		return idleMaxRecordAge
	}
	return time.Duration(fleetScale(p.cfg.Routers()) * float64(maxRecordAge))
}

const (
	// maxRecordAge is the age from which the records of the other VMs are read again, multiplied by fleetScale so that
	// the reads of a large fleet are fewer, and idleMaxRecordAge that for streams without recent reservations on this VM.
	maxRecordAge     = 2 * time.Second
	idleMaxRecordAge = 15 * time.Second
)

// read applies the records that were appended since the last read.
func (p *partition) read(ctx context.Context) error {
	if p.cfg.Holders == nil || p.everFenced {
		// Else a process acquires its first epoch once it is needed, see below and sync.
		if err := p.acquireEpoch(ctx); err != nil {
			return err
		}
	}
	callCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	p.mu.Lock()
	next, loaded := p.nextOffset, p.loaded
	p.mu.Unlock()
	var page keyedlog.Page
	err := keyedlog.ErrTrimmed
	if loaded && keyedlog.Era(next) == p.cfg.Log.CurrentEra() {
		page, err = p.cfg.Log.Read(ctx, p.stream, next, 0)
	}
	var listing *keyedlog.Page
	if errors.Is(err, keyedlog.ErrTrimmed) {
		listing, page, err = p.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	if !p.epochAcquired && (p.hasOwnRecords(page) || listing != nil && p.hasOwnRecords(*listing)) {
		// The earlier process that wrote them may have reports under way, so it is fenced and the stream read again.
		if err := p.acquireEpoch(callCtx); err != nil {
			return err
		}
		return p.read(callCtx)
	}
	if listing != nil {
		p.apply(*listing)
	}
	p.apply(page)
	return nil
}

// hasOwnRecords reports whether a page has records of this VM.
func (p *partition) hasOwnRecords(page keyedlog.Page) bool {
	return slices.ContainsFunc(page.Records, func(r keyedlog.Record) bool {
		_, vm, _ := strings.Cut(r.Key, keySeparator)
		return vm == p.cfg.VM
	})
}

// restoreLimits ends the effect of a plan of which nothing was appended.
func (p *partition) restoreLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmLimits()
}

// readNewest returns the newest record of each key and the page that follows. Records that were appended while the log
// listed the keys may be missing from the listing.
func (p *partition) readNewest(ctx context.Context) (listing *keyedlog.Page, more keyedlog.Page, err error) {
	page, err := p.cfg.Log.Newest(ctx, p.stream)
	if err != nil {
		return nil, page, err
	}
	more, err = p.cfg.Log.Read(ctx, p.stream, page.Next, 0)
	return &page, more, err
}

// plannedRecord is a record to append.
type plannedRecord struct {
	account *account
	record  shareRecord
}

// plan returns the records to append and the offset up to which the stream was read. With
// returnUnused, the records reduce the shares to what is used. plan also creates the accounts of
// Config.Entries, lowers the limits of the accounts to those of their records until the limits are
// confirmed, and caps the reported usage at the base limits of the records.
func (p *partition) plan(returnUnused bool) (records []plannedRecord, at uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, routers := p.cfg.Now(), p.cfg.Routers()
	p.openAccounts()
	for entry, a := range p.accounts {
		prepaid, ok := p.cfg.Prepaid(entry)
		if !ok && a.logged == (shareRecord{}) {
			continue
		}
		holders, holds := p.holders(entry, routers)
		a.loansUnrecorded = holders < routers
		next, changed := a.plan(planInput{
			prepaid: prepaid, now: now, policy: p.cfg.Policy, routers: routers, process: string(p.cfg.Process),
			holders: holders, holds: holds, mayRaiseUnasked: p.mayRaiseUnasked(a, holders, now),
			era: p.era(), mayRaise: p.mayRaise(a, now), unknown: a.unknownShares(p.era()),
		})
		if returnUnused {
			next.Granted, next.BaseLimit, next.RampRate, next.Demand = a.shareUsed(), a.shareUsed(), 0, 0
			changed = next.Granted != a.logged.Granted || next.Spent != a.logged.Spent
		}
		if changed {
			a.revision++
			next.Revision = a.revision
			records = append(records, plannedRecord{a, next})
			// Until the log has responded, the lower one of the old and the new limits applies.
			a.limits = a.limits.lower(next.limits())
			a.confirmedUsage, a.pendingUsage = min(a.confirmedUsage, next.BaseLimit), min(a.pendingUsage, next.BaseLimit)
		}
	}
	return records, p.nextOffset
}

// openAccounts creates the accounts of Config.Entries. The caller holds p.mu.
func (p *partition) openAccounts() {
	if p.cfg.Entries == nil {
		return
	}
	for _, entry := range p.cfg.Entries() {
		if p.manager.partitionOf(entry) != p {
			continue
		}
		if _, holds := p.holders(entry, p.cfg.Routers()); holds {
			p.account(entry)
		}
	}
}

// appendIfUnchanged appends the records if the stream has not changed since the read.
func (p *partition) appendIfUnchanged(ctx context.Context, records []plannedRecord, at uint64) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	batch, err := p.encode(records)
	if err != nil {
		return err
	}
	end, err := p.cfg.Log.Append(ctx, p.stream, batch, at)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.applyAppended(records, end)
	case errors.IsAny(err, keyedlog.ErrConflict, keyedlog.ErrUnavailable):
		p.confirmLimits()
	default:
		p.unresolved = &unresolvedAppend{at: at}
	}
	return err
}

func (p *partition) encode(records []plannedRecord) ([]keyedlog.Record, error) {
	batch := make([]keyedlog.Record, 0, len(records))
	for _, r := range records {
		value, err := cbor.Marshal(r.record)
		if err != nil {
			return nil, errors.Wrap(err, "encode share record")
		}
		batch = append(batch, keyedlog.Record{Key: r.account.entry + keySeparator + p.cfg.VM, Value: value})
	}
	return batch, nil
}

// applyAppended applies a successful conditional append. The caller holds p.mu.
func (p *partition) applyAppended(records []plannedRecord, end uint64) {
	p.nextOffset, p.lastResponse, p.unresolved = end, p.cfg.Now(), nil
	p.setLogged(records, end)
	p.confirmLimits()
}

// setLogged sets the logged records to those that the log has accepted. The caller holds p.mu.
func (p *partition) setLogged(records []plannedRecord, end uint64) {
	now := p.cfg.Now()
	for _, r := range records {
		a := r.account
		if r.record.Granted != a.logged.Granted {
			obs.EventShareChanged.Log(p.cfg.Logger, logrus.Fields{
				"entry": a.entry, "granted": r.record.Granted, "before": a.logged.Granted, "open": r.record.BaseLimit,
				"left":  p.remaining(a, now),
				"spent": r.record.Spent, "in_flight": r.record.InFlight, "offset": end - 1, "waiting": len(a.waiters),
			})
		}
		a.logged, a.loggedEnd, a.loggedAt, a.lendShort = r.record, end, now, 0
	}
	if keyedlog.Era(end) > p.era() {
		p.loaded = false // the log was restored; its records must be read before a share is raised
	}
	p.noteRecovery()
}

// noteRecovery logs the end of an outage of the log. The caller holds p.mu.
func (p *partition) noteRecovery() {
	if p.failing {
		p.failing = false
		obs.EventStreamRecovered.Log(p.cfg.Logger, logrus.Fields{"stream": p.stream.Name, "partition": p.stream.Partition})
	}
}

// logUnresponsive reports whether the log is not expected to respond in time for a request. Without
// a failed sync, an old lastResponse only means that no read or conditional append was needed. The
// caller holds p.mu.
func (p *partition) logUnresponsive(now time.Time) bool {
	return p.failing && now.Sub(p.lastResponse) > logUnresponsiveAfter
}

// remaining estimates what is left of a budget, see account.remaining. The caller holds p.mu.
func (p *partition) remaining(a *account, now time.Time) int64 {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	return a.remaining(prepaid, now, p.cfg.Policy.RecordFreshness)
}

// answerAllWaiters answers the waiters of all accounts after a read, and an append if one was due,
// and repays loans.
func (p *partition) answerAllWaiters(readBegan time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for entry, a := range p.accounts {
		prepaid, _ := p.cfg.Prepaid(entry)
		p.answerWaiters(a, prepaid, readBegan, now)
	}
	p.repayLoans()
}

// repayLoans repays, for each account, the unused parts of its loans. It is called when the log
// has responded, so a share can be raised instead of a loan. The caller holds p.mu.
func (p *partition) repayLoans() {
	if p.cfg.Peers == nil {
		return
	}
	for entry, a := range p.accounts {
		keep := p.keptLoans(a)
		for repayment, ok := a.repayAllBut(keep); ok; repayment, ok = a.repayAllBut(keep) {
			p.cfg.Peers.Repay(entry, repayment)
		}
	}
}

// noteOutage logs the first failed sync since the last successful read or append. The cause is usually an
// outage of the log, but may also be a fenced report or an encoding error. A call that the rate limit of the log did not
// allow is no outage.
func (p *partition) noteOutage(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, keyedlog.ErrRateLimited) {
		p.rateLimitedAt = p.cfg.Now()
		return
	}
	if p.failing || errors.Is(err, context.Canceled) {
		return
	}
	p.failing = true
	obs.EventShareDelayed.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "offset": p.nextOffset, "error": err.Error(),
	})
}

// Close returns the unused parts of the shares. It is called after the last request.
func (m *Manager) Close(ctx context.Context) error {
	var errs error
	for _, p := range m.partitions {
		if p.cfg.Holders != nil && p.holdsNothing() {
			continue
		}
		err := p.sync(ctx, true)
		for err != nil && ctx.Err() == nil {
			follow.Sleep(ctx, retryDelay)
			err = p.sync(ctx, true)
		}
		errs = errors.CombineErrors(errs, err)
	}
	return errs
}
