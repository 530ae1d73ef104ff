package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/coordination/prepaid"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// readStamp reads the clocks of the VM.
func readStamp() heartbeat.Timestamp {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The zero stamp proves nothing.
		return heartbeat.Timestamp{}
	}
	return heartbeat.Timestamp{BootMillis: boot.Nano() / int64(time.Millisecond), UnixMillis: time.Now().UnixMilli()}
}

// loanRequest asks a router for a part of its share of a budget, or returns an
// unused part.
type loanRequest struct {
	Entry  string `json:"entry"`
	Amount int64  `json:"amount"`
}

// loanResponse says how much was lent.
type loanResponse struct {
	Lent int64 `json:"lent"`
}

// witnessRequest asks a router for the age of a beat.
type witnessRequest struct {
	Offset uint64 `json:"offset"`
}

// Methods of budgets.
const (
	methodBorrow  = "prepaid.borrow"
	methodRepay   = "prepaid.repay"
	methodWitness = "prepaid.witness"
)

const (
	// borrowAsks bounds the routers that are asked for one request.
	borrowAsks = 8
	// borrowCall bounds one question, and repayCall one repayment.
	borrowCall = 100 * time.Millisecond
	repayCall  = time.Second
)

// serveBudget answers the requests of other routers.
func (p *gatewayPeers) serveBudget(m *prepaid.Manager) {
	if p.server == nil {
		return
	}
	handle(p.server, methodBorrow, func(_ context.Context, _ peerapi.Identity, r loanRequest) (any, error) {
		return loanResponse{Lent: m.Lend(r.Entry, r.Amount)}, nil
	})
	handle(p.server, methodRepay, func(_ context.Context, _ peerapi.Identity, r loanRequest) (any, error) {
		m.AcceptRepayment(r.Entry, r.Amount)
		return loanResponse{}, nil
	})
	handle(p.server, methodWitness, func(_ context.Context, _ peerapi.Identity, r witnessRequest) (any, error) {
		return p.gateway.beats.AgeOf(r.Offset), nil
	})
}

// witnesses asks the other routers for the age of a beat.
func (p *gatewayPeers) witnesses(ctx context.Context, offset uint64) []heartbeat.AgeBounds {
	if p.pool == nil {
		return nil
	}
	var (
		mu    sync.Mutex
		found []heartbeat.AgeBounds
		asked sync.WaitGroup
	)
	for _, address := range p.choose(maxWitnesses) {
		asked.Go(func() {
			var t heartbeat.AgeBounds
			request := witnessRequest{Offset: offset}
			if err := p.pool.Call(ctx, address, methodWitness, request, &t); err != nil {
				return // counted by the pool; the next round asks again
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, t)
		})
	}
	asked.Wait()
	return found
}

// maxWitnesses bounds the routers that are asked for the age of a record.
const maxWitnesses = 400

// Borrow implements prepaid.Peers. Lenders are asked one after the other, so that
// no more is lent than needed.
func (p *gatewayPeers) Borrow(ctx context.Context, preferred []string, entry string, amount int64) (loans []prepaid.Loan) {
	if p.pool == nil {
		return nil
	}
	for i, peer := range p.lenders(preferred) {
		if i == borrowAsks || amount <= 0 || ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, borrowCall)
		var response loanResponse
		err := p.pool.Call(call, peer.address, methodBorrow, loanRequest{Entry: entry, Amount: amount}, &response)
		cancel()
		if err == nil && response.Lent > 0 {
			loans = append(loans, prepaid.Loan{Lender: peer.address, Amount: response.Lent})
			amount -= response.Lent
		}
	}
	return loans
}

// Repay implements prepaid.Peers. Lenders are named by their addresses.
func (p *gatewayPeers) Repay(lender, entry string, amount int64) {
	ctx, cancel := context.WithTimeout(context.Background(), repayCall)
	defer cancel()
	var response loanResponse
	if err := p.pool.Call(ctx, lender, methodRepay, loanRequest{Entry: entry, Amount: amount}, &response); err != nil {
		obs.LoansLostTotal.Add(1)
	}
}

// peerAddress is a router that may lend.
type peerAddress struct{ vm, address string }

// lenders returns the preferred routers and then the others, in random order.
func (p *gatewayPeers) lenders(preferred []string) []peerAddress {
	addresses := p.gateway.beats.Addresses()
	var out []peerAddress
	known := make(map[string]bool)
	for _, vm := range preferred {
		if address, ok := addresses[vm]; ok {
			out = append(out, peerAddress{vm, address})
			known[address] = true
		}
	}
	for _, address := range p.choose(borrowAsks) {
		if !known[address] {
			out = append(out, peerAddress{address: address})
		}
	}
	return out
}
