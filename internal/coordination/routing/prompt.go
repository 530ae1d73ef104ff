package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one of the consecutive parts of a prompt, as identified by the caller.
type PromptPart struct {
	ID     string
	Tokens int
}

// BlockTokens is the size in tokens of the blocks that PartHashes divides a prompt into.
const BlockTokens = 256

// PartHashes returns the block hashes of a prompt given by its parts, and the number of hashes that come
// before the last part. The last part is specific to the request.
func PartHashes(parts []PromptPart) (hashes []uint64, shared int) {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	for i, part := range parts {
		if i == len(parts)-1 {
			shared = len(hashes)
		}
		_, _ = digest.WriteString(part.ID)
		for at := 0; at < part.Tokens; at += BlockTokens {
			binary.LittleEndian.PutUint64(number[:], uint64(at))
			_, _ = digest.Write(number[:])
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes, shared
}

// preferredUpstream returns the upstream that all routers prefer for the shared part of a prompt. It uses
// rendezvous hashing over the upstreams in use. Limited, cold and paused ones accept too few requests to be
// preferred, those of evacuated zones none.
func (r *Router) preferredUpstream(req *Request, all []*upstreamState, now time.Time) (preferred *upstreamState) {
	if req.SharedBlocks == 0 {
		return nil
	}
	key := req.PrefixHashes[req.SharedBlocks-1]
	highest := uint64(0)
	for _, s := range all {
		if !s.available(now) || s.ejected(now) {
			continue
		}
		if rank := mix(key ^ s.nameHash); preferred == nil || rank > highest {
			preferred, highest = s, rank
		}
	}
	return preferred
}

func mix(h uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h)
	return xxhash.Sum64(b[:])
}
