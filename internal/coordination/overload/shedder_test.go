package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runSteps feeds the shedder with a lagging timer for a number of adjustment steps and returns the refused
// ratio.
func runSteps(s *Shedder, lag time.Duration, steps int) (refusedRatio float64) {
	for range steps {
		for range 5 {
			s.Sample(SampleInterval, 0)
		}
		refusedRatio, _ = s.Sample(SampleInterval+lag, 0)
	}
	return refusedRatio
}

// Guards against a router that serves all requests late when one team's callers send a burst to a small
// router.
func TestRefusesWhileTimersAreLate(t *testing.T) {
	is := is.New(t)
	s := New(Config{Rand: func() float64 { return 0.5 }})
	is.True(!s.ShouldRefuse(2))
	runSteps(s, 3*DefaultMaxLag, 12)
	is.True(s.ShouldRefuse(2))
	is.True(s.Busy())
}

// Guards against refusals at a router that is only throttled by its CPU quota.
func TestToleratesCPUThrottling(t *testing.T) {
	is := is.New(t)
	s := New(Config{Rand: func() float64 { return 0 }})
	is.Equal(runSteps(s, 80*time.Millisecond, 50), 0.0)
	is.True(!s.ShouldRefuse(2))
}

// Guards against refusals that continue after the overload has ended.
func TestStopsRefusingAfterOverload(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	runSteps(s, time.Second, 20)
	is.True(runSteps(s, 0, 40) == 0)
	is.True(!s.Busy())
}

// Guards against urgent requests that are refused before less urgent ones.
func TestLessUrgentGoFirst(t *testing.T) {
	is := is.New(t)
	draw := 0.0
	s := New(Config{Rand: func() float64 { return draw }})
	runSteps(s, time.Second, 2)
	refused := [priorityLevels]int{}
	for i := range 100 {
		draw = float64(i) / 100
		for priority := range refused {
			if s.ShouldRefuse(priority) {
				refused[priority]++
			}
		}
	}
	is.True(refused[2] > refused[1] && refused[1] > refused[0])
}

// Guards against a full link that delays every packet, when one team sends large requests to a router with a
// narrow link.
func TestRefusesWhileTheLinkIsFull(t *testing.T) {
	is := is.New(t)
	s := New(Config{Rand: func() float64 { return 0.5 }})
	for range 100 {
		s.Sample(SampleInterval, 0.5)
	}
	is.True(!s.ShouldRefuse(2))
	for range 100 {
		s.Sample(SampleInterval, 0.95)
	}
	is.True(s.ShouldRefuse(2))
}
