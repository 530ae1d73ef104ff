package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"github.com/dotterelthread/dotterelthread/internal/coordination/callrate"
	"github.com/dotterelthread/dotterelthread/internal/coordination/heartbeat"
	"github.com/dotterelthread/dotterelthread/internal/coordination/prepaid"
	"github.com/dotterelthread/dotterelthread/internal/coordination/quarantine"
	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// readClocks reads the clocks of the VM.
func readClocks() heartbeat.Timestamp {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The zero timestamp proves nothing about the age of a heartbeat.
		return heartbeat.Timestamp{}
	}
	return heartbeat.Timestamp{BootMillis: boot.Nano() / int64(time.Millisecond), UnixMillis: time.Now().UnixMilli()}
}

// loanRequest asks a router to lend tokens of its share of a budget.
type loanRequest struct {
	Entry string `json:"entry"`
	// ID identifies the loan.
	ID     string `json:"id"`
	Amount int64  `json:"amount"`
}

// repayment returns unused tokens of a loan.
type repayment struct {
	Entry string `json:"entry"`
	ID    string `json:"id"`
	// Total is what was returned of the loan so far.
	Total int64 `json:"total"`
}

// loanResponse holds the number of tokens that were lent.
type loanResponse struct {
	Lent int64 `json:"lent"`
}

// ageRequest asks a router for the age of the heartbeat at an offset.
type ageRequest struct {
	Offset uint64 `json:"offset"`
}

// Peer methods of loans and of the ages of heartbeats.
const (
	methodBorrow = "prepaid.borrow"
	methodRepay  = "prepaid.repay"
	methodAge    = "prepaid.witness"
	methodRecall = "prepaid.recall"
)

const (
	// maxLenders limits the routers that are asked to lend in one search, lendersAtOnce those at the same time.
	maxLenders    = 24
	lendersAtOnce = 4
	// singleLenders is the number of lenders that are asked one after the other at first for a loan for several requests.
	singleLenders = 2
	// borrowTimeout limits one call to a lender.
	borrowTimeout = 100 * time.Millisecond
	// repayTimeout limits one call that repays.
	repayTimeout = time.Second
)

// registerHandlers registers the handlers of loans, of the ages of heartbeats, of crashes and of upstreams.
func (p *gatewayPeers) registerHandlers(m *prepaid.Manager, crashes *quarantine.Registry, router *routing.Router) {
	if p.server == nil {
		return
	}
	registerQuarantineHandler(p.server, crashes)
	registerLimitHandler(p.server, router)
	registerBrittleHandler(p.server, router)
	registerSpeedHandler(p.server, router)
	p.registerReachHandler(p.server)
	registerHandler(p.server, methodBorrow, func(_ context.Context, _ peerapi.Identity, r loanRequest) (any, error) {
		return loanResponse{Lent: m.Lend(r.Entry, r.ID, r.Amount)}, nil
	})
	registerHandler(p.server, methodRepay, func(_ context.Context, _ peerapi.Identity, repayments []repayment) (any, error) {
		for _, r := range repayments {
			m.AcceptRepayment(r.Entry, r.ID, r.Total)
		}
		return loanResponse{}, nil
	})
	registerHandler(p.server, methodRecall, func(_ context.Context, from peerapi.Identity, _ struct{}) (any, error) {
		return m.SharesOf(from.VM), nil
	})
	registerHandler(p.server, methodAge, func(_ context.Context, _ peerapi.Identity, r ageRequest) (any, error) {
		return p.gateway.heartbeats.AgeOf(r.Offset), nil
	})
}

// queryAges asks the other routers for the age of the heartbeat at an offset.
func (p *gatewayPeers) queryAges(ctx context.Context, offset uint64) []heartbeat.AgeBounds {
	return queryPeers[heartbeat.AgeBounds](ctx, p, maxAgeQueries, methodAge, ageRequest{Offset: offset})
}

