// Package vmlist defines the platform's list of VMs, which package logclient reads. The list lags behind: a
// VM may have started or stopped before the list shows it.
package vmlist

// State says whether the platform keeps a VM or is about to stop it.
type State string

// The states of a listed VM. A VM that was listed and no longer is has stopped permanently; a VM that is
// disconnected from the network stays listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one VM of the list.
type VM struct {
	ID string `json:"id"`
	// Address is the IP address of the VM.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	State   State  `json:"state"`
}

// List is the response to GET /vms.
type List struct {
	VMs []VM `json:"vms"`
}
