package membership

// ProofKind says how it is known that a process has terminated and can send nothing more.
type ProofKind uint8

// The kinds of proof. A suspicion is not a proof.
const (
	// ProofNone means that the process may still be running.
	ProofNone ProofKind = iota
	// ProofClosed means that the process itself has reported its termination.
	ProofClosed
	// ProofDelisted means that the VM left the platform's list.
	ProofDelisted
	// ProofReplaced means that another process of the same VM responded on the address that the process would
	// have listened on until its exit.
	ProofReplaced
)

// knownProcess is a process that this router has known since eventSeq, which numbers events as in
// StateMachine.
type knownProcess struct {
	processKey
	address  string
	eventSeq uint64
}

// evidence holds what proofs are based on: what this router itself has observed or was told by the process
// concerned, never by another router.
type evidence struct {
	// closed holds the processes that have reported their own termination, as for ProofClosed.
	closed   map[processKey]bool
	replaced map[processKey]bool
	known    map[string][]knownProcess
}

func newEvidence() evidence {
	return evidence{
		closed: make(map[processKey]bool), replaced: make(map[processKey]bool),
		known: make(map[string][]knownProcess),
	}
}

// Proof reports whether a process has provably terminated, and by which kind of proof.
func (m *StateMachine) Proof(vm, incarnation string) (ProofKind, bool) {
	switch key := (processKey{vm, incarnation}); {
	case m.evidence.closed[key]:
		return ProofClosed, true
	case m.delisted[vm]:
		return ProofDelisted, true
	case m.evidence.replaced[key]:
		return ProofReplaced, true
	}
	return ProofNone, false
}

// TrackProcess registers a process that this router has learned of, for example from the log as the holder of
// a budget share. If another process of the VM later responds on its address, that proves that it was
// replaced.
func (m *StateMachine) TrackProcess(vm, incarnation, address string) {
	m.eventSeq++
	for _, p := range m.evidence.known[vm] {
		if p.incarnation == incarnation {
			return
		}
	}
	known := knownProcess{processKey{vm, incarnation}, address, m.eventSeq}
	m.evidence.known[vm] = append(m.evidence.known[vm], known)
}

// ObserveTermination records that a process itself has reported its termination, in a message or in the log.
func (m *StateMachine) ObserveTermination(vm, incarnation string) {
	m.evidence.closed[processKey{vm, incarnation}] = true
}

// proveReplaced marks the processes as replaced that cannot run at the same time as the one that responded to
// a probe. Only processes that this router knew before the probe began are marked: they were listening on the
// address then, or had already exited, so a response of another process of the VM on that address shows their
// exit. Without this condition, a process that this router learns of between the probe and a delayed response
// of its predecessor would be taken as terminated.
func (m *StateMachine) proveReplaced(p Probe, responding string) {
	kept := m.evidence.known[p.VM][:0]
	for _, known := range m.evidence.known[p.VM] {
		if known.incarnation != responding && known.address == p.Address && known.eventSeq < p.eventSeq {
			m.evidence.replaced[known.processKey] = true
			continue
		}
		kept = append(kept, known)
	}
	m.evidence.known[p.VM] = kept
}
