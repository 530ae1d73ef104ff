package record

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Limits of a record. Readers skip a record beyond them, so they are part of
// the stored format: a change would make old and new readers disagree.
const (
	// MaxNameBytes bounds names, ids, holders and idempotency keys.
	MaxNameBytes = 256
	// MaxHashBytes bounds a body hash.
	MaxHashBytes = 64
	// MaxTokens bounds every amount, so that a sum of a few never overflows.
	MaxTokens = int64(1) << 60
)

// Check reports why a record would be skipped by its readers, or nil. Writers
// call it before an append, because a skipped record never takes effect.
func (i Item) Check() error {
	if i.kinds() != 1 {
		return errors.Mark(errors.New("an item holds exactly one record"), ErrMalformed)
	}
	if field := i.badField(); field != "" {
		return errors.Mark(errors.Newf("field %s is out of range", field), ErrMalformed)
	}
	return nil
}

func (i Item) badField() string {
	switch {
	case i.Adjust != nil:
		return firstBad(i.Adjust.Entry, check{"id", validName(i.Adjust.ID)},
			check{"delta", i.Adjust.Delta >= -MaxTokens && i.Adjust.Delta <= MaxTokens})
	case i.Grant != nil:
		return firstBad(i.Grant.Entry, check{"holder", validName(string(i.Grant.Holder))},
			check{"seq", i.Grant.Seq > 0}, check{"amount", i.Grant.Amount > 0 && i.Grant.Amount <= MaxTokens})
	case i.Settle != nil:
		return firstBad(i.Settle.Entry, check{"holder", validName(string(i.Settle.Holder))},
			check{"seq", i.Settle.Seq > 0}, check{"spent", validAmount(i.Settle.Spent)},
			check{"returned", validAmount(i.Settle.Returned)})
	case i.Close != nil:
		return firstBad(i.Close.Entry, check{"holder", validName(string(i.Close.Holder))},
			check{"spent", validAmount(i.Close.Spent)})
	case i.Remove != nil:
		return firstBad(i.Remove.Entry)
	case i.Bill != nil:
		return firstBad(i.Bill.Entry, check{"request id", validName(i.Bill.RequestID)},
			check{"charged", validAmount(i.Bill.Charged)})
	case i.Claim != nil:
		return firstBad(i.Claim.Entry, check{"key", validName(i.Claim.Key)},
			check{"body hash", len(i.Claim.BodyHash) > 0 && len(i.Claim.BodyHash) <= MaxHashBytes},
			check{"request id", validName(i.Claim.RequestID)},
			check{"holder", validName(string(i.Claim.Holder))},
			check{"token", i.Claim.Token == "" || validName(i.Claim.Token)})
	case i.Release != nil:
		return firstBad(i.Release.Entry, check{"key", validName(i.Release.Key)}, check{"token", validName(i.Release.Token)})
	case i.Backup != nil:
		return firstBackupFault(i.Backup)
	case i.OrderLease != nil && (i.OrderLease.Epoch == 0 || !validName(string(i.OrderLease.Holder))):
		return "order lease"
	}
	return ""
}

func firstBackupFault(b *Backup) string {
	switch {
	case !validName(string(b.Holder)):
		return "holder"
	case b.Backup != "" && !validName(string(b.Backup)):
		return "backup"
	case b.Epoch == 0:
		return "epoch"
	}
	return ""
}

type check struct {
	field string
	valid bool
}

func firstBad(entry EntryKey, checks ...check) string {
	if !validName(entry.Name) {
		return "entry"
	}
	for _, c := range checks {
		if !c.valid {
			return c.field
		}
	}
	return ""
}

func validName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s)
}

func validAmount(n int64) bool { return n >= 0 && n <= MaxTokens }
