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

var errQueueFull = errors.New("too many undecided claims")

// partition reads one claim stream and appends to it.
type partition struct {
	cfg      Config
	stream   string
	log      Log
	logger   logrus.FieldLogger
	follower *follow.Follower
	// startSignal is closed at the first claim on the stream, or at a call of Claimer.Follow or
	// Claimer.SnapshotWriter. Until then the stream is not read.
	startSignal chan struct{}
	startOnce   sync.Once
	// wake receives a value when there may be something to append.
	wake chan struct{}

	// mu guards the fields below. It is acquired with the follower's lock held and is not held during I/O.
	mu    sync.Mutex
	table *claims.Table
	// caughtUp is set once the table has reached the end of the stream. Before, a key may have a winner whose
	// claim was released or has expired since, so nothing is decided or appended.
	caughtUp bool
	// queue holds the claims to append, in order of arrival.
	queue []*pendingClaim
	// waiting holds all undecided claims.
	waiting map[claims.ID][]*pendingClaim
	// undecided is the number of claims in waiting.
	undecided int
	// abandoned holds the newest claims whose callers stopped waiting and that may be in the log, up to
	// Config.Queue. One that holds its key is released, so that the key can be used again.
	abandoned []*pendingClaim
	releases  []record.Release
	// appendFailing is set while appends fail. Only appendLoop uses it.
	appendFailing bool
}

// pendingClaim is one call of Claim that waits for its decision.
type pendingClaim struct {
	id    claims.ID
	claim record.Claim
	// decision receives the winning claim. It is buffered, so that the sender does not block.
	decision chan record.Claim
	// done is set when the claim was decided or abandoned.
	done bool
	// maybeAppended is set when the claim may be in the log.
	maybeAppended bool
}

func newPartition(n int, cfg Config, log Log, logger logrus.FieldLogger) *partition {
	p := &partition{
		cfg: cfg, stream: record.ClaimStream(n), log: log, logger: logger, wake: make(chan struct{}, 1), startSignal: make(chan struct{}),
		table: claims.New(cfg.Retention), waiting: make(map[claims.ID][]*pendingClaim),
	}
	p.follower = follow.New(log, follow.Config{
		Stream: p.stream, SnapshotStream: record.ClaimSnapshotStream(n), Apply: p.apply, Decode: p.decode, OnCaughtUp: p.onCaughtUp,
		OnError: func(err error) {
			obs.EventClaimsUnreadable.Log(logger, logrus.Fields{"stream": p.stream, "error": err.Error()})
		},
	})
	return p
}

func (p *partition) start() { p.startOnce.Do(func() { close(p.startSignal) }) }

func (p *partition) started() bool {
	select {
	case <-p.startSignal:
		return true
	default:
		return false
	}
}

// run waits for start, then reads the stream and appends claims until the context ends.
func (p *partition) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.startSignal:
	}
	var loops conc.WaitGroup
	loops.Go(func() { p.follower.Run(ctx) })
	loops.Go(func() { p.appendLoop(ctx) })
	loops.Wait()
}

// decide returns the winner of a claim. After an error the claim is abandoned: it is not used even if its
// append takes effect later.
func (p *partition) decide(ctx context.Context, claim record.Claim) (record.Claim, error) {
	p.start()
	c := &pendingClaim{id: claims.IDOf(&claim), claim: claim, decision: make(chan record.Claim, 1)}
	winner, known, err := p.submit(c)
	if known || err != nil {
		return winner, err
	}
	select {
	case winner = <-c.decision:
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		// A caller that was paused past its deadline gets no decision, even if there is one.
		p.abandon(c)
		return record.Claim{}, err
	}
	return winner, nil
}

// submit returns the winner if the table has one, and queues the claim otherwise. It fails if too many claims
// are undecided.
func (p *partition) submit(c *pendingClaim) (winner record.Claim, known bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if winner, known := p.table.Winner(&c.claim); known && p.caughtUp {
		return winner, true, nil
	}
	if p.undecided >= p.cfg.Queue {
		return record.Claim{}, false, errQueueFull
	}
	p.undecided++
	p.queue = append(p.queue, c)
	p.waiting[c.id] = append(p.waiting[c.id], c)
	p.wakeAppendLoop()
	return record.Claim{}, false, nil
}

// wakeAppendLoop makes appendLoop append what is queued. It does not block.
func (p *partition) wakeAppendLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// abandon ends a claim whose caller stopped waiting.
func (p *partition) abandon(c *pendingClaim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.done {
		c.done = true
		p.undecided--
		p.queue = slices.DeleteFunc(p.queue, func(other *pendingClaim) bool { return other == c })
		p.waiting[c.id] = slices.DeleteFunc(p.waiting[c.id], func(other *pendingClaim) bool { return other == c })
		if len(p.waiting[c.id]) == 0 {
			delete(p.waiting, c.id)
		}
	}
	if c.maybeAppended {
		p.addAbandoned(c)
	}
}

