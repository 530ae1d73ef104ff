package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/claims"
	"github.com/dotterelthread/dotterelthread/internal/state/snapshot"
)

// errQueueFull reports that too many claims of one stream are undecided.
var errQueueFull = errors.New("too many undecided claims")

// partition is one claim stream.
type partition struct {
	cfg      Config
	stream   string
	log      Log
	logger   logrus.FieldLogger
	follower *follow.Follower
	// needed is closed when the stream is to be followed. A node that neither
	// places claims on a stream nor is its home keeps nothing of it.
	needed    chan struct{}
	startOnce sync.Once
	// wake has a token when the queue may hold calls.
	wake chan struct{}

	// mu guards the fields below. It is taken inside the follower's lock and is
	// not held across I/O.
	mu    sync.Mutex
	table *claims.Table
	// live is set while the table has reached the end of the stream. While it
	// reads the past, a key may have a winner that was released or has expired
	// since, so nothing is decided or appended.
	live bool
	// queue holds the calls to append, in order of arrival.
	queue []*call
	// waiting holds all undecided calls.
	waiting map[claims.ID][]*call
	open    int
	// abandoned holds given-up claims whose append may still take effect. If one
	// wins, it is released so that its key is usable again.
	abandoned []*call
	releases  []record.Release
	// failing is set while appends fail; it belongs to the append loop.
	failing bool
}

// call is one undecided claim.
type call struct {
	id    claims.ID
	claim record.Claim
	// winner receives the decision; it has room for it.
	winner chan record.Claim
	// done is set when the call was decided or given up.
	done bool
	// sent is set when the claim may be in the log.
	sent bool
}

func newPartition(n int, cfg Config, log Log, logger logrus.FieldLogger) *partition {
	p := &partition{
		cfg: cfg, stream: record.ClaimStream(n), log: log, logger: logger, wake: make(chan struct{}, 1), needed: make(chan struct{}),
		table: claims.New(cfg.Retention), waiting: make(map[claims.ID][]*call),
	}
	p.follower = follow.New(log, follow.Config{
		Stream: p.stream, SnapshotStream: record.ClaimSnapshotStream(n), Apply: p.apply, Decode: p.decode, OnCaughtUp: p.goLive,
		OnError: func(err error) {
			obs.EventClaimsUnreadable.Log(logger, logrus.Fields{"stream": p.stream, "error": err.Error()})
		},
	})
	return p
}

func (p *partition) start() { p.startOnce.Do(func() { close(p.needed) }) }

func (p *partition) started() bool {
	select {
	case <-p.needed:
		return true
	default:
		return false
	}
}

// run follows the stream and appends claims once it is needed.
func (p *partition) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.needed:
	}
	var loops conc.WaitGroup
	loops.Go(func() { p.follower.Run(ctx) })
	loops.Go(func() { p.appendLoop(ctx) })
	loops.Wait()
}

// decide returns the winner of a claim. After an error the claim is given up:
// if its append takes effect later, nobody uses it.
func (p *partition) decide(ctx context.Context, claim record.Claim) (record.Claim, error) {
	p.start()
	c := &call{id: claims.IDOf(&claim), claim: claim, winner: make(chan record.Claim, 1)}
	winner, known, err := p.submit(c)
	if known || err != nil {
		return winner, err
	}
	select {
	case winner = <-c.winner:
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		// A caller that was paused past its deadline gets no decision either.
		p.giveUp(c)
		return record.Claim{}, err
	}
	return winner, nil
}

