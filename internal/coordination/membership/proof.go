package membership

// ProofKind says why a process cannot send any more.
type ProofKind uint8

// The kinds of proof, (a) to (c) of the design. A suspicion is none of them.
const (
	// ProofNone means that the process may still be running.
	ProofNone ProofKind = iota
	// ProofClosed: the process said itself that it has stopped.
	ProofClosed
	// ProofUnlisted: the platform's list had the VM and no longer has it.
	ProofUnlisted
	// ProofReplaced: another process of the same VM answered on the address
	// that the process would hold until its exit.
	ProofReplaced
)

// knownProcess is a process that this node knew of at some event.
type knownProcess struct {
	incarnation
	address string
	event   uint64
}

// evidence holds what this node itself has seen. Nothing in it comes from
// another node's word.
type evidence struct {
	closed   map[incarnation]bool
	replaced map[incarnation]bool
	known    map[string][]knownProcess
}

func newEvidence() evidence {
	return evidence{
		closed: make(map[incarnation]bool), replaced: make(map[incarnation]bool),
		known: make(map[string][]knownProcess),
	}
}

// Proof reports whether a process has provably stopped.
func (m *Machine) Proof(vm, id string) (ProofKind, bool) {
	switch key := (incarnation{vm, id}); {
	case m.evidence.closed[key]:
		return ProofClosed, true
	case m.departed[vm]:
		return ProofUnlisted, true
	case m.evidence.replaced[key]:
		return ProofReplaced, true
	}
	return ProofNone, false
}

// Watch registers a process that is known from the log, for example a holder
// of the time before this node started, so that an answer from its address can
// prove that it was replaced.
func (m *Machine) Watch(vm, id, address string) {
	m.event++
	for _, p := range m.evidence.known[vm] {
		if p.id == id {
			return
		}
	}
	known := knownProcess{incarnation{vm, id}, address, m.event}
	m.evidence.known[vm] = append(m.evidence.known[vm], known)
}

// ObserveClose takes the process's own word that it has stopped, received from
// itself or read from the log.
func (m *Machine) ObserveClose(vm, id string) { m.evidence.closed[incarnation{vm, id}] = true }

// proveReplaced marks the processes that cannot exist beside the one that has
// answered a probe. A process counts only if this node knew of it before the
// probe began: it held its listener then, or had held it and exited, so another
// process of the VM that answers later on the address shows its exit. Without
// that order, late news of the newer process would prove the death of the
// wrong one.
func (m *Machine) proveReplaced(p Probe, answering string) {
	kept := m.evidence.known[p.VM][:0]
	for _, known := range m.evidence.known[p.VM] {
		if known.id != answering && known.address == p.Address && known.event < p.event {
			m.evidence.replaced[known.incarnation] = true
			continue
		}
		kept = append(kept, known)
	}
	m.evidence.known[p.VM] = kept
}
