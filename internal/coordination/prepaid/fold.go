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

// keySeparator stands between the entry and the VM in a record's key.
const keySeparator = "\x00"

// fold takes over records of the stream.
func (p *partition) fold(page keyedlog.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for _, rec := range page.Records {
		p.foldHolding(rec, now)
	}
	p.next = max(p.next, page.Next)
	if p.unsure != nil && p.next > p.unsure.at {
		// The stream has moved, so that its record is final.
		p.unsure = nil
		p.settle()
	}
	if p.fenced {
		p.fenced = false
		p.settle()
	}
	p.contact, p.loaded = now, true
	p.regained()
}

func (p *partition) decode(rec keyedlog.Record, out any) bool {
	if rec.Value != nil && cbor.Unmarshal(rec.Value, out) == nil {
		return true
	}
	obs.EventRecordMalformed.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "key": rec.Key, "offset": rec.Offset,
	})
	return false
}

func (p *partition) foldHolding(rec keyedlog.Record, now time.Time) {
	entry, vm, _ := strings.Cut(rec.Key, keySeparator)
	var h holding
	if !p.decode(rec, &h) {
		return
	}
	a := p.account(entry)
	switch {
	case vm != p.cfg.VM:
		a.others[vm] = seen{h, now}
	case h.Process == string(p.cfg.Process):
		if rec.Offset >= a.loggedEnd {
			p.foldOwn(a, h, rec.Offset)
		}
	default:
		a.takeOver(h)
		gap, shown, proven := p.cfg.Heartbeats.LastGap(h.Process)
		if proven {
			a.release(gap, shown[entry], p.cfg.Policy)
		}
		obs.EventShareTakenOver.Log(p.cfg.Logger, logrus.Fields{
			"entry": entry, "process": h.Process, "offset": rec.Offset, "granted": h.Granted, "spent": h.Spent,
			"in_flight": h.InFlight, "open": h.Open, "ramp": h.Ramp,
			"stranded": a.base - h.Spent, "proven": proven, "gap_ms": gap.Milliseconds(),
		})
	}
}

// foldOwn takes over a record of this process.
func (p *partition) foldOwn(a *account, h holding, offset uint64) {
	before := a.bounds
	a.logged, a.loggedEnd, a.bounds = h, offset+1, h.bounds()
	if p.unsure != nil && offset < p.unsure.at {
		// A smaller part may still be written.
		a.bounds = a.bounds.lower(before)
	}
}

// awaitProof gives free what the earlier process of this VM cannot have spent,
// when that is proven.
func (p *partition) awaitProof(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.cfg.Heartbeats.Proven():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	released := int64(0)
	for entry, a := range p.accounts {
		if gap, shown, proven := p.cfg.Heartbeats.LastGap(a.dead.Process); proven {
			released += a.release(gap, shown[entry], p.cfg.Policy)
		}
	}
	if released > 0 {
		obs.EventShareReleased.Log(p.cfg.Logger, logrus.Fields{"partition": p.stream.Partition, "tokens": released})
		p.wake()
	}
}

// confirm makes what the log has usable.
func (a *account) confirm() {
	a.bounds = a.logged.bounds()
}
