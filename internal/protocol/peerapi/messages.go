package peerapi

import "time"

// Identity identifies the process at one end of a connection.
type Identity struct {
	VM string `json:"v"`
	// Incarnation identifies one start of the process; it differs between two starts on the same VM.
	Incarnation string `json:"i"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	// Address is the address on which the process accepts peer connections.
	Address string `json:"a"`
	// Version is the negotiated protocol version of the connection.
	Version int `json:"-"`
}

// MemberState is a member's state in a heartbeat.
type MemberState uint8

// The states sent in heartbeats. A suspicion is sent as a list of reporters. That a member is gone is not
// sent: each router concludes it from the VM list or from the number of distinct reporters.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	// MemberClosed is sent only by the member itself, as its last message.
	MemberClosed
)

// MemberRecord is the state of one member, as gossiped in heartbeats.
type MemberRecord struct {
	VM          string      `json:"v"`
	Incarnation string      `json:"i,omitempty"`
	Zone        string      `json:"z,omitempty"`
	Region      string      `json:"r,omitempty"`
	Address     string      `json:"a,omitempty"`
	State       MemberState `json:"s,omitempty"`
	// Seq increases when the member refutes a suspicion.
	Seq uint64 `json:"q,omitempty"`
	// Reporters are the VMs that could not reach the member at this Seq.
	Reporters []string `json:"p,omitempty"`
}

// ConfigStatus is the configuration version of a router and its freshness.
type ConfigStatus struct {
	// Version is the active configuration version.
	Version uint64 `json:"v"`
	// Next is the offset of the next record of the config stream to apply.
	Next uint64 `json:"n"`
	// LogReadAgeMillis is the age, in milliseconds, of the newest read to the end of the log that confirms the
	// configuration: the router's own read, or that of a peer without a newer record.
	LogReadAgeMillis int64 `json:"h"`
	// LogUnreachable is true if the router's last read of the log failed.
	LogUnreachable bool `json:"u,omitempty"`
}

// Heartbeat is a probe of a peer, and also the response to a probe.
type Heartbeat struct {
	Self   MemberRecord `json:"s"`
	Config ConfigStatus `json:"c"`
	// TableHash is a hash of the sender's member table. Peers whose hashes differ add records to their
	// messages until the tables are equal.
	TableHash uint64 `json:"t"`
	// Changes are recent changes of the member table, bounded in number.
	Changes []MemberRecord `json:"d,omitempty"`
	// LogDown is sent during a log outage. It has one byte per member, in the order of VM IDs: 0 if the
	// member has not reported the outage, else 1 plus the age of its report in units of LogDownUnit. It is
	// valid only between tables with the same VM IDs, which VMHash verifies.
	LogDown []byte `json:"l,omitempty"`
	VMHash  uint64 `json:"w,omitempty"`
}

// LogDownUnit is the unit of the ages in Heartbeat.LogDown.
const LogDownUnit = 100 * time.Millisecond

// ConfigFetchParams requests accepted records of the config stream from a peer.
type ConfigFetchParams struct {
	// From is the offset of the first requested record.
	From uint64 `json:"f"`
	// Max is the maximum number of records.
	Max int `json:"m"`
}

// ConfigRecord is a record of the config stream as read from the log.
type ConfigRecord struct {
	Offset uint64 `json:"o"`
	Data   []byte `json:"d"`
}

// ConfigFetchResult contains consecutive records starting at From. First is the oldest offset that the peer
// keeps; Next is the offset after its last record.
type ConfigFetchResult struct {
	First   uint64         `json:"f"`
	Next    uint64         `json:"n"`
	Records []ConfigRecord `json:"d,omitempty"`
}
