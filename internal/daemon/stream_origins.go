package daemon

import (
	"context"

	"github.com/dotterelthread/dotterelthread/internal/coordination/streamorigin"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
)

// methodOrigin asks a router where a stream began.
const methodOrigin = "streams.origin"

// maxOriginQueries limits the routers that are asked where a stream began.
const maxOriginQueries = 64

// originRequest names a stream by the hash of its ID. JSON numbers do not hold all of its 64 bits.
type originRequest struct {
	Hash uint64 `json:"hash,string"`
}

// originResponse is what a router knows of the stream.
type originResponse struct {
	Known   bool   `json:"known,omitempty"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
}

func (p *gatewayPeers) registerOriginHandler(origins *streamorigin.Registry) {
	if p.server == nil {
		return
	}
	registerHandler(p.server, methodOrigin, func(_ context.Context, _ peerapi.Identity, r originRequest) (any, error) {
		o, known := origins.Known(r.Hash)
		return originResponse{Known: known, Service: o.Service, Version: o.Version}, nil
	})
}

// queryOrigins asks other routers where a stream began, and returns what those say that know it.
func (p *gatewayPeers) queryOrigins(ctx context.Context, hash uint64) []streamorigin.Origin {
	var origins []streamorigin.Origin
	for _, r := range queryPeers[originResponse](ctx, p, maxOriginQueries, methodOrigin, originRequest{Hash: hash}) {
		if r.Known {
			origins = append(origins, streamorigin.Origin{Service: r.Service, Version: r.Version})
		}
	}
	return origins
}
