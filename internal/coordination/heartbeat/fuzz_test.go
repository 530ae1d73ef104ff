package heartbeat

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// FuzzRecord guards against a record of another writer that ends the process or hides the other routers.
func FuzzRecord(f *testing.F) {
	data, err := cbor.Marshal(Record{Process: "p", Address: "127.0.0.1:1", Usage: map[string]int64{"e": -1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("vm-3", data)
	f.Add("", []byte{0x9f})
	f.Fuzz(func(t *testing.T, vm string, data []byte) {
		c := newClock()
		m := newMonitor(keyedlog.NewMemory(), "vm-1", "p1", c)
		sound, err := cbor.Marshal(Record{Process: "p2", Address: "127.0.0.1:2"})
		if err != nil {
			t.Fatal(err)
		}
		m.replica.Merge(keyedlog.Page{Next: 2, Records: []keyedlog.Record{{Key: "vm-2", Value: sound, Offset: 0}, {Key: vm, Value: data, Offset: 1}}})
		m.update()
		if vm != "vm-2" && m.Addresses()["vm-2"] != "127.0.0.1:2" {
			t.Error("the other router is not known")
		}
	})
}
