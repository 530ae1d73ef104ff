package heartbeat

import (
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Timestamp is a point in time, read from two clocks of a VM that are set independently.
type Timestamp struct {
	_ struct{} `cbor:",toarray"`
	// BootMillis is the time since the VM was booted, including the time for which it was
	// suspended.
	BootMillis int64
	// UnixMillis is the time of day (wall clock).
	UnixMillis int64
}

const (
	// clockMargin is added to a measured gap, for the resolution of the clocks and the difference
	// between two clocks of a VM.
	clockMargin = 300 * time.Millisecond
	// maxClockDivergence is how far the two clocks of a VM may differ in the time since a
	// timestamp. Beyond it one of them was set, or the VM was rebooted.
	maxClockDivergence = 250 * time.Millisecond
)

// elapsed returns the time between two timestamps of a VM. It reports false if the clocks do not
// agree on it, as after a reboot of the VM, and if from is zero.
func elapsed(from, to Timestamp) (time.Duration, bool) {
	boot := time.Duration(to.BootMillis-from.BootMillis) * time.Millisecond
	return boot, from != Timestamp{} && boot >= 0 && (boot-wallElapsed(from, to)).Abs() <= maxClockDivergence
}

// wallElapsed is the time between two timestamps by the time of day.
func wallElapsed(from, to Timestamp) time.Duration {
	return time.Duration(to.UnixMillis-from.UnixMillis) * time.Millisecond
}

// AgeBounds are upper bounds of the age of a heartbeat, as reported by another router. They are
// sent as JSON, with the names of the fields as keys.
type AgeBounds struct {
	// Age is measured by a clock that has run since before the heartbeat was appended. It is
	// negative if the router was not running then.
	Age time.Duration
	// WallAge is measured by the time of day, from a heartbeat of the router's predecessor that
	// precedes this one in the stream. It is negative if there is none.
	WallAge time.Duration
}

// ageAtStart returns an upper bound of the age that a heartbeat had at the start of this process.
// sinceStart is the time since then. ownAge is the age by the time of day of this VM; it includes
// the time until the append took effect. Other routers have to confirm it, since the time of day of
// this VM may have been set back. If ownAge is negative, it was, and ageAtStart reports false.
//
// One router is enough if it was running when the heartbeat was appended. Otherwise bounds by the
// clocks of more than half of the routers are needed, this router's own included; the result is the
// lowest age that the bounds of more than half of the routers do not exceed. In both cases it is at
// least ownAge. Clocks are assumed to be set on a few VMs at a time, not on most.
func ageAtStart(ownAge time.Duration, bounds []AgeBounds, routers int, sinceStart time.Duration) (time.Duration, bool) {
	if ownAge < 0 {
		return 0, false
	}
	confirmed := time.Duration(-1)
	wallAges := []time.Duration{ownAge}
	for _, b := range bounds {
		if age := max(0, b.Age-sinceStart); b.Age >= 0 && (confirmed < 0 || age < confirmed) {
			confirmed = age
		}
		if b.WallAge >= 0 {
			wallAges = append(wallAges, max(0, b.WallAge-sinceStart))
		}
	}
	if confirmed >= 0 {
		return max(ownAge, confirmed), true
	}
	majority := routers/2 + 1
	if len(wallAges) < majority {
		return 0, false
	}
	slices.Sort(wallAges)
	return max(ownAge, wallAges[majority-1]), true
}

// streamRead is a read of the stream. It proves that the stream ended at or before the offset end when
// the read began.
type streamRead struct {
	// began is when the read was sent, in milliseconds since the VM was booted.
	began int64
	end   uint64
}

// maxStreamReads covers at least 16 s of reads at the daemon's interval of 500 ms, and 32 s in a fleet
// of 50 routers, where the interval is 1 s.
const maxStreamReads = 32

// readHistory holds the last reads of the stream, in order.
type readHistory []streamRead

func (h *readHistory) add(read streamRead) {
	if len(*h) == maxStreamReads {
		*h = append((*h)[:0], (*h)[1:]...)
	}
	*h = append(*h, read)
}

// age returns an upper bound of the age of the record at an offset: the time since the start of the
// newest read that found the end of the stream at or before that offset. bootMillis is the present
// time since the VM was booted. The result is negative if there is no such read.
func (h readHistory) age(offset uint64, bootMillis int64) time.Duration {
	for i := len(h) - 1; i >= 0; i-- {
		// Reads of an earlier era prove nothing: the copy of the log may contain the record.
		if h[i].end <= offset && keyedlog.Era(h[i].end) == keyedlog.Era(offset) {
			return time.Duration(bootMillis-h[i].began) * time.Millisecond
		}
	}
	return -1
}

// wallAge returns an upper bound of the age of the heartbeat at an offset: the time, by the time of
// day of this VM, since this process's predecessor sent a heartbeat that precedes it in the stream.
// It is negative if no such heartbeat is known.
func wallAge(p predecessor, offset uint64, now Timestamp) time.Duration {
	timestamp := Timestamp{}
	switch {
	case !p.known:
		return -1
	case keyedlog.Era(p.offset) != keyedlog.Era(offset):
		return -1
	case p.offset <= offset:
		timestamp = p.record.Timestamp
	case p.record.PreviousEnd != 0 && p.record.PreviousEnd <= offset+1 && keyedlog.Era(p.record.PreviousEnd) == keyedlog.Era(offset):
		timestamp = p.record.Previous
	}
	if timestamp == (Timestamp{}) {
		return -1
	}
	return wallElapsed(timestamp, now)
}
