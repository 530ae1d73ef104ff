package prepaid

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// When the log is restored from an older copy, the records of the last seconds are missing, so that it shows less than
// the VMs were granted. Each VM appends its records again. Until all have, no share is raised, and what a VM knows of the
// others from before counts. A process that did not know the records of its predecessor before asks the other VMs for
// them.

const (
	// settleTime is how long no share is raised after the first read of a restored log. By then each live VM has
	// appended its records again, also those of which the copy has no earlier one.
	settleTime = 2 * time.Second
	// reassertTimeout is how long no share is raised while records of VMs are outdated. A VM that is replaced after a
	// crash takes some seconds.
	reassertTimeout = 12 * time.Second
	// lostTime is an upper bound of the age of the copy and the time until the processes had ended, from which it is
	// estimated what they may have spent without a record. lostDemandFactor allows for a growing demand.
	lostTime         = 12 * time.Second
	lostDemandFactor = 2
	// recallRounds is how often the other VMs are asked, recallInterval the time between two rounds, and recallTimeout the
	// bound of one. At first a new process knows only some of them, and those may not have read what was lost.
	recallRounds   = 4
	recallInterval = 300 * time.Millisecond
	recallTimeout  = 250 * time.Millisecond
)

// era is the era of the log up to which the stream was read. The caller holds p.mu.
func (p *partition) era() uint64 { return keyedlog.Era(p.nextOffset) }

// enterEra is called before the first records of an era are applied. The caller holds p.mu.
func (p *partition) enterEra(era uint64, now time.Time) {
	p.enteredAt = now
	if !p.everLoaded {
		p.everLoaded = true
		p.nextOffset = keyedlog.OffsetIn(era, 0)
		return
	}
	for _, a := range p.accounts {
		a.keepConfirmed()
	}
	p.unresolved, p.fenced = nil, false
	if p.pendingReport != nil {
		// A new epoch fences the report, in case that it is still executed.
		p.pendingReport, p.mayBeAppended, p.epochAcquired = nil, false, false
		p.producer.Epoch, p.producer.Sequence = p.producer.Epoch+1, 0
	}
	p.nextOffset = keyedlog.OffsetIn(era, 0)
	obs.EventSharesReasserted.Log(p.cfg.Logger, logrus.Fields{
		"stream": p.stream.Name, "partition": p.stream.Partition, "era": era, "entries": len(p.accounts),
	})
}

// keepConfirmed limits the logged share to what this VM may use. An append without a response may have returned the rest
// to the budget before the log was restored.
func (a *account) keepConfirmed() {
	a.logged.Granted = max(min(a.logged.Granted, a.limits.granted), a.shareUsed())
	a.confirmLimits()
}

// mayRaise reports whether the records show all shares of a budget that VMs may hold. The caller holds p.mu.
func (p *partition) mayRaise(a *account, now time.Time) bool {
	since, era := now.Sub(p.enteredAt), p.era()
	switch {
	case era == 0, since >= reassertTimeout:
		return true // the log was never restored, or long ago
	case since < settleTime:
		return false
	}
	for _, r := range a.others {
		if r.outdated(era) {
			return false
		}
	}
	return true
}

// lostSpending estimates what the VM of an outdated record may have been granted after it, beyond what the record shows.
func (r shareRecord) lostSpending() int64 {
	return max(0, int64(lostDemandFactor*lostTime.Seconds()*float64(r.Demand))-(r.Granted-r.Spent))
}

// unknownShares estimates what VMs that have not appended their records again may hold beyond these.
func (a *account) unknownShares(era uint64) (sum int64) {
	for _, r := range a.others {
		if r.outdated(era) {
			sum += r.lostSpending()
		}
	}
	return sum
}

// setPredecessor sets the record of the predecessor. If the log was restored after it was written, it may not be the last
// one: nothing of it is released, what it may have spent since counts as spent too, and the other VMs are asked for
// later records. The caller holds p.mu.
func (p *partition) setPredecessor(a *account, share shareRecord) {
	a.setPredecessor(share)
	a.predecessorSetAt = p.cfg.Now()
	if !share.outdated(p.era()) {
		return
	}
	prepaid, _ := p.cfg.Prepaid(a.entry)
	a.strandMore(min(share.lostSpending(), max(0, prepaid-a.totalGranted())))
	p.manager.startRecall()
}

// strandMore counts more than the predecessor's share as spent.
func (a *account) strandMore(amount int64) {
	a.predecessorReleased = true
	a.stranded += amount
	a.priorUsage += amount
}

// startRecall asks the other VMs, once per process, for later records of this VM.
func (m *Manager) startRecall() {
	if m.cfg.Peers == nil {
		return
	}
	m.recallOnce.Do(func() { go m.recall() })
}

func (m *Manager) recall() {
	for range recallRounds {
		ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
		for _, shares := range m.cfg.Peers.Recall(ctx) {
			for entry, value := range shares {
				m.partitionOf(entry).applyRecalled(entry, value)
			}
		}
		cancel()
		time.Sleep(recallInterval)
	}
}

// applyRecalled applies the record of an earlier process of this VM that another VM knows.
func (p *partition) applyRecalled(entry string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var share shareRecord
	if !p.everLoaded || !p.decode(keyedlog.Record{Key: entry, Value: value}, &share) {
		return
	}
	a := p.account(entry)
	if share.Process == string(p.cfg.Process) || !a.predecessor.before(share) {
		return
	}
	obs.EventShareRecalled.Log(p.cfg.Logger, logrus.Fields{
		"entry": entry, "process": share.Process, "granted": share.Granted, "spent": share.Spent,
		"before": a.predecessor.Granted, "counted": a.priorUsage,
	})
	a.predecessor, a.predecessorRecalled = share, true
	a.strandMore(max(0, share.Granted-a.priorUsage))
	p.wake()
}

// forgetSuperseded ends the time in which new processes ask for the records. The caller holds p.mu.
func (p *partition) forgetSuperseded() {
	for _, a := range p.accounts {
		clear(a.superseded)
	}
}

// SharesOf returns the latest records of another VM that this VM knows, by entry, for Peers.Recall. If the VM's process
// was replaced after the log was restored, they are those of the process before.
func (m *Manager) SharesOf(vm string) map[string][]byte {
	out := make(map[string][]byte)
	for _, p := range m.partitions {
		p.mu.Lock()
		for entry, a := range p.accounts {
			share, ok := a.superseded[vm]
			if !ok {
				share = a.others[vm].shareRecord
			}
			if value, err := cbor.Marshal(share); err == nil && share.Process != "" { // such a struct is always encoded
				out[entry] = value
			}
		}
		p.mu.Unlock()
	}
	return out
}
