package prepaid

import (
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// FuzzShareRecord guards against a record of another writer that ends the process, or that makes room for more than the
// budget: what is granted to others must not fall below what their sound records say.
func FuzzShareRecord(f *testing.F) {
	for _, r := range []shareRecord{
		{Process: "p", Granted: 10, Spent: 5}, {Process: "p", Granted: -10}, {Process: "p", Granted: 1 << 62, Spent: -1}, {},
	} {
		data, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add("entry\x00vm-3", data)
		f.Add("entry", data)
	}
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		now := time.Unix(1000, 0)
		m := New(Config{
			Log: keyedlog.NewMemory(), Streams: []keyedlog.Stream{{Name: "s"}}, VM: "vm-1", Process: "p1",
			Prepaid: func(string) (int64, bool) { return 1000, true }, Routers: func() int { return 3 }, Policy: DefaultPolicy(),
			Now: func() time.Time { return now }, Logger: logger,
			Heartbeats: &modelHeartbeats{model: &model{now: now}, lastGaps: make(map[string]modelGap)},
		})
		p := m.partitions[0]
		sound, err := cbor.Marshal(shareRecord{Process: "p2", Granted: 600, Spent: 100})
		if err != nil {
			t.Fatal(err)
		}
		p.apply(keyedlog.Page{Next: 2, Records: []keyedlog.Record{
			{Key: "entry\x00vm-2", Value: sound, Offset: 0}, {Key: key, Value: data, Offset: 1},
		}})
		if key == "entry\x00vm-2" {
			return
		}
		if granted := p.account("entry").totalGranted(); granted < 600 {
			t.Errorf("%d are granted to others, of 600", granted)
		}
		p.plan(false)
	})
}
