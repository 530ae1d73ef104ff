package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// maxChangesPerHeartbeat bounds the member records in one heartbeat. Six records take about 700 bytes.
const maxChangesPerHeartbeat = 6

// changeQueue holds the members whose records changed, with the number of times that each record was sent.
type changeQueue struct{ sendCounts map[string]int }

// add queues a member's record to be sent, and restarts the count of how often it was sent.
func (q *changeQueue) add(vm string) {
	if q.sendCounts == nil {
		q.sendCounts = make(map[string]int)
	}
	q.sendCounts[vm] = 0
}

func (q *changeQueue) remove(vm string) { delete(q.sendCounts, vm) }

// takeLeastSent returns the members whose records were sent least often, and counts them as sent once more. A
// change is sent 3 log2(n) times, which reaches all of n members with high probability; comparing table
// hashes finds the rest.
func (q *changeQueue) takeLeastSent(limit, members int) []string {
	vms := slices.SortedFunc(maps.Keys(q.sendCounts), func(a, b string) int {
		if d := q.sendCounts[a] - q.sendCounts[b]; d != 0 {
			return d
		}
		return int(hashString(a)>>33) - int(hashString(b)>>33)
	})
	vms = vms[:min(limit, len(vms))]
	for _, vm := range vms {
		if q.sendCounts[vm]++; q.sendCounts[vm] >= 3*bits.Len(uint(members)) {
			delete(q.sendCounts, vm)
		}
	}
	return vms
}

func (e *tableEntry) record() peerapi.MemberRecord {
	r := peerapi.MemberRecord{
		VM: e.vm, Incarnation: e.incarnation, Zone: e.zone, Region: e.region, Address: e.address, Seq: e.seq,
		Reporters: slices.Sorted(maps.Keys(e.reporters)),
	}
	if e.leaving {
		r.State = peerapi.MemberLeaving
	}
	return r
}

// Heartbeat returns the heartbeat to send with the probes of a round.
func (m *StateMachine) Heartbeat(now time.Time, config peerapi.ConfigStatus) peerapi.Heartbeat {
	return m.nextHeartbeat(now, config, false)
}

// nextHeartbeat returns the heartbeat or the response to send now, and counts its records as sent. With
// tablesDiffer it adds further members in round-robin order.
func (m *StateMachine) nextHeartbeat(now time.Time, config peerapi.ConfigStatus, tablesDiffer bool) peerapi.Heartbeat {
	m.self.config, m.self.configReceivedAt = config, now
	hb := peerapi.Heartbeat{Self: m.self.record(), Config: config, TableHash: m.tableHash()}
	if config.LogUnreachable {
		m.self.logDownAt = now
		hb.LogDown, hb.VMHash = m.logDownAges(now)
	}
	vms := m.changes.takeLeastSent(maxChangesPerHeartbeat, len(m.table))
	if tablesDiffer {
		vms = append(vms, m.nextSyncMembers(maxChangesPerHeartbeat-len(vms))...)
	}
	for _, vm := range vms {
		if e := m.table[vm]; e != nil && e != m.self && (e.incarnation != "" || len(e.reporters) > 0) {
			hb.Changes = append(hb.Changes, e.record())
		}
	}
	return hb
}

// nextSyncMembers returns the next members in round-robin order, to send to a peer whose table differs.
func (m *StateMachine) nextSyncMembers(count int) []string {
	vms := m.sortedVMs()
	var next []string
	for range min(count, len(vms)) {
		next = append(next, vms[m.syncIndex%len(vms)])
		m.syncIndex++
	}
	return next
}

// tableHash returns a hash of the VMs, incarnations and sequence numbers, which the tables of all routers
// agree on once they have converged.
func (m *StateMachine) tableHash() uint64 {
	var sum uint64
	for _, e := range m.table {
		sum += mix(e.vmHash ^ (e.incarnationHash + e.seq))
	}
	return sum
}

// ReceiveHeartbeat merges a peer's heartbeat and returns the response to it.
func (m *StateMachine) ReceiveHeartbeat(now time.Time, from peerapi.Identity, hb peerapi.Heartbeat, config peerapi.ConfigStatus) peerapi.Heartbeat {
	// The heartbeat clears a suspicion of its sender on this router only. The response reports the suspicion
	// to that sender, which then refutes it on all routers by raising its sequence number.
	var suspected *peerapi.MemberRecord
	if e := m.table[from.VM]; e != nil && e.incarnation == from.Incarnation && (len(e.reporters) > 0 || e.gone) {
		r := e.record()
		suspected = &r
	}
	m.mergeHeartbeat(now, from, hb, false)
	response := m.nextHeartbeat(now, config, hb.TableHash != m.tableHash())
	if suspected != nil {
		response.Changes = append([]peerapi.MemberRecord{*suspected}, response.Changes...)
	}
	return response
}

// mergeHeartbeat merges a heartbeat or a response. The sender's own record gets its identity from the
// authenticated connection, not from the heartbeat. current is set when the heartbeat is the response to a
// probe and the VM's incarnation in the table has not changed since the probe began.
func (m *StateMachine) mergeHeartbeat(now time.Time, from peerapi.Identity, hb peerapi.Heartbeat, current bool) {
	m.eventSeq++
	self := hb.Self
	self.VM, self.Incarnation, self.Zone, self.Region = from.VM, from.Incarnation, from.Zone, from.Region
	self.Address, self.Reporters = from.Address, nil
	if from.VM != m.self.vm {
		m.mergeDirect(now, self, hb.Config, current)
	}
	for _, r := range hb.Changes {
		m.mergeIndirect(now, r, from.VM)
	}
}

