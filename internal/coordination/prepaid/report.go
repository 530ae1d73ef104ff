package prepaid

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// A report is an append of records that raise no part. It needs no unchanged stream,
// so that the reports of many VMs do not conflict. The epochs of its producer shut
// out late reports of earlier processes of the VM, and its sequence numbers late
// reports of this one.

const (
	// epochStep is added to an epoch that is too low, after the time of day was set
	// back, in microseconds; it grows by epochGrowth with each try.
	epochStep   = 1_000_000
	epochGrowth = 16
	// maxClaims covers a clock that was set back by years.
	maxClaims = 10
)

// raises reports whether a record raises a part.
func raises(records []planned) bool {
	for _, r := range records {
		if r.next.Granted > r.account.logged.Granted {
			return true
		}
	}
	return false
}

// claim shuts out the reports of earlier processes of this VM. It comes before the
// first read, so that what was read stays true of them.
func (p *partition) claim(ctx context.Context) error {
	if p.claimed {
		return nil
	}
	step := uint64(epochStep)
	for range maxClaims {
		_, err := p.cfg.Log.AppendAs(ctx, p.stream, nil, p.producer)
		if err == nil {
			p.claimed = true
			return nil
		}
		if !errors.Is(err, keyedlog.ErrFenced) {
			return err
		}
		p.producer.Epoch += step
		step *= epochGrowth
	}
	return errors.Mark(errors.Newf("no epoch for producer %s", p.producer.ID), keyedlog.ErrUnavailable)
}

// withoutRead does what there is to do, if that needs no read of the stream.
func (p *partition) withoutRead(ctx context.Context, handBack bool) (done bool, err error) {
	if !p.fresh() {
		return false, nil
	}
	records, _ := p.plan(handBack)
	if len(records) == 0 {
		return p.settled() && !handBack, nil
	}
	if raises(records) || !p.covered(records) {
		return false, nil
	}
	return true, p.report(ctx, records)
}

// fresh reports whether the records of the others are recent enough.
func (p *partition) fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded && p.cfg.Now().Sub(p.contact) <= p.readAfter()
}

// settled settles what is left of earlier appends, and reports whether nothing waits.
func (p *partition) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	for _, a := range p.accounts {
		if len(a.waiters) > 0 {
			return false
		}
	}
	return true
}

// covered reports whether all waiters can be served once the records are written.
func (p *partition) covered(records []planned) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[*account]int64, len(records))
	for _, r := range records {
		open[r.account] = min(r.next.Open, r.next.Granted)
	}
	for _, a := range p.accounts {
		if waiting := a.waiting(); waiting > 0 && open[a]-a.logUsed() < waiting {
			return false
		}
	}
	return true
}

// report appends records that raise no part.
func (p *partition) report(ctx context.Context, records []planned) error {
	p.mu.Lock()
	p.producer.Sequence++
	p.pending, p.resent = records, false
	p.mu.Unlock()
	return p.resend(ctx)
}

// resend sends the report that has no answer yet.
func (p *partition) resend(ctx context.Context) error {
	p.mu.Lock()
	records := p.pending
	p.mu.Unlock()
	if records == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
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
		p.pending = nil
		p.logged(records, end)
		p.settleReported(records)
	case errors.Is(err, keyedlog.ErrFenced):
		// Whether it was appended earlier is told by the stream, after a new epoch
		// has shut out a late append.
		p.pending, p.fenced, p.claimed, p.loaded = nil, true, false, false
		p.producer.Epoch, p.producer.Sequence = p.producer.Epoch+1, 0
	case errors.Is(err, keyedlog.ErrUnavailable) && !p.resent:
		p.pending = nil
		p.producer.Sequence--
		p.settle()
	default:
		p.resent = true
	}
	return err
}

// settle makes usable what the log has, unless an append may still change it.
func (p *partition) settle() {
	if p.unsure != nil || p.pending != nil || p.fenced {
		return
	}
	for _, a := range p.accounts {
		a.confirm()
	}
}

// settleReported makes usable what the reported accounts have in the log, and
// answers their waiters. An unsure append cannot change them any more, since the
// stream has moved.
func (p *partition) settleReported(records []planned) {
	now := p.cfg.Now()
	for _, r := range records {
		r.account.confirm()
		prepaid, _ := p.cfg.Prepaid(r.account.entry)
		p.serve(r.account, prepaid, time.Time{}, now)
	}
}
