package prepaid

import "time"

// beat is a process's sign of life in a stream. It is appended with its records,
// at least once in every interval.
type beat struct {
	Process string `cbor:"1,keyasint"`
	// Stamp is not later than the append.
	Stamp Stamp `cbor:"2,keyasint"`
	// Before is the stamp of the process's beat before, and BeforeEnd the end of
	// the stream after it.
	Before    Stamp  `cbor:"3,keyasint,omitempty"`
	BeforeEnd uint64 `cbor:"4,keyasint,omitempty"`
}

// Stamp is a moment by two clocks of a VM that are set independently.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// BootMillis counts from the start of the VM, also while it is suspended.
	BootMillis int64
	// UnixMillis is the time of day.
	UnixMillis int64
}

const (
	// restartMargin is kept between the time proven by the clocks and
	// OfflineAfter, for the resolution of timers.
	restartMargin = 300 * time.Millisecond
	// clockAgreement is how far the two clocks of a VM may differ in the time
	// since a stamp. Beyond it one of them was set, or the VM was restarted.
	clockAgreement = 250 * time.Millisecond
)

// recent reports whether an upper bound of the time between the last beat of a
// process and its end proves that it has spent no more than its open part.
func (p Policy) recent(age time.Duration) bool {
	return age >= 0 && age < p.OfflineAfter-restartMargin
}

// sameBoot returns the time between two stamps of a VM, if both clocks agree on
// it. After a restart of the VM they do not.
func sameBoot(from, to Stamp) (time.Duration, bool) {
	boot := time.Duration(to.BootMillis-from.BootMillis) * time.Millisecond
	wall := time.Duration(to.UnixMillis-from.UnixMillis) * time.Millisecond
	return boot, from != Stamp{} && boot >= 0 && (boot-wall).Abs() <= clockAgreement
}

// Testimony is what another router says of the age of a record.
type Testimony struct {
	// Age is an upper bound by a clock that has run since before the record was
	// appended; it is negative if the router was not there then.
	Age time.Duration
	// WallAge is an upper bound by the time of day, from the beat of an earlier
	// process that came before the record; it is negative if there is none.
	WallAge time.Duration
}

// verdict decides whether a beat was recent when this process started, sinceStart
// ago. own is its age by the time of day of this VM, which also covers the time
// until its append was carried out. The others confirm it, since the time of day
// may have been set back: one router is enough that was there all the time, else
// more than half must agree. Clocks are set on some VMs at a time, not on most.
func (p Policy) verdict(own time.Duration, testimonies []Testimony, routers int, sinceStart time.Duration) bool {
	if !p.recent(own) {
		return false
	}
	agree := 1
	for _, t := range testimonies {
		if t.Age >= 0 && p.recent(max(0, t.Age-sinceStart)) {
			return true
		}
		if t.WallAge >= 0 && p.recent(max(0, t.WallAge-sinceStart)) {
			agree++
		}
	}
	return 2*agree > routers
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

// witness keeps what a process can testify of.
type witness struct {
	marks []readMark
}

func (w *witness) add(m readMark) {
	if len(w.marks) == maxReadMarks {
		w.marks = append(w.marks[:0], w.marks[1:]...)
	}
	w.marks = append(w.marks, m)
}

// age returns an upper bound of the age of the record at an offset: the time
// since the last read that did not reach it began.
func (w *witness) age(offset uint64, now int64) time.Duration {
	for i := len(w.marks) - 1; i >= 0; i-- {
		if w.marks[i].end <= offset {
			return time.Duration(now-w.marks[i].began) * time.Millisecond
		}
	}
	return -1
}

// wallAge returns an upper bound of the age of the record at an offset from a
// beat that came before it.
func wallAge(b beat, at, offset uint64, now Stamp) time.Duration {
	stamp := Stamp{}
	switch {
	case b.Process == "":
		return -1
	case at <= offset:
		stamp = b.Stamp
	case b.BeforeEnd != 0 && b.BeforeEnd <= offset+1:
		stamp = b.Before
	}
	if stamp == (Stamp{}) {
		return -1
	}
	return time.Duration(now.UnixMillis-stamp.UnixMillis) * time.Millisecond
}
