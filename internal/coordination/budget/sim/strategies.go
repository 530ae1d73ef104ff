package sim

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// shareStrategy is strategy (c) of Table, which the routers use: each router holds
// shares of the budgets.
type shareStrategy struct {
	*Fleet
	counts        counts
	processBySlot []*Process
	keys          map[record.EntryKey]bool
}

func newShareStrategy(policy budget.Policy) *shareStrategy {
	s := &shareStrategy{keys: make(map[record.EntryKey]bool)}
	s.Fleet = NewFleet(Config{
		Policy: policy, Partitions: 4, BillBuffer: 100000, Regions: []int{slotCount / 2, slotCount / 2}, Replication: true,
	}, s.requestDecided)
	s.processBySlot = append(s.processBySlot, s.Processes...)
	return s
}

func (s *shareStrategy) requestDecided(_ *Process, r Request, err error) {
	if err == nil {
		return
	}
	s.counts.Refused++
	if s.Unreserved(r.Entry) >= r.Amount {
		s.counts.FalseRefusals++
	}
}

func (s *shareStrategy) adjust(key record.EntryKey, id string, delta int64) {
	s.keys[key] = true
	s.Adjust(key, id, delta)
}

func (s *shareStrategy) submit(slot int, r Request) {
	s.counts.Requests++
	s.Submit(s.processBySlot[slot], r)
}

func (s *shareStrategy) setFaults(partitioned, logDown bool) {
	s.Partitioned, s.LogDown = partitioned, logDown
}

func (s *shareStrategy) replace(slot int) {
	s.Drain(s.processBySlot[slot])
	s.processBySlot[slot] = s.Replace(s.processBySlot[slot])
}

func (s *shareStrategy) advance(d time.Duration) {
	s.Advance(d)
	for _, p := range s.Processes {
		if p.active() && p.Draining && s.Drained(p) {
			s.Kill(p)
			s.Delist(p)
		}
	}
}

func (s *shareStrategy) result() counts {
	for key := range s.keys {
		s.counts.Overspend += max(0, s.TokensUsed[key]-s.log.account(key).Prepaid)
	}
	s.counts.Appends = s.log.appends
	return s.counts
}

// poolStrategy is a simple model of the other strategies. Each budget is split into
// token pools; a request takes its upper bound from one pool and returns what it
// did not use.
type poolStrategy struct {
	counts               counts
	now                  time.Duration
	partitioned, logDown bool
	// perRequest selects strategy (a) of Table: one pool for the fleet, in the log,
	// so that each request needs an append and thus a VM that reaches the log.
	// Otherwise each VM has a pool, strategy (b).
	perRequest bool
	entries    map[record.EntryKey]*poolEntry
	waiting    []poolRequest
	running    []poolRequest
}

type poolEntry struct {
	prepaid, used, reserved int64
	pools                   [slotCount]int64
	// pending holds tokens that wait until the VM in a slot reaches the log: its
	// part of an adjustment that it has not read, or with perRequest the unused
	// tokens that it has not returned.
	pending [slotCount]int64
}

// poolRequest is a waiting or running request. at is when a waiting request arrived,
// or when a running one ends.
type poolRequest struct {
	req  Request
	slot int
	at   time.Duration
}

func newPoolStrategy(perRequest bool) *poolStrategy {
	return &poolStrategy{perRequest: perRequest, entries: make(map[record.EntryKey]*poolEntry)}
}

// adjust changes the prepaid amount. With perRequest the one pool gets the change;
// otherwise it is split equally over the VMs, and the remainder is dropped.
func (s *poolStrategy) adjust(key record.EntryKey, _ string, delta int64) {
	e := s.entries[key]
	if e == nil {
		e = &poolEntry{}
		s.entries[key] = e
	}
	e.prepaid += delta
	if s.perRequest {
		e.pools[0] += delta
		return
	}
	for i := range e.pending {
		e.pending[i] += delta / slotCount
	}
}

func (s *poolStrategy) setFaults(partitioned, logDown bool) {
	s.partitioned, s.logDown = partitioned, logDown
}

// replace changes nothing: the new VM has the pool of the old one at once.
func (s *poolStrategy) replace(int) {}

func (s *poolStrategy) reachable(slot int) bool {
	return !s.logDown && (!s.partitioned || slot < slotCount/2)
}

func (s *poolStrategy) submit(slot int, r Request) {
	s.counts.Requests++
	s.waiting = append(s.waiting, poolRequest{req: r, slot: slot, at: s.now})
}

func (s *poolStrategy) advance(d time.Duration) {
	s.now += d
	s.finish()
	for _, e := range s.entries {
		for slot := range e.pending {
			if s.reachable(slot) {
				e.pools[slot] += e.pending[slot]
				e.pending[slot] = 0
			}
		}
	}
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.tryStart(w) {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

// tryStart starts or refuses a waiting request. It reports false if the request must
// wait longer.
func (s *poolStrategy) tryStart(w poolRequest) bool {
	e := s.entries[w.req.Entry]
	pool := w.slot
	if s.perRequest {
		pool = 0
	}
	if e.pools[pool] >= w.req.Amount && (!s.perRequest || s.reachable(w.slot)) {
		e.pools[pool] -= w.req.Amount
		e.reserved += w.req.Amount
		s.counts.Appends++
		s.running = append(s.running, poolRequest{req: w.req, slot: w.slot, at: s.now + w.req.Duration})
		return true
	}
	if s.now < w.at+budget.DefaultPolicy().WaitInteractive {
		return false
	}
	s.counts.Refused++
	if e.prepaid-e.used-e.reserved >= w.req.Amount {
		s.counts.FalseRefusals++
	}
	return true
}

func (s *poolStrategy) finish() {
	kept := s.running[:0]
	for _, r := range s.running {
		if s.now < r.at {
			kept = append(kept, r)
			continue
		}
		e := s.entries[r.req.Entry]
		e.reserved -= r.req.Amount
		e.used += r.req.Used
		unused := r.req.Amount - r.req.Used
		if s.perRequest {
			e.returnUnused(s.reachable(r.slot), r.slot, unused)
			continue
		}
		e.pools[r.slot] += unused
	}
	s.running = kept
}

// returnUnused returns the unused tokens of a request to the one pool in the log.
// If the VM does not reach the log, it adds them to the pending tokens of the slot.
func (e *poolEntry) returnUnused(reachable bool, slot int, unused int64) {
	if reachable {
		e.pools[0] += unused
		return
	}
	e.pending[slot] += unused
}

func (s *poolStrategy) result() counts {
	for _, e := range s.entries {
		s.counts.Overspend += max(0, e.used+e.reserved-e.prepaid)
	}
	return s.counts
}
