package standin

import (
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/coordination/routing"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// unevenSpeeds are lasting speeds from 0.7 to 1.7 times the usual time.
var unevenSpeeds = []float64{0.7, 1, 1.7, 0.85, 1.3, 1}

func trueReport(_ int, present float64) int { return int(100 * present) }

// falseReport is too high at a third of the engines and too low at another third.
func falseReport(engine int, present float64) int {
	switch engine % 3 {
	case 0:
		return 250
	case 1:
		return 40
	}
	return trueReport(engine, present)
}

// speedPattern is a load pattern. gain is the ratio of the times that the pattern calls for, or 0 if nothing can be gained.
type speedPattern struct {
	name   string
	rate   float64
	change func(*SimulationConfig)
	gain   float64
}

var speedPatterns = []speedPattern{
	{"equal speeds, three figures", 60, func(*SimulationConfig) {}, 0},
	{"equal speeds, four fifths of the capacity", 110, func(*SimulationConfig) {}, 0},
	{"uneven speeds", 60, func(c *SimulationConfig) { c.Slowness = unevenSpeeds }, 0.92},
	{"uneven speeds, mostly idle", 24, func(c *SimulationConfig) { c.Slowness = unevenSpeeds }, 0.88},
	{"uneven speeds, 78 routers, 90 engines", 225, func(c *SimulationConfig) {
		c.Slowness, c.Routers, c.Engines, c.Duration = unevenSpeeds, 78, 90, 24*time.Second
	}, 0.75},
	{"bursts, no fourth figure", 60, func(c *SimulationConfig) { c.Bursts = true }, 0},
	{"bursts, stale reports", 60, func(c *SimulationConfig) { c.Bursts, c.ReportWork = true, trueReport }, 0},
	{"bursts, false reports", 60, func(c *SimulationConfig) { c.Bursts, c.ReportWork = true, falseReport }, 0},
	{"uneven speeds and bursts", 60, func(c *SimulationConfig) {
		c.Slowness, c.Bursts, c.ReportWork = unevenSpeeds, true, trueReport
	}, 0.95},
	{"hot prefix, preferred engine full", 110, func(c *SimulationConfig) { c.HotTeam = 0.98 }, 0},
	{"hot prefix, 78 routers, 90 engines", 225, func(c *SimulationConfig) {
		c.HotTeam, c.Routers, c.Engines, c.Duration = 0.98, 78, 90, 24*time.Second
	}, 0},
	{"shared prefix, idle engines", 24, func(c *SimulationConfig) { c.HotTeam = 0.98 }, 0},
}

// Losses that callers with a target of 250 ms to the first event do not notice: a fiftieth and a tenth of the target.
const (
	maxMeanLoss   = 5 * time.Millisecond
	maxSlow95Loss = 25 * time.Millisecond
)

// Guards against a choice by measured times that is worse than the one by fixed weights for the callers of interactive
// requests, under each load pattern. Both are simulated with the same seeds.
func TestMeasuredTimesAgainstFixedWeights(t *testing.T) {
	if testing.Short() {
		t.Skip("takes many simulations")
	}
	for _, p := range speedPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.check(t)
		})
	}
}

// Load pattern: nearly all requests of a fleet of 78 routers share a prefix, and each takes a slot for 2 s, at two fifths of
// the capacity of 90 engines. Guards against routers that all return to the engines which they know to hold the prefix.
func TestHotPrefixInLargeBusyFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes six large simulations")
	}
	speedPattern{"hot prefix in a large busy fleet", 412, func(c *SimulationConfig) {
		c.HotTeam, c.Routers, c.Engines, c.Duration = 0.98, 78, 90, 24*time.Second
	}, 0}.check(t)
}

// check simulates a pattern with fixed weights and with measured times.
func (p speedPattern) check(t *testing.T) {
	t.Helper()
	var mean, slow95 [2]time.Duration
	var finished [2]int
	for seed := range uint64(3) {
		for i, mode := range []routing.MeasureMode{routing.MeasureNone, routing.MeasureAll} {
			cfg := SimulationConfig{
				Seed: *loadSeed + seed, Engines: 24, Zones: 3, Routers: 20, Policy: PolicyRouter, Duration: 40 * time.Second,
				Forwarded: true, Rate: p.rate, Measure: mode,
			}
			p.change(&cfg)
			r := Simulate(cfg)
			mean[i] += r.MeanFirstToken(catalogue.ClassInteractive) / 3
			slow95[i] += r.Percentile(catalogue.ClassInteractive, 0.95) / 3
			finished[i] += r.Finished
		}
	}
	ratio := func(d [2]time.Duration) float64 { return float64(d[1]) / float64(d[0]) }
	t.Logf("time to the first event, fixed and measured: mean %v %v (%.2f), 95th percentile %v %v (%.2f); finished %v",
		mean[0].Round(time.Millisecond), mean[1].Round(time.Millisecond), ratio(mean),
		slow95[0].Round(time.Millisecond), slow95[1].Round(time.Millisecond), ratio(slow95), finished)
	worse := mean[1] > mean[0]+maxMeanLoss || slow95[1] > slow95[0]+maxSlow95Loss
	if p.gain > 0 {
		worse = max(ratio(mean), ratio(slow95)) > p.gain
	}
	if worse || float64(finished[1]) < 0.98*float64(finished[0]) {
		t.Error("measured times serve worse than the pattern allows")
	}
}
