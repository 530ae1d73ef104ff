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

// Limits of what a node keeps and sends for peers that cannot hear the log.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 8 << 20
	// maxFetchBytes stays under the peers' message limit of 1 MiB with base64
	// around it. A larger record cannot be fetched; the node that lacks it
	// refuses until it hears the log.
	maxFetchBytes = 512 << 10
	fetchInterval = 500 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	// fetchPeers is the number of peers asked in one interval.
	fetchPeers = 2
)

// recentRecords holds the newest records of the stream without gaps.
type recentRecords struct {
	records []peerapi.ConfigRecord
	bytes   int
}

func (r *recentRecords) reset() { *r = recentRecords{} }

func (r *recentRecords) add(rec peerapi.ConfigRecord) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

// between returns records from an offset to before end, within the limits.
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

// HandleFetch answers config.fetch. It sends only records that this node has
// read from the log itself, so a wrong copy cannot travel on.
func (f *Follower) HandleFetch(_ context.Context, _ peerapi.Identity, params json.RawMessage) (any, error) {
	var p peerapi.ConfigFetchParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode config.fetch")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.fold.Next()
	if len(f.fromPeers) > 0 {
		end = f.fromPeers[0].offset
	}
	result := peerapi.ConfigFetchResult{Next: end, Records: f.recent.between(p.From, end, p.Max)}
	if len(f.recent.records) > 0 {
		result.First = f.recent.records[0].Offset
	}
	return result, nil
}

// TakeFromPeer folds records that a peer has read from the log. They must
// continue this node's records without a gap, and they count only while this
// node cannot hear the log. It returns how many were folded.
func (f *Follower) TakeFromPeer(records []peerapi.ConfigRecord) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastErr == nil || f.rebuilding {
		return 0
	}
	taken, changed := 0, false
	for _, r := range records {
		if r.Offset != f.fold.Next() {
			break
		}
		changed = f.applyRecord(r.Offset, r.Data) || changed
		f.fromPeers = append(f.fromPeers, peerRecord{offset: r.Offset, sum: sha256.Sum256(r.Data)})
		taken++
	}
	if changed {
		f.swap()
	}
	obs.ConfigPeerRecordsTotal.Add(int64(taken))
	return taken
}

// Caller calls a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// RunFetch fetches records from peers while the log cannot be heard, until the
// context ends.
func (f *Follower) RunFetch(ctx context.Context, caller Caller, reports func() []membership.MemberReport) {
	for ctx.Err() == nil {
		f.FetchOnce(ctx, caller, reports())
		follow.Sleep(ctx, fetchInterval)
	}
}

// FetchOnce asks the peers that have heard the log last, if this node has not.
func (f *Follower) FetchOnce(ctx context.Context, caller Caller, reports []membership.MemberReport) {
	f.mu.Lock()
	next, unreachable := f.fold.Next(), f.lastErr != nil
	f.mu.Unlock()
	if !unreachable {
		return
	}
	for _, r := range ahead(reports, next) {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		var result peerapi.ConfigFetchResult
		err := caller.Call(callCtx, r.Address, peerapi.MethodConfigFetch, peerapi.ConfigFetchParams{From: next, Max: pollBatch}, &result)
		cancel()
		if err != nil {
			continue
		}
		if taken := f.TakeFromPeer(result.Records); taken > 0 {
			obs.EventConfigFromPeer.Log(f.logger, logrus.Fields{"vm": r.VM, "records": taken})
			return
		}
	}
}

func ahead(reports []membership.MemberReport, next uint64) []membership.MemberReport {
	var candidates []membership.MemberReport
	for _, r := range reports {
		if r.LogRead && r.Next > next && r.State != membership.StateGone {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b membership.MemberReport) int { return cmp.Compare(a.LogReadAge, b.LogReadAge) })
	return candidates[:min(fetchPeers, len(candidates))]
}
