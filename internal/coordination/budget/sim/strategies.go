package sim

import (
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// shares is this design: strategy (c).
type shares struct {
	*Fleet
	tally tally
	slot  []*Proc
	keys  map[record.EntryKey]bool
}

func newShares(policy budget.Policy) *shares {
	s := &shares{keys: make(map[record.EntryKey]bool)}
	s.Fleet = NewFleet(Config{
		Policy: policy, Partitions: 4, BillBuffer: 100000, Regions: []int{slots / 2, slots / 2}, Copies: true,
	}, s.done)
	s.slot = append(s.slot, s.Procs...)
	return s
}

func (s *shares) done(_ *Proc, r Request, err error) {
	if err == nil {
		return
	}
	s.tally.Refused++
	if s.Unreserved(r.Entry) >= r.Amount {
		s.tally.FalseRefusals++
	}
}

func (s *shares) adjust(key record.EntryKey, id string, delta int64) {
	s.keys[key] = true
	s.Adjust(key, id, delta)
}

func (s *shares) submit(slot int, r Request) {
	s.tally.Requests++
	s.Submit(s.slot[slot], r)
}

func (s *shares) setFaults(cut, logDown bool) { s.Cut, s.LogDown = cut, logDown }

func (s *shares) replace(slot int) {
	s.Drain(s.slot[slot])
	s.slot[slot] = s.Replace(s.slot[slot])
}

func (s *shares) advance(d time.Duration) {
	s.Advance(d)
	for _, p := range s.Procs {
		if p.active() && p.Draining && s.Drained(p) {
			s.Kill(p)
			s.Delist(p)
		}
	}
}

func (s *shares) result() tally {
	for key := range s.keys {
		s.tally.Overspend += max(0, s.Ran[key]-s.log.account(key).Prepaid)
	}
	s.tally.Appends = s.log.appends
	return s.tally
}

// pots is a simple model of the other strategies: budget is in pots, a request
// takes its bound from one pot and gives back what it did not use.
type pots struct {
	tally        tally
	now          time.Duration
	cut, logDown bool
	// perRequest: one pot for the fleet, in the log, so each request needs the
	// log: strategy (a). Otherwise one pot for each VM: strategy (b).
	perRequest bool
	entries    map[record.EntryKey]*potEntry
	waiting    []potRequest
	running    []potRequest
}

type potEntry struct {
	prepaid, used, reserved int64
	pot                     [slots]int64
	// unseen is the part of a top-up that a VM has not read from the log.
	unseen [slots]int64
}

type potRequest struct {
	req  Request
	slot int
	at   time.Duration
}

func newPots(perRequest bool) *pots {
	return &pots{perRequest: perRequest, entries: make(map[record.EntryKey]*potEntry)}
}

func (s *pots) adjust(key record.EntryKey, _ string, delta int64) {
	e := s.entries[key]
	if e == nil {
		e = &potEntry{}
		s.entries[key] = e
	}
	e.prepaid += delta
	if s.perRequest {
		e.pot[0] += delta
		return
	}
	for i := range e.unseen {
		e.unseen[i] += delta / slots
	}
}

func (s *pots) setFaults(cut, logDown bool) { s.cut, s.logDown = cut, logDown }

// replace changes nothing: the new VM takes over the pot of the old one at once.
func (s *pots) replace(int) {}

func (s *pots) reachable(slot int) bool { return !s.logDown && (!s.cut || slot < slots/2) }

func (s *pots) submit(slot int, r Request) {
	s.tally.Requests++
	s.waiting = append(s.waiting, potRequest{req: r, slot: slot, at: s.now})
}

func (s *pots) advance(d time.Duration) {
	s.now += d
	s.finish()
	for _, e := range s.entries {
		for slot := range e.unseen {
			if s.reachable(slot) {
				e.pot[slot] += e.unseen[slot]
				e.unseen[slot] = 0
			}
		}
	}
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.try(w) {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

// try reports whether the request was started or refused.
func (s *pots) try(w potRequest) bool {
	e := s.entries[w.req.Entry]
	pot := w.slot
	if s.perRequest {
		pot = 0
	}
	if e.pot[pot] >= w.req.Amount && (!s.perRequest || s.reachable(w.slot)) {
		e.pot[pot] -= w.req.Amount
		e.reserved += w.req.Amount
		s.tally.Appends++
		s.running = append(s.running, potRequest{req: w.req, slot: w.slot, at: s.now + w.req.Duration})
		return true
	}
	if s.now < w.at+budget.DefaultPolicy().WaitInteractive {
		return false
	}
	s.tally.Refused++
	if e.prepaid-e.used-e.reserved >= w.req.Amount {
		s.tally.FalseRefusals++
	}
	return true
}

func (s *pots) finish() {
	kept := s.running[:0]
	for _, r := range s.running {
		if s.now < r.at {
			kept = append(kept, r)
			continue
		}
		e := s.entries[r.req.Entry]
		e.reserved -= r.req.Amount
		e.used += r.req.Used
		rest := r.req.Amount - r.req.Used
		if s.perRequest {
			e.unseenReturn(s.reachable(r.slot), r.slot, rest)
			continue
		}
		e.pot[r.slot] += rest
	}
	s.running = kept
}

// unseenReturn gives the rest of a request back to the one pot in the log, once
// the VM reaches the log.
func (e *potEntry) unseenReturn(reachable bool, slot int, rest int64) {
	if reachable {
		e.pot[0] += rest
		return
	}
	e.unseen[slot] += rest
}

func (s *pots) result() tally {
	for _, e := range s.entries {
		s.tally.Overspend += max(0, e.used+e.reserved-e.prepaid)
	}
	return s.tally
}
