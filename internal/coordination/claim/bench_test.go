package claim

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/obs"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// BenchmarkGroupCommit places claims from concurrent callers of one router on
// one stream, with the default interval, and reports claims per append.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			router := New(Config{
				Partitions: 1, Interval: DefaultInterval, Queue: DefaultQueue, MaxWait: DefaultMaxWait, Retention: DefaultRetention,
			}, standin.NewLog(), logger)
			var loops conc.WaitGroup
			loops.Go(func() { router.Run(ctx) })
			appends, claimed := obs.ClaimAppendsTotal.Value(), obs.ClaimsTotal.Value()
			for round := 0; b.Loop(); round++ {
				claimAll(b, router, callers, round)
			}
			b.ReportMetric(float64(obs.ClaimsTotal.Value()-claimed)/float64(obs.ClaimAppendsTotal.Value()-appends), "claims/append")
			cancel()
			loops.Wait()
		})
	}
}

// claimAll places one claim from each caller and waits for all of them.
func claimAll(b *testing.B, router *Claimer, callers, round int) {
	var all conc.WaitGroup
	for c := range callers {
		all.Go(func() {
			claim := claimOf(fmt.Sprintf("%d-%d-%d", b.N, round, c), "vm-1")
			if _, won, err := router.Claim(context.Background(), claim); err != nil || !won {
				b.Errorf("won %v: %v", won, err)
			}
		})
	}
	all.Wait()
}
