package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/dotterelthread/dotterelthread/internal/coordination/prepaid"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// readStamp reads the clocks of the VM.
func readStamp() prepaid.Stamp {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The zero stamp proves nothing.
		return prepaid.Stamp{}
	}
	return prepaid.Stamp{BootMillis: boot.Nano() / int64(time.Millisecond), UnixMillis: time.Now().UnixMilli()}
}

// handBackRequest asks a router to hand back a part of a budget.
type handBackRequest struct {
	Entry  string `json:"entry"`
	Amount int64  `json:"amount"`
}

// methodHandBack is the method of handBackRequest.
const methodHandBack = "prepaid.handback"

// serveBudget answers the requests of other routers.
func (p *gatewayPeers) serveBudget(m *prepaid.Manager) {
	if p.server == nil {
		return
	}
	p.server.Handle(methodHandBack, func(ctx context.Context, _ peerapi.Identity, params json.RawMessage) (any, error) {
		var request handBackRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, errors.Wrap(err, "parameters")
		}
		return struct{}{}, m.HandBack(ctx, request.Entry, request.Amount)
	})
}

// askHandBack asks routers at a time and waits for all of them.
func (p *gatewayPeers) askHandBack(ctx context.Context, vms []string, entry string, amount int64) {
	if p.pool == nil {
		return
	}
	var asked sync.WaitGroup
	for _, vm := range vms {
		address, ok := p.gateway.members.address(vm)
		if !ok {
			continue
		}
		asked.Go(func() {
			var result struct{}
			// A router that does not answer keeps its part; the pool counts it.
			_ = p.pool.Call(ctx, address, methodHandBack, handBackRequest{Entry: entry, Amount: amount}, &result)
		})
	}
	asked.Wait()
}