// queryPeers calls a method of up to limit other routers and returns the results of those that respond.
func queryPeers[R any](ctx context.Context, p *gatewayPeers, limit int, method string, request any) []R {
	if p.pool == nil {
		return nil
	}
	var (
		mu      sync.Mutex
		results []R
		queries sync.WaitGroup
	)
	for _, address := range p.randomPeers(limit) {
		queries.Go(func() {
			var result R
			if err := p.pool.Call(ctx, address, method, request, &result); err != nil {
				return // counted by the pool
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	queries.Wait()
	return results
}

const (
	// maxAgeQueries limits the routers that are asked for the age of a heartbeat.
	maxAgeQueries = 400
	// maxRecallQueries limits the routers that are asked for earlier records at a time. Routers that use a budget read
	// the records of the others every few seconds.
	maxRecallQueries = 16
)

// budgetHolders caches the VMs that hold shares of the budgets, see prepaid.HoldersOf.
type budgetHolders struct {
	mu sync.Mutex
	at time.Time
	// version is that of the configuration from which total, the sum of all budgets, was computed.
	version uint64
	total   int64
	// vms are the live routers, sorted.
	vms     []string
	byEntry map[string][]string
}

// holdersInterval is the time after which the holders follow the live routers.
const holdersInterval = 500 * time.Millisecond

// of returns the function for prepaid.Config.Holders, or nil if the calls to the log are not limited.
func (h *budgetHolders) of(g *Gateway) func(entry string) (vms []string, known bool) {
	if !g.logCalls.Limited(callrate.Write) {
		return nil
	}
	return func(entry string) ([]string, bool) {
		routers, known := g.heartbeats.FleetSize()
		if !known && (!g.heartbeats.Replica().Loaded() || routers <= prepaid.BulkRouters) {
			return nil, false
		}
		if routers <= prepaid.BulkRouters {
			return nil, true
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if snapshot, now := g.Current(), time.Now(); h.byEntry == nil || snapshot.Version != h.version || now.Sub(h.at) > holdersInterval {
			h.refresh(g, snapshot, now)
		}
		vms, ok := h.byEntry[entry]
		if !ok {
			if tokens, limited := g.prepaidTokens(entry); limited {
				vms = prepaid.HoldersOf(entry, h.vms, tokens, h.total)
			}
			h.byEntry[entry] = vms
		}
		return vms, true
	}
}

// refresh reads the live routers and the budgets. The holders of thousands of entries are computed again only if one of
// these has changed. The caller holds h.mu.
func (h *budgetHolders) refresh(g *Gateway, snapshot *catalogue.Snapshot, now time.Time) {
	vms := append(slices.Collect(maps.Keys(g.heartbeats.Addresses())), g.cfg.VM)
	slices.Sort(vms)
	h.at = now
	if h.byEntry != nil && snapshot.Version == h.version && slices.Equal(vms, h.vms) {
		return
	}
	h.version, h.vms, h.byEntry, h.total = snapshot.Version, vms, make(map[string][]string), 0
	for e := range snapshot.Entries {
		if len(e.Prepaid) > 0 {
			h.total += e.PrepaidTokens()
		}
	}
}

// Borrow implements prepaid.Peers. It asks a few lenders at a time, each for its part of what is still missing. In a large
// fleet whose log limits the rate of calls it asks
// single lenders first, since loans for several requests are asked for.
func (p *gatewayPeers) Borrow(ctx context.Context, preferred []string, entry string, amount int64) (loans []prepaid.Loan, drained []string) {
	if p.pool == nil {
		return nil, nil
	}
	lenders := p.lenders(preferred)
	bulk := p.gateway.logCalls.Limited(callrate.Write) && p.gateway.heartbeats.Routers() > prepaid.BulkRouters
	for round := 0; len(lenders) > 0 && amount > 0 && ctx.Err() == nil; round++ {
		atOnce := lendersAtOnce
		if bulk && round < singleLenders {
			atOnce = 1
		}
		asked := lenders[:min(atOnce, len(lenders))]
		part := (amount + int64(len(asked)) - 1) / int64(len(asked))
		for i, loan := range p.askLenders(ctx, asked, entry, part) {
			amount -= loan.Amount
			if loan.Amount > 0 {
				loans = append(loans, loan)
			}
			if loan.Amount < part && asked[i].vm != "" {
				drained = append(drained, asked[i].vm)
			}
		}
		lenders = lenders[len(asked):]
	}
	return loans, drained
}

// askLenders asks lenders at the same time and returns a loan for each. Its amount is 0 if the lender gave none.
func (p *gatewayPeers) askLenders(ctx context.Context, lenders []candidateLender, entry string, amount int64) []prepaid.Loan {
	loans := make([]prepaid.Loan, len(lenders))
	var calls sync.WaitGroup
	for i, lender := range lenders {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			var response loanResponse
			loan := prepaid.Loan{ID: uuid.NewString(), Lender: lender.address}
			err := p.pool.Call(callCtx, lender.address, methodBorrow, loanRequest{Entry: entry, ID: loan.ID, Amount: amount}, &response)
			if err != nil {
				// The router may have lent tokens that this one will not use.
				loan.Repaid = prepaid.RepaidAll
				p.Repay(entry, loan)
				return
			}
			loan.Amount = max(0, response.Lent)
			loans[i] = loan
		})
	}
	calls.Wait()
	return loans
}

// Recall implements prepaid.Peers.
func (p *gatewayPeers) Recall(ctx context.Context) []map[string][]byte {
	return queryPeers[map[string][]byte](ctx, p, maxRecallQueries, methodRecall, struct{}{})
}

// Repay implements prepaid.Peers. A lender is identified by its address.
func (p *gatewayPeers) Repay(entry string, loan prepaid.Loan) {
	p.repayments.add(loan.Lender, repayment{Entry: entry, ID: loan.ID, Total: loan.Repaid}, p.sendRepayments)
}

// sendRepayments sends repayments to a lender and reports whether they have arrived.
func (p *gatewayPeers) sendRepayments(lender string, repayments []repayment) bool {
	ctx, cancel := context.WithTimeout(context.Background(), repayTimeout)
	defer cancel()
	var response loanResponse
	return p.pool.Call(ctx, lender, methodRepay, repayments, &response) == nil
}

// minRandomLenders is the number of other routers that are asked after the preferred ones. Their records may not be known.
const minRandomLenders = 4

// candidateLender is a router that can be asked for a loan.
type candidateLender struct{ vm, address string }

// lenders returns the preferred routers, which are given by VM ID, followed by others in random order.
func (p *gatewayPeers) lenders(preferred []string) []candidateLender {
	addresses := p.gateway.heartbeats.Addresses()
	var out []candidateLender
	known := make(map[string]bool)
	for _, vm := range preferred {
		if address, ok := addresses[vm]; ok {
			out = append(out, candidateLender{vm, address})
			known[address] = true
		}
		if len(out) == maxLenders {
			return out
		}
	}
	for _, address := range p.randomPeers(minRandomLenders) {
		if !known[address] {
			out = append(out, candidateLender{address: address})
		}
	}
	return out
}
