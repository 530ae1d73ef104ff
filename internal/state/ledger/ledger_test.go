package ledger

import (
	"fmt"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// testClosedShareAppends is small, so that compaction happens within the generated logs.
const testClosedShareAppends = 6

// newTestLedger returns a ledger that keeps closed shares for testClosedShareAppends appends only.
func newTestLedger() *Ledger {
	l := New()
	l.keepClosed = testClosedShareAppends
	return l
}

var (
	genKey = rapid.SampledFrom([]record.EntryKey{
		{Name: "a", Generation: 1}, {Name: "a", Generation: 1}, {Name: "a", Generation: 1}, {Name: "a", Generation: 2},
	})
	genHolder = rapid.SampledFrom([]record.HolderID{"vm-1/x", "vm-2/x"})
	genAmount = rapid.OneOf(rapid.Int64Range(0, 40), rapid.Int64Range(0, 40), rapid.SampledFrom([]int64{
		-1, -30, math.MinInt64, math.MaxInt64, record.MaxTokens, -record.MaxTokens, record.MaxTokens + 1,
	}))
	genSeq  = rapid.Uint64Range(0, 30)
	genItem = rapid.Custom(drawItem)
	// genRecord generates the data of one append: a valid batch, a damaged one or random bytes.
	genRecord = rapid.Custom(func(t *rapid.T) []byte {
		if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
			return rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "noise")
		}
		data, err := record.Encode(rapid.SliceOfN(genItem, 1, 3).Draw(t, "items"))
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 0x21
		}
		return data
	})
)

func drawItem(t *rapid.T) record.Item {
	key, holder := genKey.Draw(t, "key"), genHolder.Draw(t, "holder")
	amount, seq := genAmount.Draw(t, "amount"), genSeq.Draw(t, "seq")
	switch rapid.IntRange(0, 12).Draw(t, "record") {
	case 0, 1:
		id := rapid.SampledFrom([]string{"", "p1", "p2", "p3", "p4"}).Draw(t, "id")
		return record.Item{Adjust: &record.Adjust{Entry: key, ID: id, Delta: amount}}
	case 2, 3, 4, 5:
		return record.Item{Grant: &record.Grant{Entry: key, Holder: holder, Seq: seq, Amount: amount}}
	case 6, 7, 8:
		returned := rapid.Int64Range(-1, 10).Draw(t, "returned")
		return record.Item{Settle: &record.Settle{Entry: key, Holder: holder, Seq: seq, Spent: amount / 2, Returned: returned}}
	case 9, 10:
		return record.Item{Close: &record.Close{Entry: key, Holder: holder, Spent: amount / 2}}
	case 11:
		if seq < 2 {
			return record.Item{Remove: &record.Remove{Entry: key}}
		}
	}
	// An item with two fields set is malformed.
	return record.Item{Remove: &record.Remove{Entry: key}, Close: &record.Close{Entry: key, Holder: holder}}
}

func replay(l *Ledger, from uint64, data [][]byte) {
	for i, d := range data {
		l.ApplyRecord(from+uint64(i), d)
	}
}

// Guards against overspend: free budget and shares never exceed the prepaid amount, whatever the log
// contains.
func TestInvariantsHoldForAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLedger()
		for i, data := range rapid.SliceOfN(genRecord, 30, 80).Draw(t, "log") {
			l.ApplyRecord(uint64(i+1), data)
			for key, a := range l.Accounts {
				if err := a.verify(); err != nil {
					t.Fatalf("%s after record %d: %v", key, i+1, err)
				}
				if a.Outstanding()+a.Spent() > a.Prepaid {
					t.Fatalf("%s: shares exceed prepaid", key)
				}
			}
		}
	})
}

// Guards against an error in the incremental balances or in compaction: a reference ledger that sums the
// whole history must compute the same balances.
func TestLedgerAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, reference := newTestLedger(), NewReferenceLedger()
		reference.keepClosed = testClosedShareAppends
		for i, data := range rapid.SliceOfN(genRecord, 30, 80).Draw(t, "log") {
			l.ApplyRecord(uint64(i+1), data)
			reference.ApplyRecord(uint64(i+1), data)
			compareWithReference(t, l, reference)
		}
	})
}

func compareWithReference(t *rapid.T, l *Ledger, reference *ReferenceLedger) {
	if l.Malformed() != reference.Malformed() || l.Len() != len(reference.accepted) {
		t.Fatalf("malformed %d and %d, entries %d and %d", l.Malformed(), reference.Malformed(), l.Len(), len(reference.accepted))
	}
	for key, a := range l.Accounts {
		if got, want := a.Balance(), reference.Balance(key); got != want {
			t.Fatalf("%s: ledger %+v, reference %+v", key, got, want)
		}
	}
}

// Guards against a retried append that takes effect twice: a duplicate of an accepted item changes nothing,
// however late it arrives while the closed shares are kept.
func TestDuplicatedAppendsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		var effective []record.Item
		for _, item := range rapid.SliceOfN(genItem, 1, 60).Draw(t, "log") {
			if l.Apply(item).Accepted {
				effective = append(effective, item)
			}
			if len(effective) == 0 {
				continue
			}
			before := encode(t, l)
			for _, duplicate := range rapid.SliceOfN(rapid.SampledFrom(effective), 0, 3).Draw(t, "copies") {
				if l.Apply(duplicate).Accepted {
					t.Fatalf("a duplicate of %+v was accepted", duplicate)
				}
			}
			if string(encode(t, l)) != string(before) {
				t.Fatal("a duplicate changed the state")
			}
		}
	})
}