func (p *partition) submit(c *call) (winner record.Claim, known bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if winner, known := p.table.Winner(&c.claim); known && p.live {
		return winner, true, nil
	}
	if p.open >= p.cfg.Queue {
		return record.Claim{}, false, errQueueFull
	}
	p.open++
	p.queue = append(p.queue, c)
	p.waiting[c.id] = append(p.waiting[c.id], c)
	p.signal()
	return record.Claim{}, false, nil
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// giveUp ends a call without a decision.
func (p *partition) giveUp(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.done {
		c.done = true
		p.open--
		p.queue = slices.DeleteFunc(p.queue, func(other *call) bool { return other == c })
		p.waiting[c.id] = slices.DeleteFunc(p.waiting[c.id], func(other *call) bool { return other == c })
		if len(p.waiting[c.id]) == 0 {
			delete(p.waiting, c.id)
		}
	}
	if c.sent {
		p.abandon(c)
	}
}

// abandon remembers a given-up claim whose append may take effect. Beyond the
// bound the oldest is forgotten; its key then stays taken until it expires.
func (p *partition) abandon(c *call) {
	if len(p.abandoned) >= p.cfg.Queue {
		p.abandoned = slices.Delete(p.abandoned, 0, 1)
	}
	p.abandoned = append(p.abandoned, c)
	p.releaseIfWon(c)
}

// releaseIfWon queues the release of a given-up claim that holds its key.
func (p *partition) releaseIfWon(c *call) {
	winner, known := p.table.Winner(&c.claim)
	if !known || winner.Token != c.claim.Token {
		return
	}
	p.releases = append(p.releases, record.Release{Entry: winner.Entry, Key: winner.Key, Token: winner.Token})
	p.signal()
}

// apply folds records and decides the calls that they name.
func (p *partition) apply(records []logstream.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := make(map[claims.ID]bool)
	for _, r := range records {
		for _, id := range p.table.ApplyRecord(r) {
			touched[id] = true
			if p.live {
				p.resolve(id)
			}
		}
	}
	for _, c := range p.abandoned {
		if p.live && touched[c.id] {
			p.releaseIfWon(c)
		}
	}
}

// goLive decides what the past has decided and appends the rest. A claim that
// was appended before a gap in the reading is appended again.
func (p *partition) goLive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live {
		return
	}
	p.live = true
	p.queue = nil
	for id := range p.waiting {
		p.resolve(id)
		p.queue = append(p.queue, p.waiting[id]...)
	}
	for _, c := range p.abandoned {
		p.releaseIfWon(c)
	}
	p.signal()
}

// resolve tells the calls of an ID who won.
func (p *partition) resolve(id claims.ID) {
	for _, c := range p.waiting[id] {
		winner, known := p.table.Winner(&c.claim)
		if !known {
			return
		}
		c.done = true
		c.winner <- winner
		p.open--
	}
	if p.waiting[id] == nil {
		return
	}
	delete(p.waiting, id)
	p.queue = slices.DeleteFunc(p.queue, func(c *call) bool { return c.done })
}

// decode is the follower's hook for a snapshot.
func (p *partition) decode(s snapshot.Snapshot) (func(), error) {
	table, err := claims.Decode(s.Data, p.cfg.Retention)
	if err != nil {
		return nil, err
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table = table
		p.live = false
	}, nil
}

// next is the offset of the table. The follower's own offset advances only
// after the decisions of a page were handed out.
func (p *partition) next() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Next()
}

func (p *partition) encode() (snapshot.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := p.table.Encode()
	return snapshot.Snapshot{Next: p.table.Next(), Data: data}, err
}

// appendLoop appends queued claims, one batch per interval.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if batch, releases := p.take(); len(batch)+len(releases) > 0 {
			p.appendBatch(ctx, batch, releases)
			follow.Sleep(ctx, p.cfg.Interval)
		}
	}
}

func (p *partition) take() ([]*call, []record.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.live {
		return nil, nil
	}
	releases := p.releases
	p.releases = nil
	n := min(maxBatch, len(p.queue))
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) > 0 {
		p.signal()
	}
	for _, c := range batch {
		c.sent = true
	}
	return batch, releases
}

// appendBatch appends claims once. The follower decides them when it reads
// them back. Calls that are undecided after a failure are queued again; a copy
// of a claim that took effect already changes nothing. Releases are queued
// again as long as their claim holds its key.
func (p *partition) appendBatch(ctx context.Context, batch []*call, releases []record.Release) {
	items := make([]record.Item, 0, len(batch)+len(releases))
	for _, c := range batch {
		items = append(items, record.Item{Claim: &c.claim})
	}
	for i := range releases {
		items = append(items, record.Item{Release: &releases[i]})
	}
	data, err := record.Encode(items)
	if err == nil {
		obs.ClaimAppendsTotal.Add(1)
		obs.LogAppendsTotal.Add(1)
		_, err = p.log.Append(ctx, p.stream, data)
	}
	p.report(err)
	if err == nil {
		if p.follower.Failing() {
			// The follower may still wait after an outage that is over.
			_ = p.follower.CatchUp(ctx)
		}
		return
	}
	if !errors.Is(err, logstream.ErrUnavailable) {
		// Reading to the end decides the claims that took effect.
		_ = p.follower.CatchUp(ctx)
	}
	p.requeue(batch)
}

// report logs the first failure after a success.
func (p *partition) report(err error) {
	if err != nil && !p.failing {
		obs.EventClaimsDelayed.Log(p.logger, logrus.Fields{"stream": p.stream, "error": err.Error()})
	}
	p.failing = err != nil
}

func (p *partition) requeue(batch []*call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := slices.DeleteFunc(batch, func(c *call) bool { return c.done })
	p.queue = append(open, p.queue...)
	for _, c := range p.abandoned {
		p.releaseIfWon(c)
	}
	if len(p.queue) > 0 {
		p.signal()
	}
}
