package heartbeat

import (
	"slices"
	"time"
)

// Timestamp is a moment by two clocks of a VM that are set independently.
type Timestamp struct {
	_ struct{} `cbor:",toarray"`
	// BootMillis counts from the start of the VM, also while it is suspended.
	BootMillis int64
	// UnixMillis is the time of day.
	UnixMillis int64
}

const (
	// restartMargin is added to the time proven by the clocks, for their resolution
	// and for the difference between two clocks of a VM.
	restartMargin = 300 * time.Millisecond
	// clockAgreement is how far the two clocks of a VM may differ in the time
	// since a stamp. Beyond it one of them was set, or the VM was restarted.
	clockAgreement = 250 * time.Millisecond
)

// sameBoot returns the time between two stamps of a VM, if both clocks agree on
// it. After a restart of the VM they do not.
func sameBoot(from, to Timestamp) (time.Duration, bool) {
	boot := time.Duration(to.BootMillis-from.BootMillis) * time.Millisecond
	return boot, from != Timestamp{} && boot >= 0 && (boot-wallBetween(from, to)).Abs() <= clockAgreement
}

func wallBetween(from, to Timestamp) time.Duration {
	return time.Duration(to.UnixMillis-from.UnixMillis) * time.Millisecond
}

// AgeBounds is what another router says of the age of a beat.
type AgeBounds struct {
	// Age is an upper bound by a clock that has run since before the beat was
	// appended; it is negative if the router was not there then.
	Age time.Duration
	// WallAge is an upper bound by the time of day, from the beat of an earlier
	// process that came before; it is negative if there is none.
	WallAge time.Duration
}

// verdict returns an upper bound of the age that a beat had when this process
// started, sinceStart ago. own is its age by the time of day of this VM, which also
// covers the time until its append was carried out. The others confirm it, since
// the time of day may have been set back: one router is enough that was there all
// the time, else more than half must agree. Clocks are set on some VMs at a time,
// not on most.
func verdict(own time.Duration, testimonies []AgeBounds, routers int, sinceStart time.Duration) (time.Duration, bool) {
	if own < 0 {
		return 0, false
	}
	witnessed := time.Duration(-1)
	clocks := []time.Duration{own}
	for _, t := range testimonies {
		if age := max(0, t.Age-sinceStart); t.Age >= 0 && (witnessed < 0 || age < witnessed) {
			witnessed = age
		}
		if t.WallAge >= 0 {
			clocks = append(clocks, max(0, t.WallAge-sinceStart))
		}
	}
	if witnessed >= 0 {
		return max(own, witnessed), true
	}
	majority := routers/2 + 1
	if len(clocks) < majority {
		return 0, false
	}
	slices.Sort(clocks)
	return max(own, clocks[majority-1]), true
}

// readMark says that at a time the stream ended at or before an offset.
type readMark struct {
	// began is by the clock that counts from the start of the VM, in
	// milliseconds, and before the read was sent.
	began int64
	end   uint64
}

// maxReadMarks covers about half a minute of reads.
const maxReadMarks = 32

// marks are the last reads.
type marks []readMark

func (m *marks) add(mark readMark) {
	if len(*m) == maxReadMarks {
		*m = append((*m)[:0], (*m)[1:]...)
	}
	*m = append(*m, mark)
}

// age returns an upper bound of the age of the record at an offset: the time
// since the last read that did not reach it began.
func (m marks) age(offset uint64, now int64) time.Duration {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].end <= offset {
			return time.Duration(now-m[i].began) * time.Millisecond
		}
	}
	return -1
}

// wallAge returns an upper bound of the age of the beat at an offset from a beat
// of a router's earlier process that came before it.
func wallAge(p predecessor, offset uint64, now Timestamp) time.Duration {
	stamp := Timestamp{}
	switch {
	case !p.known:
		return -1
	case p.at <= offset:
		stamp = p.record.Timestamp
	case p.record.BeforeEnd != 0 && p.record.BeforeEnd <= offset+1:
		stamp = p.record.Before
	}
	if stamp == (Timestamp{}) {
		return -1
	}
	return wallBetween(stamp, now)
}
