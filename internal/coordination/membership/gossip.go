package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// maxChanges bounds the digest of one message: 6 records are about 700 bytes.
const maxChanges = 6

// changeQueue holds the members with news, with the times each was sent.
type changeQueue struct{ sent map[string]int }

func (q *changeQueue) add(vm string) {
	if q.sent == nil {
		q.sent = make(map[string]int)
	}
	q.sent[vm] = 0
}

func (q *changeQueue) remove(vm string) { delete(q.sent, vm) }

// take returns the members that were sent least often and counts one more
// sending. A change is sent 3 log2(n) times, which reaches all of n members
// with high probability; comparing table hashes finds the rest.
func (q *changeQueue) take(limit, members int) []string {
	vms := slices.SortedFunc(maps.Keys(q.sent), func(a, b string) int {
		if d := q.sent[a] - q.sent[b]; d != 0 {
			return d
		}
		return int(hashString(a)>>33) - int(hashString(b)>>33)
	})
	vms = vms[:min(limit, len(vms))]
	for _, vm := range vms {
		if q.sent[vm]++; q.sent[vm] >= 3*bits.Len(uint(members)) {
			delete(q.sent, vm)
		}
	}
	return vms
}

func (e *entry) record() peerapi.MemberRecord {
	r := peerapi.MemberRecord{
		VM: e.vm, Incarnation: e.id, Zone: e.zone, Region: e.region, Address: e.address, Seq: e.seq,
		Reporters: slices.Sorted(maps.Keys(e.reporters)),
	}
	if e.leaving {
		r.State = peerapi.MemberLeaving
	}
	return r
}

// Heartbeat returns the message to send with a probe.
func (m *Machine) Heartbeat(now time.Time, config peerapi.ConfigStatus) peerapi.Heartbeat {
	return m.message(now, config, false)
}

func (m *Machine) message(now time.Time, config peerapi.ConfigStatus, differ bool) peerapi.Heartbeat {
	m.self.config, m.self.configAt = config, now
	hb := peerapi.Heartbeat{Self: m.self.record(), Config: config, TableHash: m.tableHash()}
	if config.LogUnreachable {
		m.self.logDownAt = now
		hb.LogDown, hb.VMHash = m.logDown(now)
	}
	vms := m.queue.take(maxChanges, len(m.table))
	if differ {
		vms = append(vms, m.nextRefill(maxChanges-len(vms))...)
	}
	for _, vm := range vms {
		if e := m.table[vm]; e != nil && e != m.self && (e.id != "" || len(e.reporters) > 0) {
			hb.Changes = append(hb.Changes, e.record())
		}
	}
	return hb
}

// nextRefill returns the next members in turn, for a peer whose table differs.
func (m *Machine) nextRefill(count int) []string {
	vms := m.sortedVMs()
	var next []string
	for range min(count, len(vms)) {
		next = append(next, vms[m.refill%len(vms)])
		m.refill++
	}
	return next
}

// tableHash covers what the tables of all nodes agree on in the end.
func (m *Machine) tableHash() uint64 {
	var sum uint64
	for _, e := range m.table {
		sum += mix(e.vmHash ^ (e.idHash + e.seq))
	}
	return sum
}

// Receive takes a peer's heartbeat and returns the answer to it.
func (m *Machine) Receive(now time.Time, from peerapi.Identity, hb peerapi.Heartbeat, config peerapi.ConfigStatus) peerapi.Heartbeat {
	// The sender is told of suspicions against itself, which its message has
	// just shown wrong here, so that it refutes them everywhere.
	var accused *peerapi.MemberRecord
	if e := m.table[from.VM]; e != nil && e.id == from.Incarnation && (len(e.reporters) > 0 || e.gone) {
		r := e.record()
		accused = &r
	}
	m.take(now, from, hb, false)
	answer := m.message(now, config, hb.TableHash != m.tableHash())
	if accused != nil {
		answer.Changes = append([]peerapi.MemberRecord{*accused}, answer.Changes...)
	}
	return answer
}

// take merges a message. Only the authenticated identity counts for what the
// sender says about itself. It is current when it answers a probe and the table
// has not changed for the VM since the probe began.
func (m *Machine) take(now time.Time, from peerapi.Identity, hb peerapi.Heartbeat, current bool) {
	m.event++
	self := hb.Self
	self.VM, self.Incarnation, self.Zone, self.Region = from.VM, from.Incarnation, from.Zone, from.Region
	self.Address, self.Reporters = from.Address, nil
	if from.VM != m.self.vm {
		m.direct(now, self, hb.Config, current)
	}
	for _, r := range hb.Changes {
		m.hearsay(now, r, from.VM)
	}
}