// addAbandoned keeps a claim whose append may still take effect, to release it if it wins. When there are too
// many, the oldest one is dropped; if it wins, its key stays claimed until it expires.
func (p *partition) addAbandoned(c *pendingClaim) {
	if len(p.abandoned) >= p.cfg.Queue {
		p.abandoned = slices.Delete(p.abandoned, 0, 1)
	}
	p.abandoned = append(p.abandoned, c)
	p.releaseIfWon(c)
}

// releaseIfWon queues the release of an abandoned claim that holds its key.
func (p *partition) releaseIfWon(c *pendingClaim) {
	winner, known := p.table.Winner(&c.claim)
	if !known || winner.Token != c.claim.Token {
		return
	}
	p.releases = append(p.releases, record.Release{Entry: winner.Entry, Key: winner.Key, Token: winner.Token})
	p.wakeAppendLoop()
}

// apply adds records to the table and decides the claims that they concern.
func (p *partition) apply(records []logstream.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make(map[claims.ID]bool)
	for _, r := range records {
		for _, id := range p.table.ApplyRecord(r) {
			changed[id] = true
			if p.caughtUp {
				p.resolve(id)
			}
		}
	}
	for _, c := range p.abandoned {
		if p.caughtUp && changed[c.id] {
			p.releaseIfWon(c)
		}
	}
}

// onCaughtUp is called after each read that reaches the end of the stream, but acts only if the table had not
// caught up before. It decides the claims that the stream has a winner for, and queues the others. A claim
// that was appended before the table was replaced by a snapshot is appended again. It also queues the
// releases of abandoned claims that won.
func (p *partition) onCaughtUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.caughtUp {
		return
	}
	p.caughtUp = true
	p.queue = nil
	for id := range p.waiting {
		p.resolve(id)
		p.queue = append(p.queue, p.waiting[id]...)
	}
	for _, c := range p.abandoned {
		p.releaseIfWon(c)
	}
	p.wakeAppendLoop()
}

// resolve sends the winner of an ID to the claims that wait for it.
func (p *partition) resolve(id claims.ID) {
	for _, c := range p.waiting[id] {
		winner, known := p.table.Winner(&c.claim)
		if !known {
			return
		}
		c.done = true
		c.decision <- winner
		p.undecided--
	}
	if p.waiting[id] == nil {
		return
	}
	delete(p.waiting, id)
	p.queue = slices.DeleteFunc(p.queue, func(c *pendingClaim) bool { return c.done })
}

// decode decodes a snapshot for the follower. The returned function puts it in place of the table.
func (p *partition) decode(s snapshot.Snapshot) (func(), error) {
	table, err := claims.Decode(s.Data, p.cfg.Retention)
	if err != nil {
		return nil, err
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table = table
		p.caughtUp = false
	}, nil
}

// nextOffset returns the offset of the next record to apply to the table. The follower's own offset advances
// only after all records of a page were applied.
func (p *partition) nextOffset() uint64 {
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

// appendLoop appends queued claims and releases, one batch per interval.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if batch, releases := p.takeBatch(); len(batch)+len(releases) > 0 {
			p.appendBatch(ctx, batch, releases)
			follow.Sleep(ctx, p.cfg.Interval)
		}
	}
}

// takeBatch removes and returns the next claims to append and all releases. It returns nothing before the
// table has caught up.
func (p *partition) takeBatch() ([]*pendingClaim, []record.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.caughtUp {
		return nil, nil
	}
	releases := p.releases
	p.releases = nil
	n := min(maxBatchClaims, len(p.queue))
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) > 0 {
		p.wakeAppendLoop()
	}
	for _, c := range batch {
		c.maybeAppended = true
	}
	return batch, releases
}

// appendBatch appends claims and releases once. The claims are decided when the follower reads them. Claims
// that are undecided after a failure are queued again; a second copy of a claim has no effect. Releases are
// queued again as long as their claim holds its key.
func (p *partition) appendBatch(ctx context.Context, batch []*pendingClaim, releases []record.Release) {
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
	p.logAppendError(err)
	if err == nil {
		if p.follower.Failing() {
			// The outage may be over while the follower still waits before its next read.
			_ = p.follower.CatchUp(ctx)
		}
		return
	}
	if !errors.Is(err, logstream.ErrUnavailable) {
		// The append may have taken effect without a response. Reading to the end decides such claims.
		_ = p.follower.CatchUp(ctx)
	}
	p.requeue(batch)
}

// logAppendError logs the first of consecutive failures.
func (p *partition) logAppendError(err error) {
	if err != nil && !p.appendFailing {
		obs.EventClaimsDelayed.Log(p.logger, logrus.Fields{"stream": p.stream, "error": err.Error()})
	}
	p.appendFailing = err != nil
}

// requeue puts the undecided claims of a batch back in front of the queue, and queues the releases of
// abandoned claims that hold their keys.
func (p *partition) requeue(batch []*pendingClaim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	undecided := slices.DeleteFunc(batch, func(c *pendingClaim) bool { return c.done })
	p.queue = append(undecided, p.queue...)
	for _, c := range p.abandoned {
		p.releaseIfWon(c)
	}
	if len(p.queue) > 0 {
		p.wakeAppendLoop()
	}
}
