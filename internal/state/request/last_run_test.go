package request

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that stays dispatched for ever: its first attempt ran and failed, and the last one was refused.
func TestSettleLastRun(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Retention: time.Second, MaxFinished: 1, Now: time.Now})
	r, _, err := table.Begin(Params{ID: "r"})
	is.NoErr(err)
	is.NoErr(r.Reserve())
	is.True(r.SettleLastRun(Bill{}) != nil)
	_, err = r.Dispatch()
	is.NoErr(err)
	second, err := r.Dispatch()
	is.NoErr(err)
	is.NoErr(r.AttemptNotRun(second))
	is.NoErr(r.SettleLastRun(Bill{Charged: 5}))
	is.Equal(r.State(), Settled)
	is.Equal(r.Info().Bill.Charged, int64(5))
	is.True(r.SettleLastRun(Bill{}) != nil)
}
