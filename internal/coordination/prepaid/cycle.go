package prepaid

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

const (
	// cycleTimeout bounds one call to the log.
	cycleTimeout = 1200 * time.Millisecond
	// minPause is the least time between two cycles, so that requests that come
	// up together share one.
	minPause = 15 * time.Millisecond
	// failurePause follows a call that the log did not answer.
	failurePause = 100 * time.Millisecond
	// maxConflicts bounds the immediate tries after a conflict.
	maxConflicts = 6
	// conflictPause spreads the writers that met; it doubles with each conflict.
	conflictPause = 3 * time.Millisecond
)

// run makes a cycle in every interval, and at once when a request waits.
func (p *partition) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := minPause
		if err := p.cycle(ctx, false); err != nil {
			pause = failurePause
			p.delayed(err)
		}
		follow.Sleep(ctx, pause)
		timer := time.NewTimer(p.interval())
		select {
		case <-ctx.Done():
		case <-p.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// interval spreads the reports of many VMs.
func (p *partition) interval() time.Duration {
	return time.Duration(float64(p.cfg.Interval) * (0.75 + 0.5*rand.Float64()))
}

// cycle writes this VM's records and answers the waiters. While the records of the
// others are recent, it does nothing if nothing waits or is worth an append, and
// records that raise no part are reported at once. For the others, and for waiters that the parts do not
// cover, the stream is read to its end first. With handBack, shares are reduced to
// what was spent.
func (p *partition) cycle(ctx context.Context, handBack bool) error {
	p.cycling.Lock()
	defer p.cycling.Unlock()
	if err := p.resend(ctx); err != nil {
		return err
	}
	if done, err := p.withoutRead(ctx, handBack); done || err != nil {
		return err
	}
	for conflict := range maxConflicts {
		began := p.cfg.Now()
		if err := p.read(ctx); err != nil {
			return err
		}
		planned, at := p.plan(handBack)
		var err error
		switch {
		case len(planned) == 0:
		case raises(planned):
			err = p.write(ctx, planned, at)
		default:
			err = p.report(ctx, planned)
		}
		if err == nil {
			p.answer(began)
			return nil
		}
		if !errors.Is(err, keyedlog.ErrConflict) {
			return err
		}
		obs.ShareConflictsTotal.Add(1)
		follow.Sleep(ctx, time.Duration(rand.Int64N(int64(conflictPause<<conflict))))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	// The others wrote all the time; waiting requests are tried again.
	p.wake()
	return nil
}

// readAfter is the age from which the records of the other VMs are read again.
func (p *partition) readAfter() time.Duration {
	if p.cfg.Now().Sub(p.used) > readAfter {
		return idleReadAfter
	}
	return readAfter
}

const (
	// readAfter is the age from which the records of the other VMs are read again,
	// and idleReadAfter that of budgets on which nobody draws here.
	readAfter     = 2 * time.Second
	idleReadAfter = 15 * time.Second
)

// read takes over what was written since the last read.
func (p *partition) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
	defer cancel()
	if err := p.claim(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	next, loaded := p.next, p.loaded
	p.mu.Unlock()
	var page keyedlog.Page
	err := keyedlog.ErrTrimmed
	if loaded {
		page, err = p.cfg.Log.Read(ctx, p.stream, next, 0)
	}
	if errors.Is(err, keyedlog.ErrTrimmed) {
		page, err = p.newest(ctx)
	}
	if err != nil {
		return err
	}
	p.fold(page)
	return nil
}

// newest lists the stream, and reads what was appended meanwhile: a listing need
// not be of one moment.
func (p *partition) newest(ctx context.Context) (keyedlog.Page, error) {
	page, err := p.cfg.Log.Newest(ctx, p.stream)
	if err != nil {
		return page, err
	}
	more, err := p.cfg.Log.Read(ctx, p.stream, page.Next, 0)
	if err != nil {
		return page, err
	}
	p.fold(page)
	return more, nil
}

// planned is a record to write.
type planned struct {
	account *account
	next    holding
}

func (p *partition) plan(handBack bool) (records []planned, at uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, routers := p.cfg.Now(), p.cfg.Routers()
	p.prepare()
	for entry, a := range p.accounts {
		prepaid, ok := p.cfg.Prepaid(entry)
		if !ok && a.logged == (holding{}) {
			continue
		}
		next, changed := a.plan(planning{prepaid, now, p.cfg.Policy, routers, string(p.cfg.Process)})
		if handBack {
			next.Granted, next.Open, next.Ramp, next.Rate = a.logUsed(), a.logUsed(), 0, 0
			changed = next.Granted != a.logged.Granted || next.Spent != a.logged.Spent
		}
		if changed {
			records = append(records, planned{a, next})
			// Until the log has answered, the smaller part holds.
			a.bounds = a.bounds.lower(next.bounds())
			a.shown = min(a.shown, next.Open)
		}
	}
	return records, p.next
}

// prepare opens the accounts of which shares are held in advance.
func (p *partition) prepare() {
	if p.cfg.Entries == nil {
		return
	}
	for _, entry := range p.cfg.Entries() {
		if p.manager.partitionOf(entry) == p {
			p.account(entry)
		}
	}
}

// write appends the records if nobody has written since the read.
func (p *partition) write(ctx context.Context, records []planned, at uint64) error {
	ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
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
		p.written(records, end)
	case errors.IsAny(err, keyedlog.ErrConflict, keyedlog.ErrUnavailable):
		p.settle()
	default:
		p.unsure = &unsureAppend{at: at}
	}
	return err
}

func (p *partition) encode(records []planned) ([]keyedlog.Record, error) {
	batch := make([]keyedlog.Record, 0, len(records))
	for _, r := range records {
		value, err := cbor.Marshal(r.next)
		if err != nil {
			return nil, errors.Wrap(err, "encode share")
		}
		batch = append(batch, keyedlog.Record{Key: r.account.entry + keySeparator + p.cfg.VM, Value: value})
	}
	return batch, nil
}

// written takes over an append that nobody else's came before.
func (p *partition) written(records []planned, end uint64) {
	p.next, p.contact, p.unsure = end, p.cfg.Now(), nil
	p.logged(records, end)
	p.settle()
}

// logged takes over records that the log has.
func (p *partition) logged(records []planned, end uint64) {
	now := p.cfg.Now()
	for _, r := range records {
		a := r.account
		if r.next.Granted != a.logged.Granted {
			obs.EventShareGranted.Log(p.cfg.Logger, logrus.Fields{
				"entry": a.entry, "granted": r.next.Granted, "before": a.logged.Granted, "open": r.next.Open,
				"left":  p.left(a, now),
				"spent": r.next.Spent, "in_flight": r.next.InFlight, "offset": end - 1, "waiting": len(a.waiters),
			})
		}
		a.logged, a.loggedEnd, a.reported = r.next, end, now
	}
	p.regained()
}

// regained logs the end of an outage.
func (p *partition) regained() {
	if p.failing {
		p.failing = false
		obs.EventStreamRegained.Log(p.cfg.Logger, logrus.Fields{"stream": p.stream.Name, "partition": p.stream.Partition})
	}
}

// away reports whether the log will not answer a request in time. Without a failed
// call an old contact means only that nobody drew on the stream.
func (p *partition) away(now time.Time) bool {
	return p.failing && now.Sub(p.contact) > logAwayAfter
}

// left is what is left of a budget, for the log.
func (p *partition) left(a *account, now time.Time) int64 {
	prepaid, _ := p.cfg.Prepaid(a.entry)
	return a.remaining(prepaid, now, p.cfg.Policy.Fresh)
}

// answer answers the waiters after a read and a write.
func (p *partition) answer(readBegan time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for entry, a := range p.accounts {
		prepaid, _ := p.cfg.Prepaid(entry)
		p.serve(a, prepaid, readBegan, now)
	}
	p.repay()
}

// repay returns idle loans while the log is there to grant a share instead.
func (p *partition) repay() {
	if p.cfg.Peers == nil {
		return
	}
	for entry, a := range p.accounts {
		if back, ok := a.repay(); ok {
			go p.cfg.Peers.Repay(back.Lender, entry, back.Amount)
		}
	}
}

// delayed logs the beginning of an outage.
func (p *partition) delayed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing || errors.Is(err, context.Canceled) {
		return
	}
	p.failing = true
	obs.EventShareDelayed.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "offset": p.next, "error": err.Error(),
	})
}

// Close hands back what is unused. It is called after the last request.
func (m *Manager) Close(ctx context.Context) error {
	var errs error
	for _, p := range m.partitions {
		err := p.cycle(ctx, true)
		for err != nil && ctx.Err() == nil {
			follow.Sleep(ctx, failurePause)
			err = p.cycle(ctx, true)
		}
		errs = errors.CombineErrors(errs, err)
	}
	return errs
}
