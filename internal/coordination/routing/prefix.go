package routing

// holdersPerBlock is how many upstreams are remembered per prompt block. More
// copies of a block exist only for prompts that are in use everywhere anyway.
const holdersPerBlock = 4

// DefaultPrefixBlocks bounds the remembered blocks. A block costs about 40 bytes.
const DefaultPrefixBlocks = 1 << 17

// slot is the index of an upstream's incarnation in the prefix index; 0 is none.
type slot uint32

type holders [holdersPerBlock]slot

// prefixIndex remembers which upstreams probably hold which prompt blocks. Each
// hash covers the prompt up to the end of its block. Entries come from cache
// events, which are late and have gaps, and from sent requests. A wrong entry
// costs one computation of the prefix and is right afterwards, because the
// upstream then has the block.
//
// The index has two generations. When the young one is full it becomes the old
// one, and what is used again moves back: memory stays bounded without a list.
type prefixIndex struct {
	young, old map[uint64]holders
	most       int
}

func newPrefixIndex(most int) *prefixIndex {
	return &prefixIndex{young: make(map[uint64]holders), old: make(map[uint64]holders), most: most}
}

func (x *prefixIndex) get(hash uint64) (holders, bool) {
	if h, ok := x.young[hash]; ok {
		return h, true
	}
	h, ok := x.old[hash]
	return h, ok
}

func (x *prefixIndex) put(hash uint64, h holders) {
	if len(x.young) >= x.most/2 {
		x.old, x.young = x.young, make(map[uint64]holders, x.most/2)
	}
	x.young[hash] = h
	delete(x.old, hash)
}

func (x *prefixIndex) add(hash uint64, s slot) {
	h, _ := x.get(hash)
	for i, other := range h {
		if other == s {
			copy(h[1:i+1], h[:i])
			h[0] = s
			x.put(hash, h)
			return
		}
	}
	copy(h[1:], h[:])
	h[0] = s
	x.put(hash, h)
}

func (x *prefixIndex) remove(hash uint64, s slot) {
	h, ok := x.get(hash)
	if !ok {
		return
	}
	kept := holders{}
	n := 0
	for _, other := range h {
		if other != s && other != 0 {
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

// maxLookups bounds the work of one Pick. Of a longer prompt, every second,
// fourth, and so on, block is looked up: the steps are powers of two, so that
// prompts of different lengths use the same blocks.
const maxLookups = 64

func lookupStep(blocks int) int {
	step := 1
	for blocks > step*maxLookups {
		step *= 2
	}
	return step
}

// match calls found with each upstream that holds a prefix and the number of
// blocks that it holds, shortest first. A hash covers all blocks before it, so
// the last known block says enough.
func (x *prefixIndex) match(hashes []uint64, found func(s slot, blocks int)) {
	step := lookupStep(len(hashes))
	for n := step; n <= len(hashes); n += step {
		h, ok := x.get(hashes[n-1])
		if !ok {
			continue
		}
		for _, s := range h {
			if s != 0 {
				found(s, n)
			}
		}
	}
}

// expect notes that an upstream will hold the blocks of a prompt.
func (x *prefixIndex) expect(hashes []uint64, s slot) {
	step := lookupStep(len(hashes))
	for n := step; n <= len(hashes); n += step {
		x.add(hashes[n-1], s)
	}
}
