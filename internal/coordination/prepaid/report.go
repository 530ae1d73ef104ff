package prepaid

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/callrate"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// A report is an append of records that raise no share. It does not require an unchanged stream, so
// that the reports of many VMs do not conflict. The epoch of its producer fences late reports of
// earlier processes of the VM, and its sequence number late reports of this process.

// maxEpochAttempts covers a clock that was set back by years, see keyedlog.Producer.Raised.
const maxEpochAttempts = 10

// raisesShare reports whether one of the records raises a share.
func raisesShare(records []plannedRecord) bool {
	for _, r := range records {
		if r.record.Granted > r.account.logged.Granted {
			return true
		}
	}
	return false
}

// acquireEpoch fences the reports of earlier processes of this VM. It precedes the first read,
// since later reports of these processes could change what was read.
func (p *partition) acquireEpoch(ctx context.Context) error {
	if p.epochAcquired {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	for refusals := range maxEpochAttempts {
		_, err := p.cfg.Log.AppendAs(ctx, p.stream, nil, p.producer)
		if err == nil {
			p.epochAcquired, p.everFenced = true, true
			return nil
		}
		if !errors.Is(err, keyedlog.ErrFenced) {
			return err
		}
		p.producer = p.producer.Raised(refusals)
	}
	return errors.Mark(errors.Newf("no accepted epoch for producer %s", p.producer.ID), keyedlog.ErrUnavailable)
}

// syncWithoutRead does what a sync can do without a read of the stream. It reports whether the sync
// is done.
func (p *partition) syncWithoutRead(ctx context.Context, returnUnused bool) (done bool, err error) {
	if !p.recordsFresh() {
		return false, nil
	}
	records, _ := p.plan(returnUnused)
	if len(records) == 0 {
		return p.confirmIdle() && !returnUnused, nil
	}
	if raisesShare(records) || !p.coversWaiters(records) || !p.epochAcquired {
		return false, nil
	}
	return true, p.report(ctx, records)
}

// recordsFresh reports whether the records of the other VMs are recent enough for a sync without a
// read, see recordAgeLimit.
func (p *partition) recordsFresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded && p.era() == p.cfg.Log.CurrentEra() && p.cfg.Now().Sub(p.lastResponse) <= p.recordAgeLimit()
}

// confirmIdle confirms the limits, and reports whether no request waits.
func (p *partition) confirmIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmLimits()
	if p.bulk() {
		p.repayLoans()
	}
	for _, a := range p.accounts {
		if len(a.waiters) > 0 {
			return false
		}
	}
	return true
}

// coversWaiters reports whether all waiters can be served once the records are appended.
func (p *partition) coversWaiters(records []plannedRecord) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := make(map[*account]int64, len(records))
	for _, r := range records {
		limits[r.account] = min(r.record.BaseLimit, r.record.Granted)
	}
	for _, a := range p.accounts {
		if waiting := a.waitingTokens(); waiting > 0 && limits[a]-a.shareUsed() < waiting {
			return false
		}
	}
	return true
}

// report appends records that raise no share.
func (p *partition) report(ctx context.Context, records []plannedRecord) error {
	p.mu.Lock()
	p.producer.Sequence++
	p.pendingReport, p.mayBeAppended = records, false
	p.mu.Unlock()
	return p.sendReport(ctx)
}

// sendReport sends the pending report.
func (p *partition) sendReport(ctx context.Context) error {
	p.mu.Lock()
	records := p.pendingReport
	p.mu.Unlock()
	if records == nil {
		return nil
	}
	if !p.closing.Load() {
		ctx = callrate.WithPriority(ctx, func() callrate.Priority { return p.priority(callrate.Report) })
	}
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	batch, err := p.encode(records)
	if err != nil {
		return err
	}
	end, err := p.cfg.Log.AppendAs(ctx, p.stream, batch, p.producer)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.pendingReport = nil
		p.setLogged(records, end)
		p.confirmReported(records)
	case errors.Is(err, keyedlog.ErrFenced):
		// An earlier attempt may have been appended. The stream shows whether it was, after a new
		// epoch has fenced a late append.
		p.pendingReport, p.fenced, p.epochAcquired, p.loaded = nil, true, false, false
		p.producer.Epoch, p.producer.Sequence = p.producer.Epoch+1, 0
	case errors.Is(err, keyedlog.ErrUnavailable) && !p.mayBeAppended:
		p.pendingReport = nil
		p.producer.Sequence--
		p.confirmLimits()
	default:
		p.mayBeAppended = true
	}
	return err
}

// confirmLimits makes the logged limits of all accounts active, unless an append may still change
// them. The caller holds p.mu.
func (p *partition) confirmLimits() {
	if p.unresolved != nil || p.pendingReport != nil || p.fenced {
		return
	}
	for _, a := range p.accounts {
		a.confirmLimits()
	}
}

// confirmReported makes the logged limits of the reported accounts active and answers their waiters.
// An unresolved append cannot change them any more, since the report has moved the end of the
// stream. The caller holds p.mu.
func (p *partition) confirmReported(records []plannedRecord) {
	now := p.cfg.Now()
	for _, r := range records {
		r.account.confirmLimits()
		prepaid, _ := p.cfg.Prepaid(r.account.entry)
		p.answerWaiters(r.account, prepaid, time.Time{}, now)
	}
}
