package prepaid

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// keySeparator separates the entry from the VM in a record's key.
const keySeparator = "\x00"

// apply applies the records of a page.
func (p *partition) apply(page keyedlog.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if era := keyedlog.Era(page.Next); !p.everLoaded || era > p.era() {
		p.enterEra(era, now)
	} else if now.Sub(p.enteredAt) > reassertTimeout {
		p.forgetSuperseded()
	}
	for _, rec := range page.Records {
		p.applyRecord(rec, now)
	}
	p.nextOffset = max(p.nextOffset, page.Next)
	if p.unresolved != nil && p.nextOffset > p.unresolved.at {
		// The stream has grown past the offset of the condition, so the append has either taken
		// effect or never will.
		p.unresolved = nil
		p.confirmLimits()
	}
	if p.fenced {
		p.fenced = false
		p.confirmLimits()
	}
	p.lastResponse, p.loaded = now, true
	p.noteRecovery()
}

// decode decodes the value of a record. It logs a malformed one and reports false.
func (p *partition) decode(rec keyedlog.Record, out any) bool {
	if rec.Value != nil && cbor.Unmarshal(rec.Value, out) == nil {
		return true
	}
	p.logMalformed(rec)
	return false
}

func (p *partition) logMalformed(rec keyedlog.Record) {
	obs.EventRecordMalformed.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "key": rec.Key, "offset": rec.Offset,
	})
}

// applyRecord applies a record of any VM. The caller holds p.mu.
func (p *partition) applyRecord(rec keyedlog.Record, now time.Time) {
	entry, vm, ok := strings.Cut(rec.Key, keySeparator)
	var share shareRecord
	if !p.decode(rec, &share) {
		return
	}
	if !ok || !share.valid() {
		p.logMalformed(rec)
		return
	}
	a := p.account(entry)
	switch {
	case vm != p.cfg.VM:
		known, ok := a.others[vm]
		if ok && ofCopy(rec, share, known.shareRecord, known.offset) {
			return
		}
		if ok && known.outdated(p.era()) && known.Process != share.Process {
			a.superseded[vm] = known.shareRecord
		}
		a.others[vm] = peerRecord{share, now, rec.Offset}
	case share.Process == string(p.cfg.Process):
		if rec.Offset >= a.loggedEnd && !ofCopy(rec, share, a.logged, a.loggedEnd) {
			p.applyOwnRecord(a, share, rec.Offset)
		}
	case ofCopy(rec, share, a.logged, max(a.loggedEnd, a.predecessorOffset)),
		a.predecessorRecalled && share.before(a.predecessor):
		// A later record is known.
	default:
		a.predecessorOffset = rec.Offset
		p.setPredecessor(a, share)
		gap, usage, proven := p.cfg.Heartbeats.PredecessorGap(share.Process)
		if proven {
			a.releaseUnspent(gap, usage[entry], p.cfg.Policy)
		}
		obs.EventShareCountedSpent.Log(p.cfg.Logger, logrus.Fields{
			"entry": entry, "process": share.Process, "offset": rec.Offset, "granted": share.Granted, "spent": share.Spent,
			"in_flight": share.InFlight, "open": share.BaseLimit, "ramp": share.RampRate, "reported": usage[entry],
			"counted": a.priorUsage, "stranded": a.priorUsage - share.Spent, "proven": proven, "gap_ms": gap.Milliseconds(),
			"outdated": share.outdated(p.era()),
		})
	}
}

// ofCopy reports whether a record is only in the log because that was restored from an older copy: a later record of the
// VM, read at an offset of an earlier era, is known. The VM appends that one again.
func ofCopy(rec keyedlog.Record, share, known shareRecord, knownOffset uint64) bool {
	era := keyedlog.Era(rec.Offset)
	return era > keyedlog.Era(knownOffset) && share.outdated(era) && known.Process != "" && !known.before(share)
}

// applyOwnRecord applies a record of this process. The caller holds p.mu.
func (p *partition) applyOwnRecord(a *account, share shareRecord, offset uint64) {
	before := a.limits
	a.logged, a.loggedEnd, a.limits = share, offset+1, share.limits()
	if p.unresolved != nil && offset < p.unresolved.at {
		// The unresolved append may still lower the share.
		a.limits = a.limits.lower(before)
	}
}

// releaseOnProvenGap waits until an upper bound of the predecessor's last gap is proven, and then
// releases what the predecessor cannot have spent.
func (p *partition) releaseOnProvenGap(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.cfg.Heartbeats.WhenPredecessorGapProven():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	released := int64(0)
	for entry, a := range p.accounts {
		if gap, usage, proven := p.cfg.Heartbeats.PredecessorGap(a.predecessor.Process); proven {
			released += a.releaseUnspent(gap, usage[entry], p.cfg.Policy)
		}
	}
	if released > 0 {
		obs.EventPredecessorShareReleased.Log(p.cfg.Logger, logrus.Fields{"partition": p.stream.Partition, "tokens": released})
		p.wake()
	}
}

// confirmLimits makes the limits of the logged record active.
func (a *account) confirmLimits() {
	a.limits = a.logged.limits()
}
