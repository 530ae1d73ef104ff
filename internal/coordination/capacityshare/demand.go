package capacityshare

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Demand is the demand of one router by pool, in concurrent requests.
type Demand map[string]float64

const (
	// unitsPerRequest is the resolution of an encoded demand.
	unitsPerRequest = 10
	// maxDemand is the largest demand for a pool that counts as well-formed. It is above what a router can hold open.
	maxDemand = 1 << 20
	// maxPools bounds the pools of an encoded demand, and with them the size of a heartbeat.
	maxPools = 64
)

// ErrMalformed marks an encoded demand that cannot be used.
var ErrMalformed = errors.New("malformed demand")

// Encode returns the demand for a heartbeat, without pools that have none. It drops the smallest ones above maxPools.
func Encode(d Demand) []byte {
	units := make(map[string]uint64, len(d))
	for pool, n := range d {
		if n := uint64(math.Round(min(maxDemand, max(0, n)) * unitsPerRequest)); n > 0 {
			units[pool] = n
		}
	}
	if len(units) > maxPools {
		pools := slices.SortedFunc(maps.Keys(units), func(a, b string) int {
			return int(units[b]) - int(units[a])
		})
		for _, pool := range pools[maxPools:] {
			delete(units, pool)
		}
	}
	data, err := cbor.Marshal(units)
	if err != nil {
		return nil // a map of strings to integers can be encoded
	}
	return data
}

// Decode returns the demand of a heartbeat, or an error marked as ErrMalformed.
func Decode(data []byte) (Demand, error) {
	var units map[string]uint64
	if err := cbor.Unmarshal(data, &units); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode demand"), ErrMalformed)
	}
	if len(units) > maxPools {
		return nil, errors.Wrapf(ErrMalformed, "demand for %d pools", len(units))
	}
	d := make(Demand, len(units))
	for pool, n := range units {
		if n > maxDemand*unitsPerRequest {
			return nil, errors.Wrapf(ErrMalformed, "demand of %d for %q", n, pool)
		}
		d[pool] = float64(n) / unitsPerRequest
	}
	return d, nil
}

const (
	// riseTime and fallTime are the time constants of the smoothed demand. It rises within a heartbeat and falls slower, so
	// that the parts of bursty routers do not jump.
	riseTime = 400 * time.Millisecond
	fallTime = 3 * time.Second
	// minDemand is the demand below which a pool is forgotten.
	minDemand = 0.01
)

// Meter smooths the demand of this router. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	smoothed Demand
}

// Sample adds a measurement of the demand, elapsed after the previous one.
func (m *Meter) Sample(observed Demand, elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.smoothed == nil {
		m.smoothed = make(Demand)
	}
	for pool := range observed {
		m.smoothed[pool] += 0 // lets the loop below see new pools
	}
	for pool, before := range m.smoothed {
		constant := riseTime
		if observed[pool] < before {
			constant = fallTime
		}
		after := before + (observed[pool]-before)*(1-math.Exp(-elapsed.Seconds()/constant.Seconds()))
		if m.smoothed[pool] = after; after < minDemand {
			delete(m.smoothed, pool)
		}
	}
}

// Demand returns the smoothed demand.
func (m *Meter) Demand() Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.smoothed)
}
