package record

import (
	"testing"

	"github.com/matryer/is"
)

// sampleItems returns one valid item of each kind except Backup and OrderLease.
func sampleItems() []Item {
	key := EntryKey{Name: "bench", Generation: 7}
	return []Item{
		{Adjust: &Adjust{Entry: key, ID: "p1", Delta: 100}},
		{Grant: &Grant{Entry: key, Holder: "vm-1/a", Seq: 1, Amount: 10}},
		{Settle: &Settle{Entry: key, Holder: "vm-1/a", Seq: 1, Spent: 4, Returned: 2}},
		{Close: &Close{Entry: key, Holder: "vm-1/a", Spent: 5}},
		{Remove: &Remove{Entry: key}},
		{Bill: &Bill{RequestID: "r1", Entry: key, Holder: "vm-1/a", Charged: 4}},
		{Claim: &Claim{Entry: key, Key: "k", BodyHash: []byte{1}, RequestID: "r1", Holder: "vm-1/a", Token: "t"}},
		{Release: &Release{Entry: key, Key: "k", Token: "t"}},
	}
}

// Guards against a field that is lost, or a valid item that is skipped, between writer and reader.
func TestItemsRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := Encode(sampleItems())
	is.NoErr(err)
	items, skipped, err := Decode(data)
	is.NoErr(err)
	is.Equal(skipped, 0)
	is.Equal(items, sampleItems())
}

// Guards against a difference between Check and Decode, which would let readers disagree: Decode skips
// exactly the items that Check rejects.
func TestDecodeSkipsWhatCheckRejects(t *testing.T) {
	is := is.New(t)
	key := EntryKey{Name: "bench", Generation: 7}
	invalid := []Item{
		{},
		{Adjust: &Adjust{Entry: key, Delta: 1}},
		{Adjust: &Adjust{Entry: key, ID: "p", Delta: MaxTokens + 1}},
		{Grant: &Grant{Entry: key, Holder: "h", Seq: 1}},
		{Grant: &Grant{Entry: EntryKey{}, Holder: "h", Seq: 1, Amount: 1}},
		{Settle: &Settle{Entry: key, Holder: "h", Seq: 1, Spent: -1}},
		{Close: &Close{Entry: key, Holder: HolderID(make([]byte, MaxNameBytes+1))}},
		{Claim: &Claim{Entry: key, Key: "k", RequestID: "r", Holder: "h"}},
		{Claim: &Claim{Entry: key, Key: "\xff", BodyHash: []byte{1}, RequestID: "r", Holder: "h"}},
	}
	for _, item := range invalid {
		is.True(item.Check() != nil)
	}
	data, err := Encode(append(invalid, sampleItems()...))
	is.NoErr(err)
	items, skipped, err := Decode(data)
	is.NoErr(err)
	is.Equal(skipped, len(invalid))
	is.Equal(items, sampleItems())
}

// Guards against a reader that crashes on arbitrary bytes in the log, and against an item that it accepts but
// that does not survive encoding again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(sampleItems())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa2, 1, 1, 2, 0x81, 0xa1, 2, 0x60})
	f.Fuzz(func(t *testing.T, data []byte) {
		items, _, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(items)
		if err != nil {
			t.Fatal(err)
		}
		back, skipped, err := Decode(again)
		if err != nil || skipped != 0 || len(back) != len(items) {
			t.Fatalf("%d items were decoded as %d, skipped %d: %v", len(items), len(back), skipped, err)
		}
	})
}
