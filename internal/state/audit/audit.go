// Package audit compares the spent tokens in the ledger streams with the charges in the bill streams. The
// command dotterelctl audit prints its reports.
package audit

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// Report is the audit of one partition.
type Report struct {
	Partition int     `json:"partition"`
	Entries   []Entry `json:"entries"`
	// LedgerMalformed and BillsMalformed count the malformed items, which every reader skips. A record that
	// does not decode counts as one.
	LedgerMalformed uint64 `json:"ledger_malformed"`
	BillsMalformed  uint64 `json:"bills_malformed"`
	// BillsFrom is the offset of the first bill record that the log retains. If it is above 1, older bills
	// are missing from the sums, so Missing is not reported.
	BillsFrom uint64 `json:"bills_from"`
	// Recomputed is set if the whole ledger stream was retained, so that a reference ledger checked the
	// balances.
	Recomputed bool `json:"recomputed"`
}

// Entry is the audit of one catalogue entry. Amounts are in tokens.
type Entry struct {
	Key record.EntryKey `json:"key"`
	ledger.Balance
	// Billed is the sum of the first bill of each request.
	Billed int64 `json:"billed"`
	Bills  int   `json:"bills"`
	// Overspend is the amount by which the spent or the billed tokens exceed the prepaid amount.
	Overspend int64 `json:"overspend"`
	// Missing is the amount spent without a bill. Unsettled is the amount billed but not yet reported as
	// spent, which is normal for requests of the last seconds.
	Missing   int64 `json:"missing"`
	Unsettled int64 `json:"unsettled"`
	// DuplicateBills counts bills that repeat the first bill of their request; readers ignore them.
	DuplicateBills   int               `json:"repeated_bills"`
	ConflictingBills []ConflictingBill `json:"doubled_bills,omitempty"`
	// Stranded lists the unspent shares of holders whose process does not run.
	Stranded []StrandedShare `json:"stranded,omitempty"`
	// ReferenceDiffers is set if the reference ledger has a different balance.
	ReferenceDiffers bool `json:"fold_differs"`
}

// ConflictingBill is a later bill of a request, with another amount or entry than the first. First and Again
// are the tokens charged by the first and by the later bill, and Entry is the entry of the later bill.
type ConflictingBill struct {
	RequestID string          `json:"request_id"`
	First     int64           `json:"first"`
	Again     int64           `json:"again"`
	Entry     record.EntryKey `json:"entry"`
}

// StrandedShare is a share with unspent tokens whose holder's process does not run, so that nothing can spend
// them.
type StrandedShare struct {
	Holder      record.HolderID `json:"holder"`
	Outstanding int64           `json:"outstanding"`
}

// OK reports whether the entry has no finding. Stranded shares and unsettled amounts are no findings.
func (e *Entry) OK() bool {
	return e.Overspend == 0 && e.Missing == 0 && len(e.ConflictingBills) == 0 && !e.ReferenceDiffers
}

// Auditor collects the records of one partition.
type Auditor struct {
	ledger    *ledger.Ledger
	reference *ledger.ReferenceLedger
	bills     map[string]*record.Bill
	// entries holds the results so far. Report adds the entries that have no bill.
	entries   map[record.EntryKey]*Entry
	malformed uint64
	billsFrom uint64
}

// New returns an auditor, to which the ledger stream is added from its first record.
func New() *Auditor {
	return &Auditor{
		ledger: ledger.New(), reference: ledger.NewReferenceLedger(), bills: make(map[string]*record.Bill),
		entries: make(map[record.EntryKey]*Entry), billsFrom: 1,
	}
}

// UseSnapshot replaces the ledger by one from a snapshot. It disables the reference ledger, which needs every
// record.
func (a *Auditor) UseSnapshot(l *ledger.Ledger) {
	a.ledger, a.reference = l, nil
}

// AddLedgerRecord adds one record of the ledger stream.
func (a *Auditor) AddLedgerRecord(r logstream.Record) {
	a.ledger.ApplyRecord(r.Offset, r.Data)
	if a.reference != nil {
		a.reference.ApplyRecord(r.Offset, r.Data)
	}
}

// AddBillRecord adds one record of the bill stream.
func (a *Auditor) AddBillRecord(r logstream.Record) {
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
		e.DuplicateBills++
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

// Report returns the audit of the partition. live reports whether the process of a holder still runs; the
// unspent shares of other holders are reported as stranded.
func (a *Auditor) Report(partition int, live func(record.HolderID) bool) Report {
	r := Report{
		Partition: partition, LedgerMalformed: a.ledger.Malformed(), BillsMalformed: a.malformed,
		BillsFrom: a.billsFrom, Recomputed: a.reference != nil,
	}
	for key := range a.ledger.Accounts {
		a.entry(key)
	}
	for key, e := range a.entries {
		r.Entries = append(r.Entries, a.withLedger(key, *e, live))
	}
	slices.SortFunc(r.Entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Key.Name, y.Key.Name), cmp.Compare(x.Key.Generation, y.Key.Generation))
	})
	return r
}

// withLedger returns the entry with its balance, its stranded shares and the differences between the balance
// and the bills.
func (a *Auditor) withLedger(key record.EntryKey, e Entry, live func(record.HolderID) bool) Entry {
	if account := a.ledger.Account(key); account != nil {
		e.Balance = account.Balance()
		e.Stranded = strandedShares(account, live)
	}
	if a.reference != nil {
		e.ReferenceDiffers = a.reference.Balance(key) != e.Balance
	}
	e.Overspend = max(0, max(e.Spent, e.Billed)-e.Prepaid)
	e.Unsettled = max(0, e.Billed-e.Spent)
	if a.billsFrom == 1 {
		e.Missing = max(0, e.Spent-e.Billed)
	}
	return e
}

func strandedShares(a *ledger.Account, live func(record.HolderID) bool) []StrandedShare {
	var out []StrandedShare
	for h, s := range a.Shares {
		if s.Outstanding() > 0 && !live(h) {
			out = append(out, StrandedShare{Holder: h, Outstanding: s.Outstanding()})
		}
	}
	slices.SortFunc(out, func(x, y StrandedShare) int { return cmp.Compare(x.Holder, y.Holder) })
	return out
}
