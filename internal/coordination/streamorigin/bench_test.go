package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/keyedlog"
)

// Size of the target: 380 routers that each begin 21 streams a second.
const (
	targetRouters          = 380
	targetStreamsPerRouter = 21 * int(retention/time.Second)
)

// BenchmarkWrite measures one write of a router while a service has two versions.
func BenchmarkWrite(b *testing.B) {
	r := newTestRegistry(keyedlog.NewMemory(), "vm-1", time.Now)
	r.SetListed(listed(v1, v2))
	for i := range targetStreamsPerRouter {
		r.Begin(fmt.Sprint("s", i), []Origin{v1, v2}[i%2])
	}
	if err := r.inherit(context.Background()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		value, _ := r.nextRecord()
		b.ReportMetric(float64(len(value)), "bytes")
	}
}

// BenchmarkListing measures what a router does with one listing when a caller takes a stream up again.
func BenchmarkListing(b *testing.B) {
	log := keyedlog.NewMemory()
	for vm := range targetRouters {
		r := newTestRegistry(log, fmt.Sprint("vm-", vm), time.Now)
		r.SetListed(listed(v1, v2))
		for i := range targetStreamsPerRouter {
			r.Begin(fmt.Sprint(vm, " ", i), []Origin{v1, v2}[i%2])
		}
		if err := r.inherit(context.Background()); err != nil {
			b.Fatal(err)
		}
		value, _ := r.nextRecord()
		log.AppendUnconditionally(testStream, keyedlog.Record{Key: r.cfg.VM, Value: value})
	}
	r := newTestRegistry(log, "vm-new", time.Now)
	b.ReportAllocs()
	for b.Loop() {
		l, err := r.list(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := l.find(hashOf("unknown"), func(string) bool { return true }); ok {
			b.Fatal(errors.New("an unknown stream was found"))
		}
	}
}