// mergeDirect merges what a process reports about itself.
func (m *StateMachine) mergeDirect(now time.Time, r peerapi.MemberRecord, config peerapi.ConfigStatus, current bool) {
	key := processKey{r.VM, r.Incarnation}
	if m.delisted[r.VM] || m.retired[key] && !current {
		return
	}
	delete(m.retired, key)
	e := m.adoptIncarnation(r, current)
	e.respondedToProbe = e.respondedToProbe || current
	if e.incarnation != r.Incarnation {
		return
	}
	e.lastContact, e.failedProbes = now, 0
	e.config, e.configReceivedAt = config, now
	m.applyNewerSeq(e, r)
	if len(e.reporters) > 0 || e.gone {
		e.clearSuspicion()
		m.invalidateView()
	}
	if r.State == peerapi.MemberClosed {
		m.ObserveTermination(r.VM, r.Incarnation)
		e.gone, e.goneSince = true, now
		m.retired[key] = true
		m.invalidateView()
	}
}

// mergeIndirect merges what a peer reports about a member other than itself, which may be this process.
func (m *StateMachine) mergeIndirect(now time.Time, r peerapi.MemberRecord, sender string) {
	if r.VM == m.self.vm {
		m.refute(r)
		return
	}
	if e := m.table[r.VM]; e != nil && e.reporters[m.self.vm] && e.incarnation != r.Incarnation {
		// Both routers fail to reach the VM's address, which does not depend on the process that each of them
		// believes to be running there.
		m.addReporters(now, e, r.Reporters, sender)
	}
	if m.retired[processKey{r.VM, r.Incarnation}] {
		m.changes.add(r.VM) // the sender does not know the newer process
		return
	}
	// A listed VM that no router has had contact with has no incarnation. It can be suspected like any other.
	if r.Incarnation == "" && m.table[r.VM] == nil || m.delisted[r.VM] {
		return
	}
	e := m.adoptIncarnation(r, false)
	if e.incarnation != r.Incarnation {
		return
	}
	m.applyNewerSeq(e, r)
	if r.Seq != e.seq || now.Sub(e.lastContact) < m.cfg.ContactWindow {
		return
	}
	if e.gone && len(r.Reporters) == 1 {
		// The sender does not know the other reporters that made this router mark the member as gone.
		m.changes.add(e.vm)
	}
	m.addReporters(now, e, r.Reporters, sender)
}

func (m *StateMachine) addReporters(now time.Time, e *tableEntry, reporters []string, sender string) {
	for _, reporter := range reporters[:min(len(reporters), maxReporters)] {
		if reporter != e.vm && reporter != m.self.vm {
			m.addReporter(now, e, reporter, sender)
		}
	}
}

// refute counters a suspicion of this process with a higher sequence number. It also sends this process's
// record to peers that know another incarnation of the VM.
func (m *StateMachine) refute(r peerapi.MemberRecord) {
	suspected := r.Incarnation == m.self.incarnation && len(r.Reporters) > 0 && r.Seq >= m.self.seq
	if suspected {
		m.self.seq = r.Seq + 1
	}
	if suspected || r.Incarnation != m.self.incarnation {
		m.queueChange(m.self)
	}
}

// adoptIncarnation returns the VM's table entry, after setting its incarnation to that of the record if that
// is the newer one. A process that responds to a probe is always the newest. Before any has responded, the
// higher incarnation is the newer one, because incarnations rise with the start time. After that, another
// incarnation only causes a probe, because the VM's clock may have been set back.
func (m *StateMachine) adoptIncarnation(r peerapi.MemberRecord, current bool) *tableEntry {
	e := m.table[r.VM]
	if e == nil {
		e = &tableEntry{vm: r.VM}
		m.insert(e)
	}
	if e.incarnation == r.Incarnation || r.Incarnation == "" {
		return e
	}
	// If this router cannot reach the process in the table, any other process of the VM replaces it.
	unreachable := e.reporters[m.self.vm]
	if !current && !unreachable && (e.respondedToProbe || r.Incarnation < e.incarnation) {
		m.probeSoon(r.VM)
		return e
	}
	if e.incarnation != "" {
		m.retired[processKey{e.vm, e.incarnation}] = true
	}
	e.incarnation, e.incarnationHash, e.seq, e.leaving = r.Incarnation, hashString(r.Incarnation), 0, false
	e.zone, e.region, e.address = r.Zone, r.Region, r.Address
	e.lastContact, e.failedProbes, e.respondedToProbe = time.Time{}, 0, false
	e.config, e.configReceivedAt, e.logReadAt, e.logDownAt = peerapi.ConfigStatus{}, time.Time{}, time.Time{}, time.Time{}
	e.clearSuspicion()
	m.TrackProcess(r.VM, r.Incarnation, r.Address)
	m.queueChange(e)
	return e
}

func (e *tableEntry) clearSuspicion() {
	e.reporters, e.senders, e.gone = nil, nil, false
}

// applyNewerSeq applies a record of the same incarnation with a higher sequence number. Only the member
// itself raises the number. A suspicion was about the lower number, so it ends; if the member does not run,
// later probes cause a new one.
func (m *StateMachine) applyNewerSeq(e *tableEntry, r peerapi.MemberRecord) {
	if r.Seq <= e.seq {
		return
	}
	e.seq, e.leaving = r.Seq, r.State == peerapi.MemberLeaving
	e.failedProbes = 0
	e.clearSuspicion()
	m.queueChange(e)
}
