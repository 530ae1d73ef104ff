package configsync

import (
	"fmt"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

func benchEntry(i int) catalogue.Entry {
	return catalogue.Entry{
		Name: fmt.Sprintf("entry-%05d", i), Owner: "owner", Team: fmt.Sprintf("team-%03d", i%610), Class: catalogue.ClassInteractive,
		Models: []string{"setter-large", "setter-small"}, Credentials: []string{catalogue.HashCredential(fmt.Sprint(i))},
		Prepaid: []catalogue.Prepaid{{ID: fmt.Sprintf("p-%d", i), Tokens: 1000000}},
	}
}

// BenchmarkConfig measures a configuration of 60,000 entries: applying the first update and an update of one
// entry, building the snapshot that becomes active, and encoding and decoding the stored form.
func BenchmarkConfig(b *testing.B) {
	const entries = 60000
	first := Update{ID: "first"}
	for i := range entries {
		first.Upserts.Entries = append(first.Upserts.Entries, benchEntry(i))
	}
	state := NewState()
	data := mustJSON(first)
	state.Apply(1, data)
	b.Run("first-publish", func(b *testing.B) {
		b.ReportMetric(float64(len(data))/1e6, "MB")
		for range b.N {
			NewState().Apply(1, data)
		}
	})
	b.Run("fold-one-entry", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			update := Update{ID: fmt.Sprint("p", state.Next()), Base: state.Version()}
			update.Upserts.Entries = []catalogue.Entry{benchEntry(i % entries)}
			if state.Apply(state.Next(), mustJSON(update)).Outcome != Accepted {
				b.Fatal("not accepted")
			}
		}
	})
	b.Run("swap", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			state.Snapshot()
		}
	})
	stored, err := state.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportMetric(float64(len(stored.Data))/1e6, "MB")
		for range b.N {
			_, _ = state.Encode()
		}
	})
	b.Run("decode", func(b *testing.B) {
		for range b.N {
			if _, err := DecodeState(stored); err != nil {
				b.Fatal(err)
			}
		}
	})
}
