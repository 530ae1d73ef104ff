// Package vmlist defines the platform's list of VMs as the rest of the system
// sees it. The list lags: a VM may have stopped or started before it shows.
package vmlist

// State is what the platform plans for a VM.
type State string

// The states of a listed VM. A VM that is no longer listed after it was listed
// has stopped for good; a VM that is cut off from the network stays listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one element of the list.
type VM struct {
	ID string `json:"id"`
	// Address is the IP address of the VM.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	State   State  `json:"state"`
}

// List is the answer to GET /vms.
type List struct {
	VMs []VM `json:"vms"`
}
