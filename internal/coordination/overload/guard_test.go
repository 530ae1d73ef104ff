package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// run feeds a guard with lags and returns the refused part.
func run(g *Shedder, lag time.Duration, steps int) (refused float64) {
	for range steps {
		for range 5 {
			g.Sample(SampleInterval, 0)
		}
		refused, _ = g.Sample(SampleInterval+lag, 0)
	}
	return refused
}

// Guards against a router that serves everyone late: burst of one team's callers
// at one small router.
func TestRefusesWhileTimersAreLate(t *testing.T) {
	is := is.New(t)
	g := New(Config{Rand: func() float64 { return 0.5 }})
	is.True(!g.Refuse(2))
	run(g, 3*DefaultLag, 12)
	is.True(g.Refuse(2))
	is.True(g.Busy())
}

// Guards against refusals of a router that only gets its processor in slices.
func TestToleratesSlices(t *testing.T) {
	is := is.New(t)
	g := New(Config{Rand: func() float64 { return 0 }})
	is.Equal(run(g, 80*time.Millisecond, 50), 0.0)
	is.True(!g.Refuse(2))
}

// Guards against a guard that keeps refusing after the load has gone.
func TestRecovers(t *testing.T) {
	is := is.New(t)
	g := New(Config{})
	run(g, time.Second, 20)
	is.True(run(g, 0, 40) == 0)
	is.True(!g.Busy())
}

// Guards against urgent requests that go before less urgent ones.
func TestLessUrgentGoFirst(t *testing.T) {
	is := is.New(t)
	draw := 0.0
	g := New(Config{Rand: func() float64 { return draw }})
	run(g, time.Second, 2)
	refused := [ranks]int{}
	for i := range 100 {
		draw = float64(i) / 100
		for rank := range refused {
			if g.Refuse(rank) {
				refused[rank]++
			}
		}
	}
	is.True(refused[2] > refused[1] && refused[1] > refused[0])
}

// Guards against a full link that delays every packet: one team's large requests
// at one router with a narrow link.
func TestRefusesWhileTheLinkIsFull(t *testing.T) {
	is := is.New(t)
	g := New(Config{Rand: func() float64 { return 0.5 }})
	for range 100 {
		g.Sample(SampleInterval, 0.5)
	}
	is.True(!g.Refuse(2))
	for range 100 {
		g.Sample(SampleInterval, 0.95)
	}
	is.True(g.Refuse(2))
}
