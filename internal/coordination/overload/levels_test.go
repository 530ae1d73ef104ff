package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against priorities that are shed alike: a router gets requests of the priorities 0, 1, 2 and 9 in equal numbers
// while its timers are late. Before, 2 and 9 were refused alike.
func TestEachPriorityIsShedApart(t *testing.T) {
	is := is.New(t)
	draw := 0.0
	s := New(Config{Rand: func() float64 { return draw }})
	var refused [priorityLevels]int
	for round := range 40 {
		runSampleGroups(s, time.Second, 1)
		for i := range 20 {
			draw = (float64(i) + float64(round%5)/5) / 20
			for _, priority := range []int{0, 1, 2, 9} {
				if s.ShouldRefuse(priority) {
					refused[priority]++
				}
			}
		}
		if round == 2 {
			t.Logf("refused of 60 by priority: %v at a ratio of %.2f", refused, s.refusedRatio)
			is.True(refused[9] > refused[2] && refused[2] > refused[1] && refused[1] > refused[0])
		}
	}
	is.True(refused[9] < 40*20) // not starved
}
