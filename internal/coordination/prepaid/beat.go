package prepaid

import "time"

// beat is a process's sign of life in a stream. It is appended with its records,
// at least once in every interval.
type beat struct {
	Process string `cbor:"1,keyasint"`
	// Stamp is not later than the append.
	Stamp Stamp `cbor:"2,keyasint"`
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

// provenRecent reports whether less than OfflineAfter can have passed between a
// stamp and now.
func (p Policy) provenRecent(s, now Stamp) bool {
	boot := time.Duration(now.BootMillis-s.BootMillis) * time.Millisecond
	wall := time.Duration(now.UnixMillis-s.UnixMillis) * time.Millisecond
	return s != Stamp{} && wall >= 0 && wall < p.OfflineAfter-restartMargin && (boot-wall).Abs() <= clockAgreement
}
