package claims

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

const testRetention = 20 * time.Second

var (
	genClaim = rapid.Custom(func(t *rapid.T) record.Claim {
		return record.Claim{
			Entry: record.EntryKey{Name: "a", Generation: rapid.Uint64Range(1, 2).Draw(t, "generation")},
			Key:   rapid.SampledFrom([]string{"k1", "k2", ""}).Draw(t, "key"), BodyHash: []byte{1},
			RequestID: "r", Holder: "vm-1/x", Token: rapid.StringMatching(`[a-z]{3}`).Draw(t, "token"),
		}
	})
	// genLog generates a stream whose record times increase, repeat or decrease.
	genLog = rapid.Custom(func(t *rapid.T) []logstream.Record {
		var out []logstream.Record
		at := int64(100)
		for i := range rapid.IntRange(0, 60).Draw(t, "records") {
			at += rapid.Int64Range(-1, 6).Draw(t, "seconds")
			out = append(out, logstream.Record{Offset: uint64(i + 1), Time: time.Unix(at, 0), Data: drawData(t)})
		}
		return out
	})
)

func drawData(t *rapid.T) []byte {
	if rapid.IntRange(0, 7).Draw(t, "noise") == 0 {
		return []byte{1, 2, 3}
	}
	var items []record.Item
	for _, c := range rapid.SliceOfN(genClaim, 1, 2).Draw(t, "claims") {
		items = append(items, record.Item{Claim: &c})
		if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
			r := record.Release{Entry: c.Entry, Key: c.Key, Token: c.Token}
			items = append(items, record.Item{Release: &r})
		}
	}
	data, err := record.Encode(items)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// referenceWinner scans the whole log and returns the claim that is the winner of a key after the last record,
// if there is one.
func referenceWinner(log []logstream.Record, key string) (record.Claim, bool) {
	var claim record.Claim
	var clock, wonAt time.Time
	won := false
	for _, r := range log {
		if r.Time.After(clock) {
			clock = r.Time
		}
		if won && clock.Sub(wonAt) >= testRetention {
			won = false
		}
		items, _, _ := record.Decode(r.Data)
		for _, item := range items {
			switch {
			case item.Claim != nil && item.Claim.Key == key && !won:
				claim, won, wonAt = *item.Claim, true, clock
			case item.Release != nil && item.Release.Key == key && won && item.Release.Token == claim.Token:
				won = false
			}
		}
	}
	return claim, won
}

// Guards against two winners of a key, and against readers that disagree on when a claim expired: the table
// must agree with a scan of the whole log, and a table restored from a snapshot with one that read every
// record.
func TestTableAgreesWithScanAndSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := genLog.Draw(t, "log")
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		full := New(testRetention)
		var snap []byte
		for i, r := range log {
			if i == cut {
				snap = mustEncode(t, full)
			}
			full.ApplyRecord(r)
			full.ApplyRecord(r) // a record that is read twice
			for _, key := range []string{"k1", "k2"} {
				checkWinner(t, full, log[:i+1], key)
			}
		}
		if snap == nil {
			snap = mustEncode(t, full)
		}
		restored, err := Decode(snap, testRetention)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range log[cut:] {
			restored.ApplyRecord(r)
		}
		if string(mustEncode(t, restored)) != string(mustEncode(t, full)) {
			t.Fatal("a table from a snapshot differs")
		}
	})
}

func checkWinner(t *rapid.T, table *Table, log []logstream.Record, key string) {
	want, wantWon := referenceWinner(log, key)
	got, won := table.Winner(&record.Claim{Entry: record.EntryKey{Name: "a"}, Key: key})
	if won != wantWon || won && (got.Token != want.Token || got.Entry != want.Entry) {
		t.Fatalf("key %s: table %v %+v, scan %v %+v", key, won, got, wantWon, want)
	}
}

func mustEncode(t interface{ Fatal(...any) }, table *Table) []byte {
	data, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a panic of the decoder on arbitrary bytes, or of a table that was decoded from them.
func FuzzDecode(f *testing.F) {
	table := New(testRetention)
	claim := record.Claim{
		Entry: record.EntryKey{Name: "a", Generation: 1}, Key: "k", BodyHash: []byte{1}, RequestID: "r", Holder: "h",
	}
	data, err := record.Encode([]record.Item{{Claim: &claim}})
	if err != nil {
		f.Fatal(err)
	}
	table.ApplyRecord(logstream.Record{Offset: 1, Time: time.Unix(100, 0), Data: data})
	f.Add(mustEncode(f, table))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Decode(data, testRetention)
		if err != nil {
			return
		}
		table.Winner(&claim)
		table.ApplyRecord(logstream.Record{Offset: table.Next(), Time: time.Unix(1<<40, 0)})
	})
}
