package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

// Contents of the sample catalogue of --dev.
const (
	devCredential = "dev-secret"
	devModel      = "demo-model"
	devTokens     = 100000
	// devConcurrency is high because the stand-in engine has no limit.
	devConcurrency = 1024
)

// Dev is the environment of a router that is started with --dev: a stand-in engine and an in-process log.
type Dev struct {
	Log *standin.Log
}

// StartDev starts a stand-in engine and a log with a sample catalogue. The engine stops when the context
// ends.
func StartDev(ctx context.Context, partitions int) (*Dev, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in engine")
	}
	engine := &standin.Engine{}
	server := &http.Server{Handler: engine.Handler()}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })

	dev := &Dev{Log: standin.NewLog()}
	return dev, dev.publishSample(ctx, "http://"+listener.Addr().String(), partitions)
}

// publishSample publishes a catalogue with one entry and the engine, and prepays devTokens for the entry.
func (d *Dev) publishSample(ctx context.Context, engineURL string, partitions int) error {
	update := configsync.Update{
		ID: "dev-sample", Author: "dev",
		Upserts: catalogue.Catalogue{
			Entries: []catalogue.Entry{{
				Name: "demo", Owner: "you", Team: "demo", Class: catalogue.ClassInteractive,
				Models: []string{devModel}, Credentials: []string{catalogue.HashCredential(devCredential)},
			}},
			Upstreams: []catalogue.Upstream{{
				Name: "engine-1", Kind: catalogue.KindEngine, Address: engineURL, Models: []string{devModel},
				Concurrency: devConcurrency,
			}},
		},
	}
	data, err := json.Marshal(update)
	if err != nil {
		return errors.Wrap(err, "encode the sample catalogue")
	}
	generation, err := d.Log.Append(ctx, record.ConfigStream, data)
	if err != nil {
		return err
	}
	adjust := record.Adjust{
		Entry: record.EntryKey{Name: "demo", Generation: generation}, ID: "dev-1", Delta: devTokens, Author: "dev",
	}
	batch, err := record.Encode([]record.Item{{Adjust: &adjust}})
	if err != nil {
		return err
	}
	_, err = d.Log.Append(ctx, record.LedgerStream(record.Partition("demo", partitions)), batch)
	return err
}

// CurlLine returns a curl command that sends a request to the router at the address.
func (d *Dev) CurlLine(address string) string {
	return fmt.Sprintf(`curl -i http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
  -d '{"model":%q,"max_tokens":16,"messages":[{"role":"user","content":"which tooth angle for oak"}]}'`,
		address, devCredential, devModel)
}
