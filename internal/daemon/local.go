package daemon

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/httpapi"
)

// localAdmission admits every request.
type localAdmission struct{}

type localTicket struct{}

func (localTicket) Done() {}

func (localAdmission) Admit(context.Context, httpapi.AdmitRequest) (httpapi.Ticket, error) {
	return localTicket{}, nil
}

// localRouting chooses the upstream with the fewest attempts of this process.
type localRouting struct {
	config httpapi.Configuration

	mu   sync.Mutex
	open map[string]int
}

type localAttempt struct {
	routing  *localRouting
	upstream *catalogue.Upstream
}

// Upstream returns the choice.
func (a *localAttempt) Upstream() *catalogue.Upstream { return a.upstream }

// Done ends the attempt.
func (a *localAttempt) Done(httpapi.Result) {
	a.routing.mu.Lock()
	defer a.routing.mu.Unlock()
	if a.routing.open[a.upstream.Name]--; a.routing.open[a.upstream.Name] == 0 {
		delete(a.routing.open, a.upstream.Name)
	}
}

// Pick implements httpapi.Routing. Equal upstreams are taken by name.
func (r *localRouting) Pick(req httpapi.PickRequest) (httpapi.Attempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *catalogue.Upstream
	for u := range r.config.Current().Upstreams {
		if !serves(u, req) || slices.Contains(req.Exclude, u.Name) {
			continue
		}
		if best == nil || r.open[u.Name] < r.open[best.Name] || (r.open[u.Name] == r.open[best.Name] && u.Name < best.Name) {
			best = u
		}
	}
	if best == nil {
		return nil, httpapi.ErrNoUpstream
	}
	r.open[best.Name]++
	return &localAttempt{routing: r, upstream: best}, nil
}

func serves(u *catalogue.Upstream, req httpapi.PickRequest) bool {
	if req.Service != "" {
		return u.Kind == catalogue.KindService && u.Service == req.Service
	}
	return u.Kind == catalogue.KindEngine && slices.Contains(u.Models, req.Model)
}

// Retries are 10% of the first attempts. The credit bounds a burst after a calm
// time.
const (
	retriesPerRequest = 0.1
	maxRetryCredit    = 100
)

// localRetryBudget is a token bucket that is filled by first attempts.
type localRetryBudget struct {
	mu     sync.Mutex
	credit float64
}

func newLocalRetryBudget() *localRetryBudget { return &localRetryBudget{credit: 1} }

// Request implements httpapi.RetryBudget.
func (b *localRetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxRetryCredit, b.credit+retriesPerRequest)
}

// TryRetry implements httpapi.RetryBudget.
func (b *localRetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// localClaims appends each claim on its own and reads the stream to its end to
// find the first one. It keeps what it read.
type localClaims struct {
	log        logstream.Log
	partitions int

	mu    sync.Mutex
	next  map[int]uint64
	first map[claimKey]record.Claim
}

type claimKey struct {
	entry record.EntryKey
	key   string
}

const claimReadBatch = 256

func newLocalClaims(log logstream.Log, partitions int) *localClaims {
	return &localClaims{log: log, partitions: partitions, next: make(map[int]uint64), first: make(map[claimKey]record.Claim)}
}

// Claim implements httpapi.Claims. A claim has won only when it was read back.
func (c *localClaims) Claim(ctx context.Context, claim record.Claim) (record.Claim, bool, error) {
	data, err := record.Encode([]record.Item{{Claim: &claim}})
	if err != nil {
		return record.Claim{}, false, err
	}
	p := record.Partition(claim.Entry.Name, c.partitions)
	if _, err := c.log.Append(ctx, record.ClaimStream(p), data); err != nil {
		return record.Claim{}, false, err
	}
	winner, err := c.find(ctx, p, claimKey{claim.Entry, claim.Key})
	if err != nil {
		return record.Claim{}, false, err
	}
	won := winner.RequestID == claim.RequestID && winner.Holder == claim.Holder &&
		bytes.Equal(winner.BodyHash, claim.BodyHash)
	return winner, won, nil
}

// find reads the stream until the key is known. The append before it makes sure
// that it is.
func (c *localClaims) find(ctx context.Context, p int, key claimKey) (record.Claim, error) {
	for {
		c.mu.Lock()
		winner, known := c.first[key]
		from := max(1, c.next[p])
		c.mu.Unlock()
		if known {
			return winner, nil
		}
		page, err := c.log.Read(ctx, record.ClaimStream(p), from, claimReadBatch, 0)
		if err != nil {
			return record.Claim{}, err
		}
		c.apply(p, page)
		if len(page.Records) == 0 {
			return record.Claim{}, logstream.ErrUnavailable
		}
	}
}

func (c *localClaims) apply(p int, page logstream.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		// Two readers may bring the same page; each record counts once.
		if r.Offset < c.next[p] {
			continue
		}
		c.next[p] = r.Offset + 1
		items, _, err := record.Decode(r.Data)
		if err != nil {
			continue
		}
		for _, item := range items {
			if item.Claim == nil {
				continue
			}
			key := claimKey{item.Claim.Entry, item.Claim.Key}
			if _, taken := c.first[key]; !taken {
				c.first[key] = *item.Claim
			}
		}
	}
}
