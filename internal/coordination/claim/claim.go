// Package claim decides which router may run a non-idempotent request. The router appends a claim to a stream
// of the platform's log; the first claim of an entry and an idempotency key in stream order wins, and a
// router learns the winner only by reading the stream. No lease or timer is involved, so a winner that was
// paused is still the only one.
//
// The HTTP API of a router claims a request before it is dispatched; the daemon runs the Claimer.
package claim

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// ErrInvalid reports a claim that readers of the log would skip, such as one whose key is too long. The
// request did not run.
var ErrInvalid = errors.New("claim is not valid")

// UnavailableError reports a claim that could not be decided in time. The request did not run, and the claim
// is not used even if its append takes effect later.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "claim unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ConflictError reports a key that was already used for a request with another body, or for another
// generation of the entry, which was removed and created again under the same name. The request did not run.
type ConflictError struct {
	Winner record.Claim
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q of entry %s belongs to another request", e.Winner.Key, e.Winner.Entry.Name)
}

// Config holds the settings of a Claimer.
type Config struct {
	// Partitions is the number of claim streams. All routers must use the same number.
	Partitions int
	// Interval is the shortest time between two appends to one stream.
	Interval time.Duration
	// Queue bounds the undecided claims of one stream, and the abandoned ones that are kept.
	Queue int
	// MaxWait bounds a call whose context has a later deadline or none.
	MaxWait time.Duration
	// Retention is how long a claim is kept, by the log's record times. All routers must use the same
	// retention.
	Retention time.Duration
}

// Suggested values for Config. New does not apply them.
const (
	DefaultPartitions = 16
	// DefaultInterval allows each router 64 appends/s to 16 streams.
	DefaultInterval  = 250 * time.Millisecond
	DefaultQueue     = 4096
	DefaultMaxWait   = 10 * time.Second
	DefaultRetention = 24 * time.Hour
)

const (
	// maxBatchClaims limits the claims of one append to about half a megabyte. Releases are not limited;
	// there are few of them.
	maxBatchClaims = 1024
	retryAfter     = 2 * time.Second
)

// Log is the platform's log.
type Log = follow.Log

// Claimer appends claims and learns who won them. It is safe for concurrent use.
type Claimer struct {
	cfg        Config
	logger     logrus.FieldLogger
	partitions []*partition
}

// New returns a Claimer that has read nothing. Run starts to read a stream at the first claim on it, or at a
// call of Follow or SnapshotWriter.
func New(cfg Config, log Log, logger logrus.FieldLogger) *Claimer {
	c := &Claimer{cfg: cfg, logger: logger}
	for p := range cfg.Partitions {
		c.partitions = append(c.partitions, newPartition(p, cfg, log, logger))
	}
	return c
}

// Run reads the started streams and appends claims until the context ends. See New for what starts a stream.
func (c *Claimer) Run(ctx context.Context) {
	var loops conc.WaitGroup
	for _, p := range c.partitions {
		loops.Go(func() { p.run(ctx) })
	}
	loops.Wait()
}

// Claim appends a claim and waits until it is decided. Only a caller for which won is true may dispatch the
// request, and only once. Claim sets claim.Token itself. For a lost claim, winner says which router runs or
// ran the request.
//
// Claim returns UnavailableError, ConflictError or an error marked ErrInvalid. The request did not run after
// any of them.
func (c *Claimer) Claim(ctx context.Context, claim record.Claim) (winner record.Claim, won bool, err error) {
	// The token tells two claims of one request ID on the same router apart.
	token := uuid.New()
	claim.Token = base64.RawURLEncoding.EncodeToString(token[:])
	if err := (record.Item{Claim: &claim}).Check(); err != nil {
		return record.Claim{}, false, errors.Mark(err, ErrInvalid)
	}
	obs.ClaimsTotal.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxWait)
	defer cancel()
	p := c.partitions[record.Partition(claim.Entry.Name, c.cfg.Partitions)]
	winner, err = p.decide(ctx, claim)
	if err != nil {
		obs.ClaimsUnavailableTotal.Add(1)
		return record.Claim{}, false, &UnavailableError{RetryAfter: retryAfter, Cause: err}
	}
	if winner.Token == claim.Token {
		return winner, true, nil
	}
	if winner.Entry != claim.Entry || !bytes.Equal(winner.BodyHash, claim.BodyHash) {
		return winner, false, &ConflictError{Winner: winner}
	}
	return winner, false, nil
}

// Follow makes Run read the stream of partition p from now on. Otherwise Run starts to read it at the first
// claim, which then waits until the whole stream has been read.
func (c *Claimer) Follow(p int) { c.partitions[p].start() }

// Ready returns nil once each stream that Run has started to read was read to its end.
func (c *Claimer) Ready() error {
	for _, p := range c.partitions {
		if !p.started() {
			continue
		}
		if err := p.follower.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// SnapshotWriter returns a writer of the snapshots of one stream and makes Run read the stream. The writer's
// Step is called by the home of the partition (see membership.View.Home) in the first region by name that has
// an alive or suspect member.
func (c *Claimer) SnapshotWriter(log Log, p int, retention time.Duration, retainRecords uint64) *follow.SnapshotWriter {
	part := c.partitions[p]
	part.start()
	return follow.NewSnapshotWriter(log, follow.SnapshotWriterConfig{
		SnapshotStream: record.ClaimSnapshotStream(p), Retention: retention, RetainRecords: retainRecords,
		Encode: part.encode, Next: part.nextOffset,
	})
}
