package sim

import (
	"flag"
	"testing"

	"github.com/matryer/is"
)

var compareSeed = flag.Int64("compare.seed", Seed, "seed of the comparison")

// Guards against overspend on the seeded schedules, and against strategies that
// are compared under different loads. go test -v prints the table of
// docs/measurements.md, which also has the false refusals.
func TestComparison(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short, which is used with the race detector: the comparison runs in one goroutine")
	}
	is := is.New(t)
	rows := Compare(*compareSeed)
	t.Log("\n" + Table(rows))
	for _, row := range rows {
		is.Equal(row.Shares.Overspend, int64(0)) // no schedule may overspend
		is.Equal(row.PerRequest.Overspend, int64(0))
		is.Equal(row.StaticSplit.Overspend, int64(0))
		is.Equal(row.Shares.Requests, row.StaticSplit.Requests) // the same load for each strategy
	}
}
