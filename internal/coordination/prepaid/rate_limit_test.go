package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Guards against refusals that name an outage of the log while it only limits the rate of calls or other routers write
// first, and against a rate limit that is taken for an outage.
func TestCauseOfTimeout(t *testing.T) {
	scenario(t, func(is *is.I, m *model) {
		vm := m.vms[0]
		vm.sync(is)
		p := vm.partition()
		causeAfter := func(failure error) error {
			m.memory.FaultHook = func(call string, _ keyedlog.Stream, _ bool) error {
				if call != "append" && errors.Is(failure, keyedlog.ErrConflict) {
					return nil
				}
				return failure
			}
			defer func() { m.memory.FaultHook = nil }()
			w, err := p.reserve(modelEntry, m.prepaid/3, m.prepaid)
			is.NoErr(err)
			m.now = m.now.Add(time.Millisecond)
			if err = p.sync(context.Background(), false); err != nil {
				p.noteOutage(err)
			}
			cause := p.timeoutCause(w)
			p.cancelWait(modelEntry, w)
			return cause
		}
		m.now = m.now.Add(time.Minute)
		is.Equal(causeAfter(keyedlog.RateLimited(errors.New("429"))), errRateLimited)
		is.True(!p.failing)
		m.now = m.now.Add(time.Minute)
		is.Equal(causeAfter(keyedlog.ErrConflict), errLogBusy)
		m.now = m.now.Add(time.Minute)
		is.Equal(causeAfter(errLogDown), errLogUnresponsive)
		is.True(p.failing)
	})
}
