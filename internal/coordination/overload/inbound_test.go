package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a link of 10 Mbit/s that one source of callers fills with bodies of requests, so that the router hears
// nothing of the log and its upstreams, and against callers that are sent back to it after a moment.
func TestInboundLinkTakesNoMoreConnections(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	in := NewInbound(testBandwidth, func() time.Time { return now })
	receive := func(d time.Duration, use float64) {
		for end := now.Add(d); now.Before(end); now = now.Add(SampleInterval) {
			in.Sample(SampleInterval, int64(use*testBandwidth*SampleInterval.Seconds()))
		}
	}
	receive(time.Second, 0.5)
	is.True(!in.Full())
	is.True(!in.Busy())
	receive(100*time.Millisecond, 1) // a burst that the network buffers
	is.True(!in.Busy())
	receive(time.Second, 1)
	is.True(in.Full())
	is.True(in.Busy())
	receive(400*time.Millisecond, 0.2)
	is.True(!in.Full())
	is.True(in.Busy())
	receive(busyInboundHold, 0.2)
	is.True(!in.Busy())
}

// Guards against a link whose bandwidth is unknown or large that refuses connections.
func TestInboundWithoutSmallLink(t *testing.T) {
	is := is.New(t)
	unknown := NewInbound(0, time.Now)
	unknown.Sample(time.Second, 1<<40)
	is.True(!unknown.Full())
	is.Equal(unknown.AcceptQueue(), 0)
	is.Equal(NewInbound(125e6, time.Now).AcceptQueue(), 0)
	is.Equal(NewInbound(testBandwidth, time.Now).AcceptQueue(), 61)
}
