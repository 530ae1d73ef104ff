package configsync

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/follow"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// Limits on the records that a router keeps and sends for peers that cannot reach the log.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 8 << 20
	// maxFetchBytes keeps a response under the peer protocol's message limit of 1 MiB after base64 encoding.
	// A larger record cannot be fetched; a router that lacks it refuses requests until it can read the log.
	maxFetchBytes = 512 << 10
	fetchInterval = 500 * time.Millisecond
	// fetchStallTimeout is how long a fetch may receive nothing. fetchTimeout bounds the whole fetch, which takes
	// several seconds for maxFetchBytes over a small link.
	fetchStallTimeout = time.Second
	fetchTimeout      = 10 * time.Second
	// fetchPeers is the number of peers to call in one interval.
	fetchPeers = 2
)

// recentRecords holds the newest consecutive records of the stream.
type recentRecords struct {
	records []peerapi.ConfigRecord
	bytes   int
}

func (r *recentRecords) reset() { *r = recentRecords{} }

// add appends a record and drops the oldest ones over the limits, except the record itself.
func (r *recentRecords) add(rec peerapi.ConfigRecord) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

// between returns the records with from <= offset < end, up to limit records and maxFetchBytes.
func (r *recentRecords) between(from, end uint64, limit int) []peerapi.ConfigRecord {
	if len(r.records) == 0 || from < r.records[0].Offset || from >= end {
		return nil
	}
	start := int(from - r.records[0].Offset)
	size, stop := 0, start
	for stop < len(r.records) && r.records[stop].Offset < end && stop-start < limit {
		if size += len(r.records[stop].Data); size > maxFetchBytes {
			break
		}
		stop++
	}
	return slices.Clone(r.records[min(start, stop):stop])
}

// HandleFetch handles the peer method config.fetch. It sends only records that this router has read from the
// log itself, so a wrong copy does not spread.
func (f *Follower) HandleFetch(_ context.Context, _ peerapi.Identity, params json.RawMessage) (any, error) {
	var p peerapi.ConfigFetchParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode config.fetch")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.state.Next()
	if len(f.unconfirmed) > 0 {
		end = f.unconfirmed[0].offset
	}
	result := peerapi.ConfigFetchResult{Next: end, Records: f.recent.between(p.From, end, p.Max)}
	if len(f.recent.records) > 0 {
		result.First = f.recent.records[0].Offset
	}
	return result, nil
}

// ApplyPeerRecords applies records that a peer has read from the log and returns how many it applied. It
// applies records only while this router cannot read the log and its state is not being rebuilt, and only
// those that continue this router's records without a gap.
func (f *Follower) ApplyPeerRecords(records []peerapi.ConfigRecord) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastErr == nil || f.rebuilding {
		return 0
	}
	applied, changed := 0, false
	for _, r := range records {
		if r.Offset != f.state.Next() {
			break
		}
		changed = f.applyRecord(r.Offset, r.Data) || changed
		f.unconfirmed = append(f.unconfirmed, peerRecord{offset: r.Offset, sum: sha256.Sum256(r.Data)})
		applied++
	}
	if changed {
		f.activate()
	}
	obs.ConfigPeerRecordsTotal.Add(int64(applied))
	return applied
}

// Caller calls a peer.
type Caller interface {
	// Query calls a method whose repetition has no effect. It fails when nothing has arrived for the time stall.
	Query(ctx context.Context, address, method string, params, result any, stall time.Duration) error
}

// RunFetch fetches records from peers while the log cannot be read, until the context ends.
func (f *Follower) RunFetch(ctx context.Context, caller Caller, reports func() []membership.MemberReport) {
	for ctx.Err() == nil {
		f.FetchOnce(ctx, caller, reports())
		follow.Sleep(ctx, fetchInterval)
	}
}

// FetchOnce fetches records from the peers that have read the log most recently, if this router's newest read
// failed.
func (f *Follower) FetchOnce(ctx context.Context, caller Caller, reports []membership.MemberReport) {
	f.mu.Lock()
	next, unreachable := f.state.Next(), f.lastErr != nil
	f.mu.Unlock()
	if !unreachable {
		return
	}
	for _, r := range fetchCandidates(reports, next) {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		var result peerapi.ConfigFetchResult
		params := peerapi.ConfigFetchParams{From: next, Max: pollBatch}
		err := caller.Query(callCtx, r.Address, peerapi.MethodConfigFetch, params, &result, fetchStallTimeout)
		cancel()
		if err != nil {
			obs.EventPeerFetchFailed.Log(f.logger, logrus.Fields{"peer": r.Address, "vm": r.VM, "failures": 1, "error": err.Error()})
			continue
		}
		if applied := f.ApplyPeerRecords(result.Records); applied > 0 {
			obs.EventConfigFromPeer.Log(f.logger, logrus.Fields{"vm": r.VM, "records": applied})
			return
		}
	}
}

// fetchCandidates returns up to fetchPeers peers that have the record at offset next, those that have read
// the log most recently first.
func fetchCandidates(reports []membership.MemberReport, next uint64) []membership.MemberReport {
	var candidates []membership.MemberReport
	for _, r := range reports {
		if r.LogRead && r.Next > next && r.State != membership.StateGone {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b membership.MemberReport) int { return cmp.Compare(a.LogReadAge, b.LogReadAge) })
	return candidates[:min(fetchPeers, len(candidates))]
}