// Guards against a router that starts from a snapshot and then differs from one that read the whole log.
func TestSnapshotPlusRestEqualsFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(genRecord, 30, 80).Draw(t, "log")
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		full, head := newTestLedger(), newTestLedger()
		replay(full, 1, log)
		replay(head, 1, log[:cut])
		restored, err := Decode(encode(t, head))
		if err != nil {
			t.Fatal(err)
		}
		restored.keepClosed = testClosedShareAppends
		replay(restored, uint64(cut+1), log[cut:])
		if got, want := encode(t, restored), encode(t, full); string(got) != string(want) {
			t.Fatalf("restored\n%x\nfull\n%x", got, want)
		}
	})
}

type fataler interface {
	Helper()
	Fatal(...any)
}

func encode(t fataler, l *Ledger) []byte {
	t.Helper()
	data, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a grant of a terminated holder that reaches the log after its Close, and against its share
// being counted twice after compaction.
func TestGrantAfterCloseIsRejected(t *testing.T) {
	is := is.New(t)
	key, h := record.EntryKey{Name: "a", Generation: 1}, record.HolderID("vm-1/x")
	l := newTestLedger()
	l.Apply(record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: 100}})
	l.Apply(record.Item{Grant: &record.Grant{Entry: key, Holder: h, Seq: 1, Amount: 40}})
	l.Apply(record.Item{Close: &record.Close{Entry: key, Holder: h, Spent: 10}})
	late := record.Item{Grant: &record.Grant{Entry: key, Holder: h, Seq: 2, Amount: 5}}
	is.True(!l.Apply(late).Accepted)
	want := Balance{Prepaid: 100, Free: 90, Spent: 10}
	for offset := range uint64(2 * testClosedShareAppends) {
		l.ApplyRecord(offset+1, nil)
		is.Equal(l.Account(key).Balance(), want)
	}
	is.Equal(len(l.Account(key).Shares), 0) // the closed share is compacted
	is.Equal(len(l.internedHolders), 0)     // and its holder is dropped
}

// Guards against a late top-up that reactivates a removed entry, and against a new entry of the same name
// that inherits the old account.
func TestRecreatedEntryIsAnotherAccount(t *testing.T) {
	is := is.New(t)
	first, second := record.EntryKey{Name: "a", Generation: 1}, record.EntryKey{Name: "a", Generation: 9}
	l := New()
	topUp := func(key record.EntryKey) Result {
		return l.Apply(record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: 100}})
	}
	is.True(topUp(first).Accepted)
	l.Apply(record.Item{Remove: &record.Remove{Entry: first}})
	is.True(!topUp(first).Accepted)
	is.True(topUp(second).Accepted) // the same ID is valid for the new account
	is.Equal(l.Account(first).Balance(), Balance{Prepaid: 100, Free: 100, Removed: true})
	is.Equal(l.Account(second).Balance(), Balance{Prepaid: 100, Free: 100})
}

// Guards against overflow of a cumulative counter after many grants and returns.
func TestCumulativeGrantsAreBounded(t *testing.T) {
	is := is.New(t)
	key := record.EntryKey{Name: "a", Generation: 1}
	l := New()
	l.Apply(record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: record.MaxTokens}})
	is.Equal(l.Apply(record.Item{Adjust: &record.Adjust{Entry: key, ID: "q", Delta: 1}}).Amount, int64(0))
	for seq := range uint64(20) {
		l.Apply(record.Item{Grant: &record.Grant{Entry: key, Holder: "h", Seq: seq + 1, Amount: record.MaxTokens}})
		returned := l.Account(key).Shares["h"].Granted
		l.Apply(record.Item{Settle: &record.Settle{Entry: key, Holder: "h", Seq: seq + 1, Returned: returned}})
		is.NoErr(l.Account(key).verify())
	}
}

// Guards against a malformed item that causes the valid items of its batch to be skipped.
func TestMalformedItemDoesNotAffectItsBatch(t *testing.T) {
	is := is.New(t)
	key := record.EntryKey{Name: "a", Generation: 1}
	valid := record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: 5}}
	// A record.Batch with its field numbers as keys: one valid item, a Grant of the wrong type and a nil item.
	data, err := cbor.Marshal(map[int]any{1: 1, 2: []any{valid, map[int]any{2: "text"}, nil}})
	is.NoErr(err)
	l := New()
	l.ApplyRecord(1, data)
	is.Equal(l.Account(key).Prepaid, int64(5))
	is.Equal(l.Malformed(), uint64(2))
}

// Guards against loading a corrupted state: the amounts of an account must add up.
func TestDecodeRefusesBrokenInvariants(t *testing.T) {
	is := is.New(t)
	for i, damage := range []func(*Account){
		func(a *Account) { a.Free++ },
		func(a *Account) { a.Shares["h"].Spent = -1 },
		func(a *Account) { a.Shares["h"].Granted = math.MaxInt64 },
	} {
		l := New()
		key := record.EntryKey{Name: fmt.Sprint("e", i), Generation: 1}
		l.Apply(record.Item{Adjust: &record.Adjust{Entry: key, ID: "p", Delta: 5}})
		l.Apply(record.Item{Grant: &record.Grant{Entry: key, Holder: "h", Seq: 1, Amount: 2}})
		damage(l.Account(key))
		_, err := Decode(encode(t, l))
		is.True(errors.Is(err, ErrInvalidSnapshot))
	}
}

// Guards against a panic of the decoder on arbitrary bytes.
func FuzzDecode(f *testing.F) {
	l := New()
	l.Apply(record.Item{Adjust: &record.Adjust{Entry: record.EntryKey{Name: "a", Generation: 1}, ID: "p", Delta: 5}})
	f.Add(encode(f, l))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(encode(t, l))
		if err != nil || again.Next() != l.Next() {
			t.Fatalf("re-encoded ledger does not decode: %v", err)
		}
	})
}
