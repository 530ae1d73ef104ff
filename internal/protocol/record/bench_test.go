package record

import (
	"crypto/sha256"
	"encoding/json"
	"testing"
)

// BenchmarkStoredSize reports the stored size of one item of each kind except Backup and OrderLease, as CBOR in
// a batch of 64 and, for comparison, as JSON with the Go field names. A record in the units of the results is
// one item.
func BenchmarkStoredSize(b *testing.B) {
	key := EntryKey{Name: "team-017/budget-00042", Generation: 51234}
	holder := HolderID("vm-042/0f8fad5b-d9cb-469f-a165-708677289501")
	request := "7c9e6679-7425-40de-944b-e07fc1f90ae7"
	hash := sha256.Sum256(nil)
	for name, item := range map[string]Item{
		"adjust":  {Adjust: &Adjust{Entry: key, ID: "prepaid-2026-12", Delta: 1e9, Author: "operator"}},
		"grant":   {Grant: &Grant{Entry: key, Holder: holder, Seq: 1200, Amount: 1e6}},
		"settle":  {Settle: &Settle{Entry: key, Holder: holder, Seq: 1200, Spent: 250000, Returned: 1000}},
		"close":   {Close: &Close{Entry: key, Holder: holder, Spent: 250000}},
		"remove":  {Remove: &Remove{Entry: key}},
		"bill":    {Bill: &Bill{RequestID: request, Entry: key, Holder: holder, Target: "setter-8b", InputTokens: 900, OutputTokens: 400, Charged: 1300, UnixMilli: 1796000000000, Outcome: "complete"}},
		"claim":   {Claim: &Claim{Entry: key, Key: request, BodyHash: hash[:], RequestID: request, Holder: holder, UnixMilli: 1796000000000, Token: "MDEyMzQ1Njc4OWFiY2RlZg"}},
		"release": {Release: &Release{Entry: key, Key: request, Token: "MDEyMzQ1Njc4OWFiY2RlZg"}},
	} {
		b.Run(name, func(b *testing.B) {
			const n = 64
			items := make([]Item, n)
			for i := range items {
				items[i] = item
			}
			var data []byte
			for b.Loop() {
				var err error
				if data, err = Encode(items); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/n, "cbor-bytes/record")
			b.ReportMetric(float64(jsonBytes(b, item)), "json-bytes/record")
		})
	}
}

// jsonBytes returns the size of an item as JSON, without those of its own fields that are not set.
func jsonBytes(b *testing.B, item Item) int {
	var fields map[string]any
	data, err := json.Marshal(item)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	for name, value := range fields {
		if value == nil {
			delete(fields, name)
		}
	}
	if err == nil {
		data, err = json.Marshal(fields)
	}
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
