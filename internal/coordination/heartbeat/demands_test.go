package heartbeat

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Guards against a demand that does not reach the other routers, and against a router that counts as gone because its demand
// is of another kind.
func TestDemandsOfTheLiveRouters(t *testing.T) {
	is := is.New(t)
	c, log := newClock(), keyedlog.NewMemory()
	m := newMonitor(log, "vm-1", "p1", c)
	demand, err := cbor.Marshal(map[string]int{"s": 3})
	is.NoErr(err)
	m.cfg.Demand = func() []byte { return demand }
	is.NoErr(m.send(context.Background()))
	odd, err := cbor.Marshal(map[int]any{1: "p2", 4: Timestamp{}, 5: Timestamp{}, 12: "not a map"})
	is.NoErr(err)
	_, err = log.Append(context.Background(), stream, []keyedlog.Record{{Key: "vm-2", Value: odd}}, keyedlog.AnyOffset)
	is.NoErr(err)
	m.readStream(is, log)
	is.Equal(m.Routers(), 2)
	got := make(map[string]string)
	for _, d := range m.Demands() {
		got[d.VM] = string(d.Demand)
	}
	is.Equal(got["vm-1"], string(demand))
	is.Equal(len(got), 2)
}
