package sim

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
)

// tick is the time step of the comparison.
const tick = 100 * time.Millisecond

// slotCount is the number of VMs that run at a time, half of them in each region.
// Each VM has a slot, which its replacement takes over.
const slotCount = 6

// Schedule describes a load and its faults, the same for every strategy.
type Schedule struct {
	Name     string
	Duration time.Duration
	// PerSecond is the number of requests per second, summed over all entries.
	PerSecond int
	// Prepaid is the first prepaid amount of each entry, relative to its demand
	// over the whole schedule.
	Prepaid float64
	// TopUp is an amount, relative to the same demand, that is added to each entry
	// at TopUpAt and, if TopUpEvery is not 0, at that interval afterwards.
	TopUpAt, TopUpEvery time.Duration
	TopUp               float64
	// The regions cannot reach each other from PartitionFrom to PartitionTo. The
	// log is unreachable from DownFrom to DownTo.
	PartitionFrom, PartitionTo, DownFrom, DownTo time.Duration
	// ReplaceEvery, if not 0, is the interval at which one VM after the other is
	// drained and replaced.
	ReplaceEvery time.Duration
}

// Schedules returns the schedules of the comparison.
func Schedules() []Schedule {
	const minute = time.Minute
	return []Schedule{
		{Name: "calm", Duration: 15 * minute, PerSecond: 30, Prepaid: 1.5},
		{
			Name: "region partition with top-up", Duration: 20 * minute, PerSecond: 30, Prepaid: 0.9,
			PartitionFrom: 5 * minute, PartitionTo: 15 * minute, TopUpAt: 10 * minute, TopUp: 0.5,
		},
		{
			Name: "log outage", Duration: 40 * minute, PerSecond: 15, Prepaid: 1.2,
			DownFrom: 5 * minute, DownTo: 35 * minute,
		},
		{
			Name: "rolling replacement", Duration: 15 * minute, PerSecond: 30, Prepaid: 1.5,
			ReplaceEvery: 2 * minute,
		},
		{
			Name: "entries nearly empty", Duration: 15 * minute, PerSecond: 30, Prepaid: 0.02,
			TopUpAt: 30 * time.Second, TopUpEvery: 30 * time.Second, TopUp: 0.02,
		},
	}
}

// arrival is one request that arrives at one VM.
type arrival struct {
	at   time.Duration
	slot int
	req  Request
}

const entryCount = 10

// averageUse is the mean number of tokens that a request uses.
const averageUse = 210

// plan is a schedule with its randomly drawn load.
type plan struct {
	Schedule
	keys     []record.EntryKey
	demand   []float64
	arrivals []arrival
}

// newPlan draws the load. The demand of entries falls as 1/rank. Each entry has its
// own uneven weights over the VMs, because the callers of a team tend to use the
// same few routers.
func newPlan(s Schedule, seed int64) *plan {
	rng := rand.New(rand.NewSource(seed))
	p := &plan{Schedule: s}
	total := 0.0
	weights := make([][]float64, entryCount)
	for i := range entryCount {
		p.keys = append(p.keys, record.EntryKey{Name: fmt.Sprint("entry-", i), Generation: 1})
		p.demand = append(p.demand, 1/float64(i+1))
		total += p.demand[i]
		for range slotCount {
			weights[i] = append(weights[i], rng.Float64())
		}
	}
	requests := int(s.Duration.Seconds()) * s.PerSecond
	for i := range p.demand {
		p.demand[i] *= float64(requests) * averageUse / total
	}
	for n := range requests {
		entry := pickWeighted(rng, p.demand)
		amount := 100 + rng.Int63n(401)
		p.arrivals = append(p.arrivals, arrival{
			at:   time.Duration(n) * time.Second / time.Duration(s.PerSecond),
			slot: pickWeighted(rng, weights[entry]),
			req: Request{
				ID: fmt.Sprint("r", n), Entry: p.keys[entry], Amount: amount,
				Used:     amount * (40 + rng.Int63n(61)) / 100,
				Duration: 500*time.Millisecond + time.Duration(rng.Int63n(3500))*time.Millisecond,
			},
		})
	}
	return p
}

// pickWeighted draws an index with a probability in proportion to its weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// topUpDue reports whether a top-up is due at the given time.
func (p *plan) topUpDue(now time.Duration) bool {
	if p.TopUpAt == 0 || now < p.TopUpAt {
		return false
	}
	if p.TopUpEvery == 0 {
		return now == p.TopUpAt
	}
	return (now-p.TopUpAt)%p.TopUpEvery == 0
}

func within(now, from, to time.Duration) bool { return now >= from && now < to }

// counts holds what was counted for one strategy under one schedule.
type counts struct {
	Requests, Refused, FalseRefusals int
	Overspend                        int64
	Appends                          int
}

// strategy is one way to manage budgets.
type strategy interface {
	// adjust changes the prepaid amount of an entry by delta. id identifies the change.
	adjust(key record.EntryKey, id string, delta int64)
	submit(slot int, r Request)
	setFaults(partitioned, logDown bool)
	// replace drains the VM in a slot and starts a new one there.
	replace(slot int)
	advance(d time.Duration)
	result() counts
}

// run runs the plan under a strategy.
func (p *plan) run(s strategy) counts {
	for i, key := range p.keys {
		s.adjust(key, "first", int64(p.demand[i]*p.Prepaid))
	}
	next, topUps, replaced := 0, 0, 0
	for now := time.Duration(0); now < p.Duration+time.Minute; now += tick {
		s.setFaults(within(now, p.PartitionFrom, p.PartitionTo), within(now, p.DownFrom, p.DownTo))
		if p.topUpDue(now) && now < p.Duration {
			topUps++
			for i, key := range p.keys {
				s.adjust(key, fmt.Sprint("top-up-", topUps), int64(p.demand[i]*p.TopUp))
			}
		}
		if p.ReplaceEvery > 0 && replaced < slotCount && now >= time.Duration(replaced+1)*p.ReplaceEvery {
			s.replace(replaced)
			replaced++
		}
		for ; next < len(p.arrivals) && p.arrivals[next].at <= now; next++ {
			s.submit(p.arrivals[next].slot, p.arrivals[next].req)
		}
		s.advance(tick)
	}
	return s.result()
}
