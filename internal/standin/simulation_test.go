package standin

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

var (
	measure  = flag.Bool("measure", false, "print the tables of docs/measurements.md")
	loadSeed = flag.Uint64("load-seed", 20261204, "seed of the simulations")
)

type deployment struct {
	name                    string
	engines, zones, routers int
}

// deployments are the two fleets in the tables of docs/measurements.md.
var deployments = []deployment{{"Bladeline", 20, 4, 8}, {"Maison Ndiaye", 10, 3, 6}}

func (d deployment) config(policy RoutingPolicy) SimulationConfig {
	return SimulationConfig{Seed: *loadSeed, Engines: d.engines, Zones: d.zones, Routers: d.routers, Policy: policy, Duration: 2 * time.Minute}
}

// capacity is the rate of finished requests with all slots in use, from a closed-loop simulation.
func (d deployment) capacity() float64 {
	cfg := d.config(PolicyRouter)
	cfg.ClosedLoopRequests = d.engines * simSlots * 5 / 4
	return Simulate(cfg).RequestRate
}

func (d deployment) runAt(policy RoutingPolicy, rate float64) SimulationResult {
	cfg := d.config(policy)
	cfg.Rate = rate
	return Simulate(cfg)
}

// TestMeasureLoad prints the tables of docs/measurements.md.
func TestMeasureLoad(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	for _, d := range deployments {
		capacity := d.capacity()
		fmt.Printf("\n%s: %d engines, %d zones, %d routers; 100%% = %.1f requests/s\n\n", d.name, d.engines, d.zones, d.routers, capacity)
		fmt.Println("| load | policy | interactive p50 | p95 | queued p50 | p95 | goodput tokens/s | queued done | refused | abandoned | prefix hits |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, load := range []float64{0.5, 0.9, 1, 1.2, 2} {
			for _, p := range []RoutingPolicy{PolicyRouter, PolicyLeastOutstanding, PolicyRoundRobin} {
				r := d.runAt(p, capacity*load)
				i, q := catalogue.ClassInteractive, catalogue.ClassQueued
				fmt.Printf("| %.0f%% | %s | %.3f s | %.3f s | %.2f s | %.2f s | %.0f | %d | %d | %d | %.0f%% |\n", load*100, p,
					r.Percentile(i, .5).Seconds(), r.Percentile(i, .95).Seconds(), r.Percentile(q, .5).Seconds(), r.Percentile(q, .95).Seconds(),
					r.Goodput, r.ClassFinished[q], r.Refused, r.Abandoned, r.CacheHitRatio*100)
			}
		}
		fmt.Println("\n| a third of the engines fails | attempts per request | failed requests |\n| --- | --- | --- |")
		for _, unbudgeted := range []bool{false, true} {
			for _, p := range []RoutingPolicy{PolicyRouter, PolicyRoundRobin} {
				cfg := d.config(p)
				cfg.Rate, cfg.FailingEngines, cfg.UnbudgetedRetries = capacity/2, d.engines/3, unbudgeted
				r := Simulate(cfg)
				fmt.Printf("| %s, retries within budget: %v | %.3f | %.1f%% |\n", p, !unbudgeted,
					float64(r.Attempts)/float64(r.Offered), 100*float64(r.Failed)/float64(r.Offered))
			}
		}
		fmt.Println("\n| drain signal | last request after the signal |\n| --- | --- |")
		for _, signal := range []DrainSignal{SignalLoadReport, SignalResponse, SignalUpstreamList} {
			cfg := d.config(PolicyRouter)
			cfg.Rate, cfg.DrainSignal = capacity*0.9, signal
			fmt.Printf("| %s | %.2f s |\n", signal, Simulate(cfg).LastRequestAfterSignal.Seconds())
		}
	}
}

// Guards against interactive requests that wait under overload, queued requests that starve, throughput that
// collapses beyond saturation, retries that multiply the load, and requests to an engine that is draining.
func TestLoadGoals(t *testing.T) {
	if testing.Short() {
		t.Skip("takes six simulations")
	}
	is := is.New(t)
	d := deployments[1]
	capacity := d.capacity()
	at100, at120, at200 := d.runAt(PolicyRouter, capacity), d.runAt(PolicyRouter, 1.2*capacity), d.runAt(PolicyRouter, 2*capacity)
	is.True(at120.Percentile(catalogue.ClassInteractive, 0.95) < 370*time.Millisecond)
	is.True(at120.ClassFinished[catalogue.ClassQueued] > 0)
	is.True(at200.Goodput >= 0.95*at100.Goodput)

	cfg := d.config(PolicyRouter)
	cfg.Rate, cfg.FailingEngines = capacity/2, d.engines/3
	failing := Simulate(cfg)
	is.True(float64(failing.Attempts) <= 1.1*float64(failing.Offered))

	cfg = d.config(PolicyRouter)
	cfg.Rate, cfg.DrainSignal = capacity*0.9, SignalLoadReport
	is.True(Simulate(cfg).LastRequestAfterSignal < 3*time.Second)
}
