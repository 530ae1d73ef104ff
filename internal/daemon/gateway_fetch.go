package daemon

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

const (
	// peerFetchAfter is the time without a response of the log after which newer records are fetched from
	// peers. For the configuration, configLongPoll is added, because a read may wait that long at the log.
	peerFetchAfter = 1600 * time.Millisecond
	// peerFetchInterval is the time between two starts of fetches.
	peerFetchInterval = 300 * time.Millisecond
	// peerStallTimeout is how long a fetch may receive nothing. A live peer responds within some milliseconds.
	peerStallTimeout = 700 * time.Millisecond
	// peerFetchTimeout limits one fetch. A large configuration takes seconds over a small link that callers use
	// too.
	peerFetchTimeout = 5 * time.Second
	// peersPerFetch is the number of peers that records are fetched from at a time. There is more than one
	// because a peer may be disconnected from the log too.
	peersPerFetch = 2
	// maxFetches limits the fetches in progress. Those of unresponsive peers must not keep others from starting,
	// and transfers beside each other take bandwidth from each other.
	maxFetches = 5
	// maxPagesBytes limits the decompressed pages of a response.
	maxPagesBytes = 64 << 20
)

// streamsRequest asks a peer for its records from an offset on, by stream.
type streamsRequest struct {
	From map[string]uint64 `json:"from"`
}

// streamsResponse holds the records and the staleness of the peer's configuration.
type streamsResponse struct {
	// Pages are the pages by stream, as packPages returns them.
	Pages []byte `json:"pages"`
	// AgeMillis is the time in milliseconds since the log last responded to the peer's reads of the
	// configuration, or since the start of the peer if it never did.
	AgeMillis int64 `json:"age"`
}

// methodStreams is the peer method that returns records of the streams.
const methodStreams = "streams.packed"

// packPages encodes pages in compressed form. A configuration shrinks to a fraction of its size.
func packPages(pages map[string]keyedlog.Page) ([]byte, error) {
	data, err := cbor.Marshal(pages)
	if err != nil {
		return nil, errors.Wrap(err, "encode pages")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress pages")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress pages")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress pages")
	}
	return out.Bytes(), nil
}

// unpackPages decodes the result of packPages.
func unpackPages(packed []byte) (pages map[string]keyedlog.Page, err error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPagesBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress pages")
	}
	return pages, errors.Wrap(cbor.Unmarshal(data, &pages), "decode pages")
}

// run serves the peers, and fetches records from them during an outage of the log. It does neither without a
// peer listener.
func (p *gatewayPeers) run(ctx context.Context) {
	if p.server == nil {
		return
	}
	listener, err := netopt.Listen(p.gateway.cfg.PeerListen)
	if err != nil {
		obs.EventStartOrStopFailed.Log(p.gateway.logger, logrus.Fields{"error": err.Error()})
		return
	}
	go func() { _ = p.server.Serve(ctx, listener) }()
	var fetches conc.WaitGroup
	defer fetches.Wait()
	var inProgress atomic.Int32
	every(ctx, peerFetchInterval, func() {
		if p.gateway.config.Staleness(p.gateway.started) <= peerFetchAfter+configLongPoll && p.gateway.upstreams.Staleness(p.gateway.started) <= peerFetchAfter {
			return
		}
		for _, address := range p.randomPeers(fetchesToStart(int(inProgress.Load()))) {
			inProgress.Add(1)
			fetches.Go(func() {
				defer inProgress.Add(-1)
				p.fetchFromPeer(ctx, address)
			})
		}
	})
}

// fetchesToStart returns the number of fetches to start while others are in progress. Beside slow transfers or
// unresponsive peers, one more peer is asked per interval.
func fetchesToStart(inProgress int) int {
	if inProgress == 0 {
		return peersPerFetch
	}
	return max(0, min(1, maxFetches-inProgress))
}

// fetchFromPeer fetches the records that this router does not have from a peer.
func (p *gatewayPeers) fetchFromPeer(ctx context.Context, address string) {
	request := streamsRequest{From: make(map[string]uint64, len(p.replicas))}
	for name, r := range p.replicas {
		request.From[name] = r.Next()
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	started := time.Now()
	var response streamsResponse
	var pages map[string]keyedlog.Page
	err := p.pool.Query(ctx, address, methodStreams, request, &response, peerStallTimeout)
	if err == nil {
		pages, err = unpackPages(response.Pages)
	}
	if err != nil {
		p.noteFetchFailure(address, err, time.Since(started))
		return
	}
	fetched := logrus.Fields{
		"peer": address, "ms": time.Since(started).Milliseconds(), "age_ms": response.AgeMillis,
	}
	records := 0
	for name, page := range pages {
		if r := p.replicas[name]; r != nil {
			r.Merge(page)
			records += len(page.Records)
			fetched[name] = page.Next
		}
	}
	// The peer stated its age after the request was sent, so the configuration was current this long before.
	p.noteConfigCurrentAt(started.Add(-time.Duration(response.AgeMillis) * time.Millisecond))
	if records > 0 {
		fetched["records"] = records
		obs.EventPeerFetched.Log(p.gateway.logger, fetched)
	}
}

// fetchFailureLogInterval is the least time between two log lines about failed fetches.
const fetchFailureLogInterval = time.Second

// noteFetchFailure logs a failed fetch. The next fetch uses other random peers.
func (p *gatewayPeers) noteFetchFailure(address string, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	if now := time.Now(); now.Sub(p.failureLoggedAt) >= fetchFailureLogInterval {
		obs.EventPeerFetchFailed.Log(p.gateway.logger, logrus.Fields{
			"peer": address, "ms": took.Milliseconds(), "failures": p.failures, "error": err.Error(),
		})
		p.failures, p.failureLoggedAt = 0, now
	}
}

// handleStreams is the handler of methodStreams.
func (p *gatewayPeers) handleStreams(_ context.Context, _ peerapi.Identity, params json.RawMessage) (any, error) {
	var request streamsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "parameters")
	}
	age := p.gateway.config.Staleness(p.gateway.started)
	pages := make(map[string]keyedlog.Page, len(request.From))
	for name, from := range request.From {
		if r := p.replicas[name]; r != nil {
			pages[name] = r.Since(from)
		}
	}
	packed, err := packPages(pages)
	return streamsResponse{Pages: packed, AgeMillis: age.Milliseconds()}, err
}
