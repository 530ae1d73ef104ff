package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt that the caller names, in order.
type PromptPart struct {
	ID     string
	Tokens int
}

// BlockTokens is the number of tokens of a block that PartHashes makes.
const BlockTokens = 256

// PartHashes returns hashes for a prompt given by its parts, as for one given by
// its blocks, and how many of them come before the last part, which belongs to
// the request itself.
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

// home returns the upstream that every router chooses for the shared part of a
// prompt, by rendezvous hashing over the upstreams in use.
func (r *Router) home(req *Request, all []*upstreamState, now time.Time) (home *upstreamState) {
	if req.SharedBlocks == 0 {
		return nil
	}
	key := req.PrefixHashes[req.SharedBlocks-1]
	highest := uint64(0)
	for _, s := range all {
		if s.leaving(now) || s.ejected(now) {
			continue
		}
		if rank := mix(key ^ s.nameHash); home == nil || rank > highest {
			home, highest = s, rank
		}
	}
	return home
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h)
	return xxhash.Sum64(b[:])
}
