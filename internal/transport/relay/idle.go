package relay

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// Lives reports whether the process at an address serves: it has not closed an idle connection, or accepts a new one, which
// is kept for the next request.
func (p *Pool) Lives(ctx context.Context, t Target) bool {
	p.mu.Lock()
	open := slices.ContainsFunc(p.idle[t.Address], func(c *conn) bool { return netopt.IsReusable(c.Conn) })
	p.mu.Unlock()
	return open || p.Connect(ctx, t) == nil
}

// CloseIdle closes the idle connections to the given addresses. They may be dead without a sign of it after a partition.
func (p *Pool) CloseIdle(addresses []string) {
	var idle []*conn
	p.mu.Lock()
	for _, address := range addresses {
		idle = append(idle, p.idle[address]...)
		delete(p.idle, address)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// CloseExpired closes connections whose idle timeout has passed. The daemon calls it periodically.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// Close closes the idle connections. Connections in use are closed when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = make(map[string][]*conn), true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			p.discard(c)
		}
	}
}
