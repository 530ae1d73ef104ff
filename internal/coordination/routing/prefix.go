package routing

// holdersPerBlock is the number of upstreams recorded per prompt block. A block that more upstreams hold
// belongs to a prompt that is in use everywhere.
const holdersPerBlock = 4

// DefaultMaxPrefixBlocks is the default of Config.MaxPrefixBlocks. A block takes about 40 bytes.
const DefaultMaxPrefixBlocks = 1 << 17

// cacheID identifies the prefix cache of an upstream since the cache was last empty. 0 means none.
type cacheID uint32

// holders lists the caches that probably hold a block, the most recently used one first.
type holders [holdersPerBlock]cacheID

// prefixIndex records which upstreams probably hold which prompt blocks. Each hash covers the prompt from its
// beginning to the end of the block. Entries come from cache events, which may be late or missing, and from
// sent requests. A wrong entry costs one computation of the prefix and is correct afterwards, because the
// upstream then has the block.
//
// The index has two generations. When the young generation is full, it replaces the old one. Entries that are
// written again move to the young generation. This bounds the memory without an LRU list.
type prefixIndex struct {
	young, old map[uint64]holders
	maxBlocks  int
}

func newPrefixIndex(maxBlocks int) *prefixIndex {
	return &prefixIndex{young: make(map[uint64]holders), old: make(map[uint64]holders), maxBlocks: maxBlocks}
}

func (x *prefixIndex) get(hash uint64) (holders, bool) {
	if h, ok := x.young[hash]; ok {
		return h, true
	}
	h, ok := x.old[hash]
	return h, ok
}

// put stores the holders of a block in the young generation.
func (x *prefixIndex) put(hash uint64, h holders) {
	if len(x.young) >= x.maxBlocks/2 {
		x.old, x.young = x.young, make(map[uint64]holders, x.maxBlocks/2)
	}
	x.young[hash] = h
	delete(x.old, hash)
}

// add records that a cache holds a block, as the most recently used of its holders. The least recently used
// one is dropped if there are too many.
func (x *prefixIndex) add(hash uint64, id cacheID) {
	h, _ := x.get(hash)
	for i, other := range h {
		if other == id {
			copy(h[1:i+1], h[:i])
			h[0] = id
			x.put(hash, h)
			return
		}
	}
	copy(h[1:], h[:])
	h[0] = id
	x.put(hash, h)
}

func (x *prefixIndex) remove(hash uint64, id cacheID) {
	h, ok := x.get(hash)
	if !ok {
		return
	}
	kept := holders{}
	n := 0
	for _, other := range h {
		if other != id && other != 0 {
			kept[n] = other
			n++
		}
	}
	delete(x.old, hash)
	if n == 0 {
		delete(x.young, hash)
		return
	}
	x.put(hash, kept)
}

// maxLookups bounds the lookups of one Pick. In a longer prompt only every second, fourth, and so on, block
// is looked up. Steps are powers of two, so that prompts of different lengths use the same blocks.
const maxLookups = 64

func lookupStep(blocks int) int {
	step := 1
	for blocks > step*maxLookups {
		step *= 2
	}
	return step
}

// match calls visit for each looked-up block of the prompt and each cache that holds it, with the length in
// blocks of the prefix that ends with the block. Lengths ascend, so a cache is visited again for each longer
// prefix. A hash covers all blocks before it, so a cache that holds a block holds the whole prefix.
func (x *prefixIndex) match(hashes []uint64, visit func(id cacheID, blocks int)) {
	step := lookupStep(len(hashes))
	for n := step; n <= len(hashes); n += step {
		h, ok := x.get(hashes[n-1])
		if !ok {
			continue
		}
		for _, id := range h {
			if id != 0 {
				visit(id, n)
			}
		}
	}
}

// addPrompt records that a cache will hold the blocks of a prompt.
func (x *prefixIndex) addPrompt(hashes []uint64, id cacheID) {
	step := lookupStep(len(hashes))
	for n := step; n <= len(hashes); n += step {
		x.add(hashes[n-1], id)
	}
}
