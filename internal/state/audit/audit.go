// Package audit compares what the ledger streams say was spent with what the
// bill streams say was charged. It is what dotterelctl audit prints.
package audit

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// Report is the result of one partition.
type Report struct {
	Partition int     `json:"partition"`
	Entries   []Entry `json:"entries"`
	// LedgerMalformed and BillsMalformed count records that every reader skips.
	LedgerMalformed uint64 `json:"ledger_malformed"`
	BillsMalformed  uint64 `json:"bills_malformed"`
	// BillsFrom is the first bill record that the log retains. Above 1, older
	// bills are missing from the sums, so Missing is not reported.
	BillsFrom uint64 `json:"bills_from"`
	// Recomputed is set when the whole ledger stream was retained, so that a
	// second fold checked the figures.
	Recomputed bool `json:"recomputed"`
}

// Entry is the audit of one catalogue entry. Amounts are in tokens.
type Entry struct {
	Key record.EntryKey `json:"key"`
	ledger.Balance
	// Billed is the sum of the first bill of each request.
	Billed int64 `json:"billed"`
	Bills  int   `json:"bills"`
	// Overspend is what was spent or billed beyond the prepaid amount.
	Overspend int64 `json:"overspend"`
	// Missing is spent without a bill. Unsettled is billed and not yet reported
	// as spent; it is normal for requests of the last seconds.
	Missing   int64 `json:"missing"`
	Unsettled int64 `json:"unsettled"`
	// RepeatedBills counts equal copies, which readers ignore.
	RepeatedBills    int               `json:"repeated_bills"`
	ConflictingBills []ConflictingBill `json:"doubled_bills,omitempty"`
	// Stranded lists shares of holders that are not live.
	Stranded []StrandedShare `json:"stranded,omitempty"`
	// FoldDiffers is set when the second fold reached other figures.
	FoldDiffers bool `json:"fold_differs"`
}

// ConflictingBill is a request that was billed again with another amount or entry.
type ConflictingBill struct {
	RequestID string          `json:"request_id"`
	First     int64           `json:"first"`
	Again     int64           `json:"again"`
	Entry     record.EntryKey `json:"entry"`
}

// StrandedShare is budget that no live holder can spend.
type StrandedShare struct {
	Holder      record.HolderID `json:"holder"`
	Outstanding int64           `json:"outstanding"`
}

// OK reports whether the entry has no finding other than a stranded share.
func (e *Entry) OK() bool {
	return e.Overspend == 0 && e.Missing == 0 && len(e.ConflictingBills) == 0 && !e.FoldDiffers
}

// Auditor collects the records of one partition.
type Auditor struct {
	ledger *ledger.Ledger
	naive  *ledger.ReferenceLedger
	bills  map[string]*record.Bill
	// entries holds the figures that come from bills.
	entries   map[record.EntryKey]*Entry
	malformed uint64
	billsFrom uint64
}

// New returns an auditor that expects the ledger stream from its first record.
func New() *Auditor {
	return &Auditor{
		ledger: ledger.New(), naive: ledger.NewReferenceLedger(), bills: make(map[string]*record.Bill),
		entries: make(map[record.EntryKey]*Entry), billsFrom: 1,
	}
}

// StartAt replaces the ledger by one from a snapshot. The second fold is left
// out, because it needs every record.
func (a *Auditor) StartAt(l *ledger.Ledger) {
	a.ledger, a.naive = l, nil
}

// AddLedger takes one record of the ledger stream.
func (a *Auditor) AddLedger(r logstream.Record) {
	a.ledger.ApplyRecord(r.Offset, r.Data)
	if a.naive != nil {
		a.naive.ApplyRecord(r.Offset, r.Data)
	}
}

// AddBills takes one record of the bill stream.
func (a *Auditor) AddBills(r logstream.Record) {
	items, skipped, err := record.Decode(r.Data)
	a.malformed += uint64(skipped)
	if err != nil {
		a.malformed++
	}
	for _, item := range items {
		if item.Bill == nil {
			a.malformed++
			continue
		}
		a.addBill(item.Bill)
	}
}

func (a *Auditor) addBill(b *record.Bill) {
	first, seen := a.bills[b.RequestID]
	if !seen {
		a.bills[b.RequestID] = b
		e := a.entry(b.Entry)
		e.Billed = min(e.Billed, math.MaxInt64-b.Charged) + b.Charged
		e.Bills++
		return
	}
	e := a.entry(first.Entry)
	if first.Charged == b.Charged && first.Entry == b.Entry {
		e.RepeatedBills++
		return
	}
	e.ConflictingBills = append(e.ConflictingBills, ConflictingBill{
		RequestID: b.RequestID, First: first.Charged, Again: b.Charged, Entry: b.Entry,
	})
}

func (a *Auditor) entry(key record.EntryKey) *Entry {
	e := a.entries[key]
	if e == nil {
		e = &Entry{Key: key}
		a.entries[key] = e
	}
	return e
}

// Report returns the audit by entry. A holder is stranded when live says no.
func (a *Auditor) Report(partition int, live func(record.HolderID) bool) Report {
	r := Report{
		Partition: partition, LedgerMalformed: a.ledger.Malformed(), BillsMalformed: a.malformed,
		BillsFrom: a.billsFrom, Recomputed: a.naive != nil,
	}
	for key := range a.ledger.Accounts {
		a.entry(key)
	}
	for key, e := range a.entries {
		r.Entries = append(r.Entries, a.finish(key, *e, live))
	}
	slices.SortFunc(r.Entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Key.Name, y.Key.Name), cmp.Compare(x.Key.Generation, y.Key.Generation))
	})
	return r
}

func (a *Auditor) finish(key record.EntryKey, e Entry, live func(record.HolderID) bool) Entry {
	if account := a.ledger.Account(key); account != nil {
		e.Balance = account.Balance()
		e.Stranded = stranded(account, live)
	}
	if a.naive != nil {
		e.FoldDiffers = a.naive.Balance(key) != e.Balance
	}
	e.Overspend = max(0, max(e.Spent, e.Billed)-e.Prepaid)
	e.Unsettled = max(0, e.Billed-e.Spent)
	if a.billsFrom == 1 {
		e.Missing = max(0, e.Spent-e.Billed)
	}
	return e
}

func stranded(a *ledger.Account, live func(record.HolderID) bool) []StrandedShare {
	var out []StrandedShare
	for h, s := range a.Shares {
		if s.Outstanding() > 0 && !live(h) {
			out = append(out, StrandedShare{Holder: h, Outstanding: s.Outstanding()})
		}
	}
	slices.SortFunc(out, func(x, y StrandedShare) int { return cmp.Compare(x.Holder, y.Holder) })
	return out
}