// direct merges what a process says about itself.
func (m *Machine) direct(now time.Time, r peerapi.MemberRecord, config peerapi.ConfigStatus, current bool) {
	key := incarnation{r.VM, r.Incarnation}
	if m.departed[r.VM] || m.ended[key] && !current {
		return
	}
	delete(m.ended, key)
	e := m.adopt(r, current)
	e.answered = e.answered || current
	if e.id != r.Incarnation {
		return
	}
	e.heard, e.failures = now, 0
	e.config, e.configAt = config, now
	m.advance(e, r)
	if len(e.reporters) > 0 || e.gone {
		e.clearSuspicion()
		m.changed()
	}
	if r.State == peerapi.MemberClosed {
		m.ObserveClose(r.VM, r.Incarnation)
		e.gone, e.goneSince = true, now
		m.ended[key] = true
		m.changed()
	}
}

// hearsay merges what a peer says about another member.
func (m *Machine) hearsay(now time.Time, r peerapi.MemberRecord, sender string) {
	if r.VM == m.self.vm {
		m.refute(r)
		return
	}
	if e := m.table[r.VM]; e != nil && e.reporters[m.self.vm] && e.id != r.Incarnation {
		// Both nodes fail to reach the VM's fixed address, whichever process
		// each of them believes to be there.
		m.reportAll(now, e, r.Reporters, sender)
	}
	if m.ended[incarnation{r.VM, r.Incarnation}] {
		m.queue.add(r.VM) // the sender does not know of the newer process
		return
	}
	// A listed VM that nobody has heard yet has no incarnation; it can be
	// suspected like any other.
	if r.Incarnation == "" && m.table[r.VM] == nil || m.departed[r.VM] {
		return
	}
	e := m.adopt(r, false)
	if e.id != r.Incarnation {
		return
	}
	m.advance(e, r)
	if r.Seq != e.seq || now.Sub(e.heard) < m.cfg.HeardWindow {
		return
	}
	if e.gone && len(r.Reporters) == 1 {
		// The sender's suspicion lacks what removed the member here.
		m.queue.add(e.vm)
	}
	m.reportAll(now, e, r.Reporters, sender)
}

func (m *Machine) reportAll(now time.Time, e *entry, reporters []string, sender string) {
	for _, reporter := range reporters[:min(len(reporters), maxReporters)] {
		if reporter != e.vm && reporter != m.self.vm {
			m.report(now, e, reporter, sender)
		}
	}
}

// refute answers a suspicion against this process with a higher Seq.
func (m *Machine) refute(r peerapi.MemberRecord) {
	accused := r.Incarnation == m.self.id && len(r.Reporters) > 0 && r.Seq >= m.self.seq
	if accused {
		m.self.seq = r.Seq + 1
	}
	if accused || r.Incarnation != m.self.id {
		m.announce(m.self)
	}
}

// adopt returns the VM's entry, with the record's incarnation in it if that is
// the newer one. The process that answers a probe is current. Before one has
// answered, ids decide, because they rise with the start time; after that a
// higher id only causes a probe, because a clock may have been set back.
func (m *Machine) adopt(r peerapi.MemberRecord, current bool) *entry {
	e := m.table[r.VM]
	if e == nil {
		e = &entry{vm: r.VM}
		m.insert(e)
	}
	if e.id == r.Incarnation || r.Incarnation == "" {
		return e
	}
	// A process that this node cannot reach gives way to any other of its VM.
	silent := e.reporters[m.self.vm]
	if !current && !silent && (e.answered || r.Incarnation < e.id) {
		m.hurry(r.VM)
		return e
	}
	if e.id != "" {
		m.ended[incarnation{e.vm, e.id}] = true
	}
	e.id, e.idHash, e.seq, e.leaving = r.Incarnation, hashString(r.Incarnation), 0, false
	e.zone, e.region, e.address = r.Zone, r.Region, r.Address
	e.heard, e.failures, e.answered = time.Time{}, 0, false
	e.config, e.configAt, e.logHeardAt, e.logDownAt = peerapi.ConfigStatus{}, time.Time{}, time.Time{}, time.Time{}
	e.clearSuspicion()
	m.Watch(r.VM, r.Incarnation, r.Address)
	m.announce(e)
	return e
}

func (e *entry) clearSuspicion() {
	e.reporters, e.senders, e.gone = nil, nil, false
}

// advance takes a newer state of the same incarnation.
func (m *Machine) advance(e *entry, r peerapi.MemberRecord) {
	if r.Seq <= e.seq {
		return
	}
	e.seq, e.leaving = r.Seq, r.State == peerapi.MemberLeaving
	e.failures = 0
	e.clearSuspicion()
	m.announce(e)
}
