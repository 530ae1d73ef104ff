package peerapi

import "time"

// Identity names the process at the other end of an authenticated connection.
type Identity struct {
	VM string `json:"v"`
	// Incarnation is the process start ID. Another start on the same VM has
	// another incarnation.
	Incarnation string `json:"i"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	// Address is the peers' address that the process listens on.
	Address string `json:"a"`
	// Version is the protocol version agreed for the connection.
	Version int `json:"-"`
}

// MemberState is a member's state in a heartbeat.
type MemberState uint8

// The states that travel in heartbeats. A suspicion travels as a list of
// reporters. That a member is gone does not travel: each node concludes it from
// the list or from distinct reporters.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	// MemberClosed is sent only by the member itself, as its last message.
	MemberClosed
)

// MemberRecord is one member in the digest of recent changes.
type MemberRecord struct {
	VM          string      `json:"v"`
	Incarnation string      `json:"i,omitempty"`
	Zone        string      `json:"z,omitempty"`
	Region      string      `json:"r,omitempty"`
	Address     string      `json:"a,omitempty"`
	State       MemberState `json:"s,omitempty"`
	// Seq rises when the member refutes a suspicion.
	Seq uint64 `json:"q,omitempty"`
	// Reporters are the VMs that failed to reach the member at this Seq.
	Reporters []string `json:"p,omitempty"`
}

// ConfigStatus says which configuration a node has and how fresh it is.
type ConfigStatus struct {
	// Version is the configuration version in force.
	Version uint64 `json:"v"`
	// Next is the offset of the next record of the config stream to fold.
	Next uint64 `json:"n"`
	// LogReadAgeMillis is the age of the last read to the end of the log, in ms.
	LogReadAgeMillis int64 `json:"h"`
	// LogUnreachable is true when the node's last read of the log failed.
	LogUnreachable bool `json:"u,omitempty"`
}

// Heartbeat is a probe of a peer, and the answer to one.
type Heartbeat struct {
	Self   MemberRecord `json:"s"`
	Config ConfigStatus `json:"c"`
	// TableHash is a hash of the sender's member table. Peers whose hashes
	// differ add records to their messages until the tables agree.
	TableHash uint64 `json:"t"`
	// Changes is the digest of recent changes, bounded in size.
	Changes []MemberRecord `json:"d,omitempty"`
	// LogDown is sent during a log outage: for each member in the order of VM
	// ids, 0 or 1 plus the age of its report of the outage in LogDownUnit.
	// It is valid only between tables with the same VM ids, which VMHash shows.
	LogDown []byte `json:"l,omitempty"`
	VMHash  uint64 `json:"w,omitempty"`
}

// LogDownUnit is the unit of the ages in Heartbeat.LogDown.
const LogDownUnit = 100 * time.Millisecond

// ConfigFetchParams asks a peer for accepted records of the config stream.
type ConfigFetchParams struct {
	// From is the offset of the first record wanted.
	From uint64 `json:"f"`
	// Max is the largest number of records wanted.
	Max int `json:"m"`
}

// ConfigRecord is a record of the config stream as it was read from the log.
type ConfigRecord struct {
	Offset uint64 `json:"o"`
	Data   []byte `json:"d"`
}

// ConfigFetchResult holds consecutive records from From on. First is the
// oldest offset that the peer keeps; Next is the offset after its last record.
type ConfigFetchResult struct {
	First   uint64         `json:"f"`
	Next    uint64         `json:"n"`
	Records []ConfigRecord `json:"d,omitempty"`
}
