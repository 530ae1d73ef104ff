package record

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Limits of an item. Readers skip an item that exceeds them, so they are part of the stored format: after a
// change old and new readers would disagree.
const (
	// MaxNameBytes bounds the names, IDs, holders, idempotency keys and claim tokens that Check validates.
	MaxNameBytes = 256
	// MaxHashBytes bounds Claim.BodyHash.
	MaxHashBytes = 64
	// MaxTokens bounds every amount, so that the sum of a few amounts does not overflow.
	MaxTokens = int64(1) << 60
)

// Check returns an error if readers would skip the item. Writers call it before an append, because a skipped
// item never takes effect.
func (i Item) Check() error {
	if i.countSetFields() != 1 {
		return errors.Mark(errors.New("exactly one field of an item must be set"), ErrMalformed)
	}
	if field := i.invalidField(); field != "" {
		// Callers get this text if their idempotency key makes an invalid claim.
		return errors.Mark(errors.Newf("field %s is out of range", field), ErrMalformed)
	}
	return nil
}

// invalidField returns the name of the first invalid field, or an empty string.
func (i Item) invalidField() string {
	switch {
	case i.Adjust != nil:
		return firstInvalid(i.Adjust.Entry, fieldCheck{"id", validName(i.Adjust.ID)},
			fieldCheck{"delta", i.Adjust.Delta >= -MaxTokens && i.Adjust.Delta <= MaxTokens})
	case i.Grant != nil:
		return firstInvalid(i.Grant.Entry, fieldCheck{"holder", validName(string(i.Grant.Holder))},
			fieldCheck{"seq", i.Grant.Seq > 0}, fieldCheck{"amount", i.Grant.Amount > 0 && i.Grant.Amount <= MaxTokens})
	case i.Settle != nil:
		return firstInvalid(i.Settle.Entry, fieldCheck{"holder", validName(string(i.Settle.Holder))},
			fieldCheck{"seq", i.Settle.Seq > 0}, fieldCheck{"spent", validAmount(i.Settle.Spent)},
			fieldCheck{"returned", validAmount(i.Settle.Returned)})
	case i.Close != nil:
		return firstInvalid(i.Close.Entry, fieldCheck{"holder", validName(string(i.Close.Holder))},
			fieldCheck{"spent", validAmount(i.Close.Spent)})
	case i.Remove != nil:
		return firstInvalid(i.Remove.Entry)
	case i.Bill != nil:
		return firstInvalid(i.Bill.Entry, fieldCheck{"request id", validName(i.Bill.RequestID)},
			fieldCheck{"charged", validAmount(i.Bill.Charged)})
	case i.Claim != nil:
		return firstInvalid(i.Claim.Entry, fieldCheck{"key", validName(i.Claim.Key)},
			fieldCheck{"body hash", len(i.Claim.BodyHash) > 0 && len(i.Claim.BodyHash) <= MaxHashBytes},
			fieldCheck{"request id", validName(i.Claim.RequestID)},
			fieldCheck{"holder", validName(string(i.Claim.Holder))},
			fieldCheck{"token", i.Claim.Token == "" || validName(i.Claim.Token)})
	case i.Release != nil:
		return firstInvalid(i.Release.Entry, fieldCheck{"key", validName(i.Release.Key)}, fieldCheck{"token", validName(i.Release.Token)})
	case i.Backup != nil:
		return invalidBackupField(i.Backup)
	case i.OrderLease != nil && (i.OrderLease.Epoch == 0 || !validName(string(i.OrderLease.Holder))):
		return "epoch or holder"
	}
	return ""
}

func invalidBackupField(b *Backup) string {
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

type fieldCheck struct {
	field string
	valid bool
}

// firstInvalid checks the entry's name and the other fields, and returns the name of the first invalid one.
func firstInvalid(entry EntryKey, checks ...fieldCheck) string {
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
